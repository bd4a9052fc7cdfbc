package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// startLog is this leader's view of the start log: which page names which attempt, and
// which pages the store doesn't hold as they are here. An attempt's start may leave only
// once the store holds a page that names it (docs/design.md, safety argument 4;
// TestStartOnlyAfterRecord).
type startLog struct {
	cfg       *Config
	newName   func() string // makes names for new pages
	pages     map[string]*fleet.StartLogPage
	unpaged   []*fleet.Attempt    // decided, but on no page yet
	open      *fleet.StartLogPage // the page that takes new attempts
	dirty     map[*fleet.StartLogPage]bool
	trimmedAt time.Time
}

func newStartLog(cfg *Config, newName func() string) startLog {
	return startLog{
		cfg: cfg, newName: newName,
		pages: map[string]*fleet.StartLogPage{},
		dirty: map[*fleet.StartLogPage]bool{},
	}
}

// trimEvery is how often a page is trimmed of attempts that are gone, trimPause how much
// time lies between the trims of two pages. An untrimmed entry costs a later leader the
// wait for that machine's next confirmed heartbeat.
const (
	trimEvery = 10 * time.Second
	trimPause = trimEvery / 10
)

// addPage takes in a page.
func (l *startLog) addPage(p *fleet.StartLogPage) { l.pages[p.Name] = p }

// page returns a page; nil if there is none of that name.
func (l *startLog) page(name string) *fleet.StartLogPage { return l.pages[name] }

// addAttempt takes in an attempt that has been decided. It goes on a page with the next
// batch.
func (l *startLog) addAttempt(a *fleet.Attempt) { l.unpaged = append(l.unpaged, a) }

// removeAttempt takes an attempt that is proven gone off its page.
func (l *startLog) removeAttempt(a *fleet.Attempt) {
	if p := a.Page; p != nil {
		p.Remove(a)
		l.pageChanged(p)
	}
}

// pageChanged notes whether a page is to be written.
func (l *startLog) pageChanged(p *fleet.StartLogPage) {
	if p.Dirty {
		l.dirty[p] = true
	} else {
		delete(l.dirty, p)
	}
}

// unstored is how many starts aren't on a page yet.
func (l *startLog) unstored() int { return len(l.unpaged) }

// pending reports whether a start waits for a write.
func (l *startLog) pending() bool { return len(l.unpaged) > 0 || len(l.dirty) > 0 }

// addWrites puts new attempts on pages, and adds the pages that are to be written.
func (l *startLog) addWrites(b *batch) {
	l.assignPages(b.remaining)
	for _, p := range sortedPages(l.dirty) {
		if b.remaining > 0 && !p.Sending {
			b.add(pageWrite(p))
		}
	}
}

// assignPages puts new attempts on pages, until as many pages are dirty as may be
// written. Attempts beyond that wait for the next batch.
func (l *startLog) assignPages(maxDirty int) {
	for i, a := range l.unpaged {
		if a.State() == fleet.Exited {
			continue // withdrawn meanwhile
		}
		if l.open == nil || l.open.Sending || !l.open.Fits(a, l.cfg.MaxValueBytes) {
			if len(l.dirty) >= maxDirty {
				l.unpaged = append(l.unpaged[:0], l.unpaged[i:]...)
				return
			}
			l.open = l.leastFilledPage()
		}
		l.open.Add(a)
		l.pageChanged(l.open)
	}
	l.unpaged = l.unpaged[:0]
}

// leastFilledPage is the page with the least on it that still has room for some, or
// a new one. Writing it again drops what is gone from it.
func (l *startLog) leastFilledPage() *fleet.StartLogPage {
	var best *fleet.StartLogPage
	for _, p := range l.pages {
		if p.Sending || !p.HalfEmpty(l.cfg.MaxValueBytes) {
			continue
		}
		if best == nil || p.Live() < best.Live() || p.Live() == best.Live() && p.Name < best.Name {
			best = p
		}
	}
	if best == nil {
		best = fleet.NewStartLogPage(l.newName(), 0)
		l.addPage(best)
	}
	return best
}

// addTrim adds the page with the most entries that are gone, if it is time to rewrite one
// without them, or to drop it if nothing is left.
func (l *startLog) addTrim(now time.Time, b *batch) {
	if now.Sub(l.trimmedAt) < trimPause {
		return
	}
	l.trimmedAt = now
	p := l.stalestPage(now)
	if p == nil || b.remaining <= 0 {
		return
	}
	p.Trimmed = now
	if p.Live() > 0 || p.Version == 0 {
		b.add(pageWrite(p))
		return
	}
	b.add(DeleteStartLogPage{Name: p.Name, Version: p.Version})
}

// stalestPage is the page with the most entries that are gone, of those that may be
// trimmed; nil if none may.
func (l *startLog) stalestPage(now time.Time) *fleet.StartLogPage {
	var worst *fleet.StartLogPage
	for _, p := range l.pages {
		if p.Sending || p == l.open || p.Stale() == 0 || now.Sub(p.Trimmed) < trimEvery ||
			!p.Fits(nil, l.cfg.MaxValueBytes) {
			continue
		}
		if worst == nil || p.Stale() > worst.Stale() || p.Stale() == worst.Stale() && p.Name < worst.Name {
			worst = p
		}
	}
	return worst
}

// writeStarted notes that a page is on its way to the store.
func (l *startLog) writeStarted(name string) {
	if p := l.pages[name]; p != nil {
		p.WriteStarted()
		l.pageChanged(p)
	}
}

// written notes that the store holds a page as it was sent.
func (l *startLog) written(now time.Time, w PutStartLogPage, version uint64) {
	if p := l.pages[w.Name]; p != nil {
		p.Stored(now, w.Record, version)
		l.pageChanged(p)
	}
}

// deleted notes that the store no longer holds a page.
func (l *startLog) deleted(now time.Time, name string) {
	p := l.pages[name]
	p.Stored(now, fleet.StartLogRecord{}, 0)
	if p.Live() == 0 && p != l.open {
		delete(l.pages, name)
	}
}

// writeFailed notes that a page isn't known to have been written. Seen holds the versions
// of the pages that were read afterwards.
func (l *startLog) writeFailed(name string, seen map[string]uint64) {
	p := l.pages[name]
	if p == nil {
		return
	}
	if version, read := seen[name]; read {
		p.Version = version
	}
	p.WriteFailed()
	l.pageChanged(p)
}

// rejected notes that the store takes a page under no circumstances.
func (l *startLog) rejected(now time.Time, p *fleet.StartLogPage) {
	p.WriteRefused(now)
	l.pageChanged(p)
	if l.open == p {
		l.open = nil
	}
}

func pageWrite(p *fleet.StartLogPage) Write {
	return PutStartLogPage{Name: p.Name, Version: p.Version, Record: p.Record()}
}

// sortedPages lists a set of pages by name.
func sortedPages(set map[*fleet.StartLogPage]bool) []*fleet.StartLogPage {
	if len(set) == 0 {
		return nil // asked for every batch
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b *fleet.StartLogPage) int { return cmp.Compare(a.Name, b.Name) })
}
