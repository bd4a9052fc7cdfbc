package core

import (
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// imageLog keeps in the store which images machines are believed to have, so that after a takeover
// they aren't all fetched once more. It is written rarely, one page at a time, and after all else
// in a batch. It is a hint and proves nothing (docs/design.md, "Records";
// TestImagesOutliveTheLeader).
type imageLog struct {
	cfg       *Config
	started   time.Time                                         // when this leader's term began
	newName   func() string                                     // returns an unused page name
	imagesOf  func(machine string) (has []fleet.Image, ok bool) // not ok: the machine isn't known yet
	pages     map[string]*imagePage
	byMachine map[string]*imagePage
	inherited map[string][]fleet.Image // images that an earlier leader knew, of machines that this one doesn't know yet
	open      *imagePage               // the page that takes machines that are on none
	lastWrite time.Time
	expired   bool // what was inherited and not used has been forgotten
}

// imagePage is one page of the image log. Each machine is on one page at most.
type imagePage struct {
	name      string
	machines  map[string]bool
	dirty     bool
	lastWrite time.Time
}

func newImageLog(
	cfg *Config, started time.Time, newName func() string, imagesOf func(machine string) ([]fleet.Image, bool),
) imageLog {
	return imageLog{cfg: cfg, started: started, newName: newName, imagesOf: imagesOf, pages: map[string]*imagePage{},
		byMachine: map[string]*imagePage{}, inherited: map[string][]fleet.Image{}}
}

const (
	// imagePageInterval is about how long it takes until a changed page is written again.
	imagePageInterval = 20 * time.Second
	// imageWritesDivisor bounds the image log's share of the leader's writes: one in
	// imageWritesDivisor.
	imageWritesDivisor = 8
	// inheritedRetention is how long after the beginning of the term inherited images are kept if
	// their machine hasn't become known.
	inheritedRetention = 5 * time.Minute
	// machineBytes is the approximate size of a machine's entry in a page; minPageMachines and
	// maxPageMachines bound how many machines a page takes.
	machineBytes    = 120
	minPageMachines = 8
	maxPageMachines = 100
)

// minWriteInterval returns the least time between the writes of two pages.
func (l *imageLog) minWriteInterval() time.Duration {
	if l.cfg.WritesPerSecond <= 0 {
		return time.Second
	}
	return time.Duration(imageWritesDivisor / l.cfg.WritesPerSecond * float64(time.Second))
}

// pageMachines returns how many machines a page takes.
func (l *imageLog) pageMachines() int {
	return min(maxPageMachines, max(minPageMachines, l.cfg.MaxValueBytes/machineBytes))
}

// recover adds the pages that the store holds. If several pages name a machine, the first one counts.
func (l *imageLog) recover(stored []StoredImages) {
	for _, s := range stored {
		p := l.newPage(s.Name)
		s.Record.Each(func(machine string, images []fleet.Image) {
			if l.byMachine[machine] == nil {
				l.put(machine, p)
				l.inherited[machine] = images
			}
		})
	}
}

// newPage adds an empty page.
func (l *imageLog) newPage(name string) *imagePage {
	p := &imagePage{name: name, machines: map[string]bool{}}
	l.pages[name] = p
	return p
}

// put puts a machine on a page.
func (l *imageLog) put(machine string, p *imagePage) {
	l.byMachine[machine] = p
	p.machines[machine] = true
}

// takeInherited returns the images that an earlier leader knew on a machine, and forgets them.
func (l *imageLog) takeInherited(machine string) []fleet.Image {
	images := l.inherited[machine]
	delete(l.inherited, machine)
	return images
}

// machineChanged records that what is known of a machine's images has changed, so that its page is
// written.
func (l *imageLog) machineChanged(machine string) {
	p := l.byMachine[machine]
	if p == nil {
		p = l.assignPage(machine)
	}
	p.dirty = true
}

// assignPage puts a machine on a page that has room.
func (l *imageLog) assignPage(machine string) *imagePage {
	if l.open == nil || len(l.open.machines) >= l.pageMachines() {
		l.open = l.newPage(l.newName())
	}
	l.put(machine, l.open)
	return l.open
}

// machineRemoved forgets a machine that is gone.
func (l *imageLog) machineRemoved(machine string) {
	if p := l.byMachine[machine]; p != nil {
		delete(l.byMachine, machine)
		delete(p.machines, machine)
		p.dirty = true
	}
}

// moveOverflow moves the machines that a page had no room for to other pages. A page may be too
// full if it is from before the size limit of values was lowered.
func (l *imageLog) moveOverflow(p *imagePage, written fleet.ImageRecord) {
	if len(written.Machines) == len(p.machines) {
		return
	}
	in := map[string]bool{}
	for _, h := range written.Machines {
		in[h.Machine] = true
	}
	if l.open == p {
		l.open = nil
	}
	for _, name := range slices.Sorted(maps.Keys(p.machines)) {
		if !in[name] {
			delete(p.machines, name)
			l.assignPage(name).dirty = true
		}
	}
}

// addWrite adds a write of the changed page that was written longest ago, if one is due.
func (l *imageLog) addWrite(now time.Time, b *batch) {
	interval := max(l.minWriteInterval(), imagePageInterval/time.Duration(max(1, len(l.pages))))
	if b.remaining <= 0 || now.Sub(l.lastWrite) < interval {
		return
	}
	l.expireInherited(now)
	p := l.nextDirty()
	if p == nil {
		return
	}
	l.lastWrite, p.lastWrite = now, now
	if len(p.machines) == 0 && p != l.open {
		b.add(DeleteImagePage{Name: p.name})
		return
	}
	record := l.record(p)
	l.moveOverflow(p, record)
	b.add(PutImagePage{Name: p.name, Record: record})
}

// expireInherited forgets the machines with inherited images that haven't become known within
// inheritedRetention. It does so once in a term.
func (l *imageLog) expireInherited(now time.Time) {
	if l.expired || now.Sub(l.started) <= inheritedRetention {
		return
	}
	l.expired = true
	for machine := range l.inherited {
		l.machineRemoved(machine)
	}
	clear(l.inherited)
}

// nextDirty returns the changed page that was written longest ago; nil if none has changed.
func (l *imageLog) nextDirty() *imagePage {
	var next *imagePage
	for _, p := range l.pages {
		if !p.dirty {
			continue
		}
		if next == nil || p.lastWrite.Before(next.lastWrite) || p.lastWrite.Equal(next.lastWrite) && p.name < next.name {
			next = p
		}
	}
	return next
}

// record returns a page as it should now be written. A tenth of the size limit is left free, since
// the size of a record is only estimated.
func (l *imageLog) record(p *imagePage) fleet.ImageRecord {
	has := make(map[string][]fleet.Image, len(p.machines))
	for name := range p.machines {
		images, known := l.imagesOf(name)
		if !known {
			images = l.inherited[name]
		}
		has[name] = images
	}
	return fleet.RecordImages(has, l.cfg.MaxValueBytes*9/10)
}

// writeStarted records that a page's present content is being written.
func (l *imageLog) writeStarted(name string) {
	if p := l.pages[name]; p != nil {
		p.dirty = false
	}
}

// writeFailed records that a page isn't known to have been written.
func (l *imageLog) writeFailed(name string) {
	if p := l.pages[name]; p != nil {
		p.dirty = true
	}
}

// deleted forgets a page that the store no longer holds, unless machines were put on it meanwhile.
func (l *imageLog) deleted(name string) {
	if p := l.pages[name]; p != nil && len(p.machines) == 0 && p != l.open {
		delete(l.pages, name)
	}
}
