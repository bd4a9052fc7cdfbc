package core

import (
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// imageLog keeps in the store which images machines are believed to have, so that
// a new leader doesn't have all of them fetched once more. It is written a page at
// a time, seldom, and never ahead of anything else. It is a hint and proves nothing
// (docs/design.md, "Records"; TestImagesOutliveTheLeader).
type imageLog struct {
	cfg       *Config
	started   time.Time                                         // when this leader's term began
	newName   func() string                                     // makes names for new pages
	imagesOf  func(machine string) (has []fleet.Image, ok bool) // of a machine that has been heard of
	pages     map[string]*imagePage
	byMachine map[string]*imagePage
	inherited map[string][]fleet.Image // what an earlier leader knew of machines without a heartbeat yet
	open      *imagePage               // takes machines that are on no page
	lastWrite time.Time
	expired   bool // what was inherited and not used is forgotten
}

// imagePage is one page of the image log. Each machine is on one page at the most.
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
	// imagePageEvery is about how often each page is written.
	imagePageEvery = 20 * time.Second
	// imageWritesPart is the part of the leader's writes that the image log may take.
	imageWritesPart = 8
	// inheritedFor is how long what an earlier leader knew of a machine is kept while that
	// sends no heartbeat.
	inheritedFor = 5 * time.Minute
	// machineBytes is about what a machine takes of a page, minPageMachines and
	// maxPageMachines bound how many a page takes.
	machineBytes    = 120
	minPageMachines = 8
	maxPageMachines = 100
)

// minWriteInterval is how much time lies between two pages at the least.
func (l *imageLog) minWriteInterval() time.Duration {
	if l.cfg.WritesPerSecond <= 0 {
		return time.Second
	}
	return time.Duration(imageWritesPart / l.cfg.WritesPerSecond * float64(time.Second))
}

// pageMachines is how many machines a page takes.
func (l *imageLog) pageMachines() int {
	return min(maxPageMachines, max(minPageMachines, l.cfg.MaxValueBytes/machineBytes))
}

// recover takes over what the store holds of the image log.
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

func (l *imageLog) newPage(name string) *imagePage {
	p := &imagePage{name: name, machines: map[string]bool{}}
	l.pages[name] = p
	return p
}

func (l *imageLog) put(machine string, p *imagePage) {
	l.byMachine[machine] = p
	p.machines[machine] = true
}

// takeInherited returns what an earlier leader knew of a machine's images, once.
func (l *imageLog) takeInherited(machine string) []fleet.Image {
	images := l.inherited[machine]
	delete(l.inherited, machine)
	return images
}

// machineChanged notes that what is known of a machine's images has changed.
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

// moveOverflow moves machines for which a page had no room to others, such as those
// of a page from before values became smaller.
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

// addWrite adds the page that has waited longest, if it is time for one.
func (l *imageLog) addWrite(now time.Time, b *batch) {
	every := max(l.minWriteInterval(), imagePageEvery/time.Duration(max(1, len(l.pages))))
	if b.remaining <= 0 || now.Sub(l.lastWrite) < every {
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

// expireInherited forgets, once, machines that were not heard of for long.
func (l *imageLog) expireInherited(now time.Time) {
	if l.expired || now.Sub(l.started) <= inheritedFor {
		return
	}
	l.expired = true
	for machine := range l.inherited {
		l.machineRemoved(machine)
	}
	clear(l.inherited)
}

// nextDirty is the page to be written that was written longest ago, nil if there is none.
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

// record returns a page as it should now be written. A tenth of the value's size is left
// for what the estimate of its size may be wrong by.
func (l *imageLog) record(p *imagePage) fleet.ImageRecord {
	has := make(map[string][]fleet.Image, len(p.machines))
	for name := range p.machines {
		images, heard := l.imagesOf(name)
		if !heard {
			images = l.inherited[name]
		}
		has[name] = images
	}
	return fleet.RecordImages(has, l.cfg.MaxValueBytes*9/10)
}

// writeStarted notes that a page's present content is on its way to the store.
func (l *imageLog) writeStarted(name string) {
	if p := l.pages[name]; p != nil {
		p.dirty = false
	}
}

// writeFailed notes that a page isn't known to have been written.
func (l *imageLog) writeFailed(name string) {
	if p := l.pages[name]; p != nil {
		p.dirty = true
	}
}

// deleted notes that the store no longer holds a page.
func (l *imageLog) deleted(name string) {
	if p := l.pages[name]; p != nil && len(p.machines) == 0 && p != l.open {
		delete(l.pages, name)
	}
}
