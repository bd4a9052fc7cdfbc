package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// imageLog keeps in the store which images machines are believed to have, so that
// a new leader doesn't have all of them fetched once more. It is written a page at
// a time, seldom, and never ahead of anything else.
type imageLog struct {
	pages   map[string]*imagePage
	of      map[string]*imagePage    // by machine
	left    map[string][]fleet.Image // an earlier leader's word on machines not heard of yet
	open    *imagePage               // takes machines that are on no page
	wroteAt time.Time
	swept   bool // machines that weren't heard of are forgotten
}

type imagePage struct {
	name     string
	machines map[string]bool
	dirty    bool
	wroteAt  time.Time
}

func (l *imageLog) init() {
	l.pages, l.of, l.left = map[string]*imagePage{}, map[string]*imagePage{}, map[string][]fleet.Image{}
}

// How often a page is written: each about every imagesEvery, but in all no more than
// imagesPart of the leader's writes.
const (
	imagesEvery = 20 * time.Second
	imagesPart  = 8
)

// imagesApart is how long at the least lies between two pages.
func (e *Engine) imagesApart() time.Duration {
	if e.cfg.WriteRate <= 0 {
		return time.Second
	}
	return time.Duration(imagesPart / e.cfg.WriteRate * float64(time.Second))
}

// leftFor is how long an earlier leader's word on a machine is kept that isn't
// heard of.
const leftFor = 5 * time.Minute

// changes is how many changes a batch makes.
func changes(batch []Write) int {
	n := len(batch)
	for _, w := range batch {
		if w.Kind == WriteFinal {
			n++ // a put and a drop
		}
	}
	return n
}

// pageMachines is how many machines a page takes.
func (e *Engine) pageMachines() int { return min(100, max(8, e.cfg.MaxPerValue/120)) }

// recoverImageLog takes over what the image log says.
func (e *Engine) recoverImageLog(stored []StoredImages) {
	l := &e.images
	for _, s := range stored {
		p := l.page(s.Name)
		s.Record.Each(func(machine string, images []fleet.Image) {
			if l.of[machine] == nil {
				l.put(machine, p)
				l.left[machine] = images
			}
		})
	}
}

func (l *imageLog) page(name string) *imagePage {
	p := &imagePage{name: name, machines: map[string]bool{}}
	l.pages[name] = p
	return p
}

func (l *imageLog) put(machine string, p *imagePage) {
	l.of[machine] = p
	p.machines[machine] = true
}

// imagesLeft is what an earlier leader knew of a machine's images.
func (e *Engine) imagesLeft(machine string) []fleet.Image {
	images := e.images.left[machine]
	delete(e.images.left, machine)
	return images
}

// imagesChanged notes that what is known of a machine's images has changed.
func (e *Engine) imagesChanged(m *fleet.Machine) {
	p := e.images.of[m.Name]
	if p == nil {
		p = e.pageImages(m.Name)
	}
	p.dirty = true
}

// pageImages puts a machine on a page that has room.
func (e *Engine) pageImages(machine string) *imagePage {
	l := &e.images
	if l.open == nil || len(l.open.machines) >= e.pageMachines() {
		e.counter++
		l.open = l.page(fmt.Sprintf("%d-%d", e.term, e.counter))
	}
	l.put(machine, l.open)
	return l.open
}

// crowdedOut moves machines for which a page had no room to others, such as those
// of a page from before values became smaller.
func (e *Engine) crowdedOut(p *imagePage, written fleet.ImageRecord) {
	l := &e.images
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
			e.pageImages(name).dirty = true
		}
	}
}

// imagesGone forgets a machine that is gone.
func (e *Engine) imagesGone(machine string) {
	if p := e.images.of[machine]; p != nil {
		delete(e.images.of, machine)
		delete(p.machines, machine)
		p.dirty = true
	}
}

// imageWrite adds the page that has waited longest, if it is time for one.
func (e *Engine) imageWrite(now time.Time, out []Write, most int) []Write {
	l := &e.images
	every := max(e.imagesApart(), imagesEvery/time.Duration(max(1, len(l.pages))))
	if changes(out) >= most || now.Sub(l.wroteAt) < every {
		return out
	}
	if !l.swept && now.Sub(e.started) > leftFor {
		l.swept = true
		for machine := range l.left {
			e.imagesGone(machine)
		}
		clear(l.left)
	}
	var next *imagePage
	for _, p := range l.pages {
		if p.dirty && (next == nil || p.wroteAt.Before(next.wroteAt) || p.wroteAt.Equal(next.wroteAt) && p.name < next.name) {
			next = p
		}
	}
	if next == nil {
		return out
	}
	l.wroteAt, next.wroteAt = now, now
	if len(next.machines) == 0 && next != l.open {
		return append(out, Write{Kind: DropImages, Name: next.name})
	}
	has := make(map[string][]fleet.Image, len(next.machines))
	for name := range next.machines {
		if m := e.machines[name]; m != nil {
			has[name] = m.Images
		} else {
			has[name] = l.left[name]
		}
	}
	rec := fleet.RecordImages(has, e.cfg.MaxPerValue*9/10)
	e.crowdedOut(next, rec)
	return append(out, Write{Kind: WriteImages, Name: next.name, Images: rec})
}

// imagesSent notes that a page's present content is on its way; imagesWritten
// whether the store has it.
func (e *Engine) imagesSent(name string) {
	if p := e.images.pages[name]; p != nil {
		p.dirty = false
	}
}

func (e *Engine) imagesWritten(op Write, ok bool) {
	p := e.images.pages[op.Name]
	switch {
	case p == nil:
	case !ok:
		p.dirty = true
	case op.Kind == DropImages && len(p.machines) == 0 && p != e.images.open:
		delete(e.images.pages, op.Name)
	}
}
