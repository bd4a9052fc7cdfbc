package fleet

import (
	"cmp"
	"slices"
	"time"
)

// StartLogEntry identifies one attempt in the start log.
type StartLogEntry struct {
	_       struct{} `cbor:",toarray"`
	Ref     string
	Task    int
	Attempt uint64
}

// MachineStarts lists the attempts on one machine in a page of the start log.
type MachineStarts struct {
	_          struct{} `cbor:",toarray"`
	Machine    string
	Type, Zone string
	Spot       bool
	Entries    []StartLogEntry
}

// StartLogRecord is the value of one page in the state service.
type StartLogRecord struct {
	Placed []MachineStarts `cbor:"p"`
}

// Upper bounds of the sizes in bytes of a machine and of an attempt without their names, and of an
// empty page, in the JSON form by which the state service counts sizes.
const (
	pageMachineBytes = 24
	pageEntryBytes   = 36
	emptyPageBytes   = 16
)

// maxEntryBytes returns an upper bound of what an attempt adds to the size of a page: its own size
// and that of its machine, as if no other attempt on the page were on that machine.
func maxEntryBytes(a *Attempt) int {
	m := a.Machine
	return pageMachineBytes + len(m.Name) + len(m.Type) + len(m.Zone) + pageEntryBytes + len(a.Ref)
}

// StartLogPage is one value of the start log: which attempts may be on which machines. An attempt is
// listed in a stored page before its start is first sent, and stays listed until it is proven gone;
// a new leader reads all pages. Many starts share one write, and rewriting a page drops the entries
// of attempts that are gone.
type StartLogPage struct {
	Name      string
	Version   uint64            // in the state service; 0: not there as far as is known
	Sending   bool              // a write is in flight
	Dirty     bool              // has attempts that the stored page lacks
	TrimmedAt time.Time         // when it was last stored or rejected, or a trim was last attempted
	live      map[*Attempt]bool // attempts that may be on machines
	bytes     int               // upper bound of the size of the live attempts' entries
	stale     int               // stored entries whose attempts are gone
}

// NewStartLogPage returns an empty page.
func NewStartLogPage(name string, version uint64) *StartLogPage {
	return &StartLogPage{Name: name, Version: version, live: map[*Attempt]bool{}}
}

// Add puts a new attempt on the page, which must then be written.
func (p *StartLogPage) Add(a *Attempt) {
	p.put(a)
	p.Dirty = true
}

// Recover puts an attempt on the page after its stored entry, which AddStale has counted, turned out
// to be current.
func (p *StartLogPage) Recover(a *Attempt) {
	p.put(a)
	p.stale--
}

func (p *StartLogPage) put(a *Attempt) {
	if !p.live[a] {
		p.live[a] = true
		p.bytes += maxEntryBytes(a)
	}
	a.Page = p
}

// AddStale counts a stored entry whose attempt isn't known to be current.
func (p *StartLogPage) AddStale() { p.stale++ }

// Remove removes an attempt that is proven gone. Its stored entry becomes stale.
func (p *StartLogPage) Remove(a *Attempt) {
	if p.live[a] {
		delete(p.live, a)
		p.bytes -= maxEntryBytes(a)
		p.stale++
	}
}

// Live returns the number of attempts on the page that may be on machines.
func (p *StartLogPage) Live() int { return len(p.live) }

// Stale returns the number of stored entries whose attempts are gone.
func (p *StartLogPage) Stale() int { return p.stale }

// Fits reports whether the page, with one more attempt unless a is nil, takes no more than maxBytes.
// An empty page has room for any one attempt.
func (p *StartLogPage) Fits(a *Attempt, maxBytes int) bool {
	n := emptyPageBytes + p.bytes
	if a != nil {
		n += maxEntryBytes(a)
	}
	return n <= maxBytes || a != nil && len(p.live) == 0
}

// HalfEmpty reports whether the page takes no more than half of maxBytes.
func (p *StartLogPage) HalfEmpty(maxBytes int) bool { return emptyPageBytes+p.bytes <= maxBytes/2 }

// Unwritten lists the attempts that the stored page isn't known to list, sorted by machine, number
// and task.
func (p *StartLogPage) Unwritten() []*Attempt {
	var out []*Attempt
	for a := range p.live {
		if a.state == Intended {
			out = append(out, a)
		}
	}
	sortByMachine(out)
	return out
}

// sortByMachine sorts attempts by machine, number and task.
func sortByMachine(attempts []*Attempt) {
	slices.SortFunc(attempts, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.Machine.Name, b.Machine.Name), cmp.Compare(a.Number, b.Number),
			cmp.Compare(a.Task, b.Task))
	})
}

// Record returns the value to be written for the page now.
func (p *StartLogPage) Record() StartLogRecord {
	attempts := make([]*Attempt, 0, len(p.live))
	for a := range p.live {
		attempts = append(attempts, a)
	}
	sortByMachine(attempts)
	var r StartLogRecord
	for i, a := range attempts {
		m := a.Machine
		if i == 0 || attempts[i-1].Machine != m {
			r.Placed = append(r.Placed, MachineStarts{Machine: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		starts := &r.Placed[len(r.Placed)-1]
		starts.Entries = append(starts.Entries, StartLogEntry{Ref: a.Ref, Task: a.Task, Attempt: a.Number})
	}
	return r
}

// WriteStarted records that a write of the page's present content is in flight.
func (p *StartLogPage) WriteStarted() { p.Sending, p.Dirty, p.stale = true, false, 0 }

// Stored records that a record of the page is stored. The intended attempts in it become recorded,
// so that they may be started.
func (p *StartLogPage) Stored(now time.Time, r StartLogRecord, version uint64) {
	p.Version, p.Sending, p.TrimmedAt = version, false, now
	stored := map[StartLogEntry]bool{}
	for _, starts := range r.Placed {
		for _, e := range starts.Entries {
			stored[e] = true
		}
	}
	for a := range p.live {
		if a.state == Intended && stored[StartLogEntry{Ref: a.Ref, Task: a.Task, Attempt: a.Number}] {
			a.move(now, Recorded)
		}
	}
}

// WriteFailed records that a write failed or has no known outcome. The page is written again unless
// it is empty.
func (p *StartLogPage) WriteFailed() {
	p.Sending, p.Dirty = false, len(p.live) > 0
	p.stale++ // the stored page may list attempts that are gone
}

// WriteRefused records that the state service rejected the page as it was sent, so that a repeated
// write would fail, too.
func (p *StartLogPage) WriteRefused(now time.Time) {
	p.Sending, p.Dirty, p.TrimmedAt = false, false, now
	p.stale++
}
