package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// startLog is this leader's view of the start log: which page names which attempt, and which pages
// differ from what the store holds. An attempt's start may be sent only once the store holds a page
// that names it (docs/design.md, safety argument 4; TestStartOnlyAfterRecord).
type startLog struct {
	cfg        *Config
	newName    func() string // returns an unused page name
	pages      map[string]*fleet.StartLogPage
	unassigned []*fleet.Attempt    // decided, but on no page yet
	open       *fleet.StartLogPage // the page that takes new attempts
	dirty      map[*fleet.StartLogPage]bool
	lastTrim   time.Time
}

func newStartLog(cfg *Config, newName func() string) startLog {
	return startLog{
		cfg: cfg, newName: newName,
		pages: map[string]*fleet.StartLogPage{},
		dirty: map[*fleet.StartLogPage]bool{},
	}
}

// trimInterval is the least time between two trims of a page, which drop entries of attempts that
// are gone; trimPause is the least time between trims of any two pages. An entry that isn't trimmed
// makes a later leader wait for that machine's next confirmed heartbeat.
const (
	trimInterval = 10 * time.Second
	trimPause    = trimInterval / 10
)

// addPage adds a page to the log.
func (l *startLog) addPage(p *fleet.StartLogPage) { l.pages[p.Name] = p }

// page returns a page; nil if there is none of that name.
func (l *startLog) page(name string) *fleet.StartLogPage { return l.pages[name] }

// addAttempt adds an attempt that has been decided. The next batch puts it on a page.
func (l *startLog) addAttempt(a *fleet.Attempt) { l.unassigned = append(l.unassigned, a) }

// removeAttempt removes an attempt that is proven gone from its page.
func (l *startLog) removeAttempt(a *fleet.Attempt) {
	if p := a.Page; p != nil {
		p.Remove(a)
		l.pageChanged(p)
	}
}

// pageChanged adds a page to those that have to be written, or removes it if it no longer has to be.
func (l *startLog) pageChanged(p *fleet.StartLogPage) {
	if p.Dirty {
		l.dirty[p] = true
	} else {
		delete(l.dirty, p)
	}
}

// unstored returns how many attempts aren't on a page yet.
func (l *startLog) unstored() int { return len(l.unassigned) }

// pending reports whether a start waits for a write.
func (l *startLog) pending() bool { return len(l.unassigned) > 0 || len(l.dirty) > 0 }

// addWrites puts new attempts on pages, and adds writes of the pages that have changed.
func (l *startLog) addWrites(b *batch) {
	l.assignPages(b.remaining)
	for _, p := range sortedPages(l.dirty) {
		if b.remaining > 0 && !p.Sending {
			b.add(pageWrite(p))
		}
	}
}

// assignPages puts new attempts on pages until maxDirty pages have to be written. Further attempts
// wait for the next batch.
func (l *startLog) assignPages(maxDirty int) {
	for i, a := range l.unassigned {
		if a.State() == fleet.Exited {
			continue // withdrawn meanwhile
		}
		if l.open == nil || l.open.Sending || !l.open.Fits(a, l.cfg.MaxValueBytes) {
			if len(l.dirty) >= maxDirty {
				l.unassigned = append(l.unassigned[:0], l.unassigned[i:]...)
				return
			}
			l.open = l.leastFilledPage()
		}
		l.open.Add(a)
		l.pageChanged(l.open)
	}
	l.unassigned = l.unassigned[:0]
}

// leastFilledPage returns the page with the fewest attempts that is at least half empty, or a new
// one. Writing it also drops its entries of attempts that are gone.
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

// addTrim adds a write of the page with the most entries of attempts that are gone, if it is time
// for one. The write drops those entries, or the whole page if nothing else is on it.
func (l *startLog) addTrim(now time.Time, b *batch) {
	if now.Sub(l.lastTrim) < trimPause {
		return
	}
	l.lastTrim = now
	p := l.stalestPage(now)
	if p == nil || b.remaining <= 0 {
		return
	}
	p.TrimmedAt = now
	if p.Live() > 0 || p.Version == 0 {
		b.add(pageWrite(p))
		return
	}
	b.add(DeleteStartLogPage{Name: p.Name, Version: p.Version})
}

// stalestPage returns the page with the most entries of attempts that are gone, among those that
// may be trimmed; nil if there is none.
func (l *startLog) stalestPage(now time.Time) *fleet.StartLogPage {
	var worst *fleet.StartLogPage
	for _, p := range l.pages {
		if p.Sending || p == l.open || p.Stale() == 0 || now.Sub(p.TrimmedAt) < trimInterval ||
			!p.Fits(nil, l.cfg.MaxValueBytes) {
			continue
		}
		if worst == nil || p.Stale() > worst.Stale() || p.Stale() == worst.Stale() && p.Name < worst.Name {
			worst = p
		}
	}
	return worst
}

// writeStarted records that a page is being written.
func (l *startLog) writeStarted(name string) {
	if p := l.pages[name]; p != nil {
		p.WriteStarted()
		l.pageChanged(p)
	}
}

// written records that the store holds a page as it was sent.
func (l *startLog) written(now time.Time, w PutStartLogPage, version uint64) {
	if p := l.pages[w.Name]; p != nil {
		p.Stored(now, w.Record, version)
		l.pageChanged(p)
	}
}

// deleted records that the store no longer holds a page.
func (l *startLog) deleted(now time.Time, name string) {
	p := l.pages[name]
	p.Stored(now, fleet.StartLogRecord{}, 0)
	if p.Live() == 0 && p != l.open {
		delete(l.pages, name)
	}
}

// writeFailed records that a page isn't known to have been written. The map holds the versions of the
// pages that were read afterwards.
func (l *startLog) writeFailed(name string, versions map[string]uint64) {
	p := l.pages[name]
	if p == nil {
		return
	}
	if version, read := versions[name]; read {
		p.Version = version
	}
	p.WriteFailed()
	l.pageChanged(p)
}

// rejected records that the store rejects a page whatever its version.
func (l *startLog) rejected(now time.Time, p *fleet.StartLogPage) {
	p.WriteRefused(now)
	l.pageChanged(p)
	if l.open == p {
		l.open = nil
	}
}

// pageWrite returns a write of a page as it is now.
func pageWrite(p *fleet.StartLogPage) Write {
	return PutStartLogPage{Name: p.Name, Version: p.Version, Record: p.Record()}
}

// sortedPages returns a set of pages sorted by name.
func sortedPages(set map[*fleet.StartLogPage]bool) []*fleet.StartLogPage {
	if len(set) == 0 {
		return nil // usual; this is called for every batch
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b *fleet.StartLogPage) int { return cmp.Compare(a.Name, b.Name) })
}
