package fleet

import (
	"cmp"
	"slices"
	"time"
)

// StartLogEntry is one attempt in the start log.
type StartLogEntry struct {
	_       struct{} `cbor:",toarray"`
	Ref     string
	Task    int
	Attempt uint64
}

// MachineStarts is what a page of the start log says of one machine.
type MachineStarts struct {
	_          struct{} `cbor:",toarray"`
	Machine    string
	Type, Zone string
	Spot       bool
	Entries    []StartLogEntry
}

// StartLogRecord is the value of one page.
type StartLogRecord struct {
	Placed []MachineStarts `cbor:"p"`
}

// What a machine and an attempt take of a page besides their names, at the most,
// in the JSON form that the state service counts in.
const (
	placedBytes = 24
	entryBytes  = 36
	pageBytes   = 16
)

// maxEntryBytes is what an attempt takes of a page at the most, on a machine of its own.
func maxEntryBytes(a *Attempt) int {
	m := a.Machine
	return placedBytes + len(m.Name) + len(m.Type) + len(m.Zone) + entryBytes + len(a.Ref)
}

// StartLogPage is one value of the start log: which attempts may be on which machines.
// An attempt is named in a page of the store before its first start leaves, and
// stays so until it is proven gone; whoever takes over reads all pages. Many
// starts share one write, and a page that is written again drops what is gone.
type StartLogPage struct {
	Name    string
	Version uint64 // in the store; 0: not there as far as is known
	Sending bool   // a write is under way
	Dirty   bool   // holds attempts that the store doesn't
	Trimmed time.Time
	live    map[*Attempt]bool
	bytes   int // what those take at the most
	stale   int // entries in the store whose attempts are gone
}

// NewStartLogPage makes an empty page.
func NewStartLogPage(name string, version uint64) *StartLogPage {
	return &StartLogPage{Name: name, Version: version, live: map[*Attempt]bool{}}
}

// Add puts a new attempt on the page, which has to be written then.
func (p *StartLogPage) Add(a *Attempt) {
	p.put(a)
	p.Dirty = true
}

// Recover puts an attempt on the page that the store already has there: AddStale has
// counted it, and it turns out to be current.
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

// AddStale notes an entry in the store whose attempt isn't known to be current.
func (p *StartLogPage) AddStale() { p.stale++ }

// Remove takes an attempt that is proven gone off its page.
func (p *StartLogPage) Remove(a *Attempt) {
	if p.live[a] {
		delete(p.live, a)
		p.bytes -= maxEntryBytes(a)
		p.stale++
	}
}

// Live counts the attempts on the page that may be on machines.
func (p *StartLogPage) Live() int { return len(p.live) }

// Stale counts the entries in the store whose attempts are gone.
func (p *StartLogPage) Stale() int { return p.stale }

// Fits reports whether the page, with one more attempt if there is one, takes no
// more than so many bytes. A single attempt always does.
func (p *StartLogPage) Fits(a *Attempt, maxBytes int) bool {
	n := pageBytes + p.bytes
	if a != nil {
		n += maxEntryBytes(a)
	}
	return n <= maxBytes || a != nil && len(p.live) == 0
}

// HalfEmpty reports whether at least half of so many bytes are free.
func (p *StartLogPage) HalfEmpty(maxBytes int) bool { return pageBytes+p.bytes <= maxBytes/2 }

// Unwritten lists the attempts that the store isn't known to hold, by machine and number.
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

// Record returns the page as it should now be written.
func (p *StartLogPage) Record() StartLogRecord {
	at := make([]*Attempt, 0, len(p.live))
	for a := range p.live {
		at = append(at, a)
	}
	sortByMachine(at)
	var r StartLogRecord
	for i, a := range at {
		m := a.Machine
		if i == 0 || at[i-1].Machine != m {
			r.Placed = append(r.Placed, MachineStarts{Machine: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		pl := &r.Placed[len(r.Placed)-1]
		pl.Entries = append(pl.Entries, StartLogEntry{Ref: a.Ref, Task: a.Task, Attempt: a.Number})
	}
	return r
}

// WriteStarted notes that the page's present content is on its way to the store.
func (p *StartLogPage) WriteStarted() { p.Sending, p.Dirty, p.stale = true, false, 0 }

// Stored notes that the store holds a record: attempts in it that were only
// intended may now be started.
func (p *StartLogPage) Stored(now time.Time, r StartLogRecord, version uint64) {
	p.Version, p.Sending, p.Trimmed = version, false, now
	in := map[StartLogEntry]bool{}
	for _, pl := range r.Placed {
		for _, e := range pl.Entries {
			in[e] = true
		}
	}
	for a := range p.live {
		if a.state == Intended && in[StartLogEntry{Ref: a.Ref, Task: a.Task, Attempt: a.Number}] {
			a.move(now, Recorded)
		}
	}
}

// WriteFailed notes that a write isn't known to have happened.
func (p *StartLogPage) WriteFailed() {
	p.Sending, p.Dirty = false, len(p.live) > 0
	p.stale++ // what the store holds may differ
}

// WriteRefused notes that the store won't take the page as it was sent.
func (p *StartLogPage) WriteRefused(now time.Time) {
	p.Sending, p.Dirty, p.Trimmed = false, false, now
	p.stale++
}
