package drain

import (
	"cmp"
	"slices"
	"time"
)

// pruneInterval is the least time between two searches for obsolete pages.
const pruneInterval = 30 * time.Second

// chargePages divides the ledger's charges into pages that fit a value of the state service, and
// keeps track of which pages have to be written.
type chargePages struct {
	newName   func() string // returns a page name that was never used before
	pageLimit func() int    // returns how many bytes a page may have
	byName    map[string]*chargePage
	filling   *chargePage // takes new charges; nil: the next charge starts a new page
	dirty     map[*chargePage]bool
	prunedAt  time.Time // when obsolete pages were last searched for
}

func newChargePages(newName func() string, pageLimit func() int) chargePages {
	return chargePages{
		newName:   newName,
		pageLimit: pageLimit,
		byName:    map[string]*chargePage{},
		dirty:     map[*chargePage]bool{},
	}
}

// newPage adds an empty page.
func (s *chargePages) newPage(name string) *chargePage {
	p := newChargePage(name)
	s.byName[name] = p
	return p
}

// append puts a new charge on the page that is being filled, or on a new page if that one is full or
// its write is under way: that write wouldn't contain the charge.
func (s *chargePages) append(c *Charge) {
	if s.filling == nil || s.filling.writing || s.filling.bytes+c.bytes() > s.pageLimit() {
		s.filling = s.newPage(s.newName())
	}
	s.filling.add(c)
	s.dirty[s.filling] = true
}

// changed marks the page of a charge as having to be written.
func (s *chargePages) changed(c *Charge) { s.dirty[c.page] = true }

// dirtyWrites lists the writes of changed pages that may start now, sorted by name and no more than
// the limit.
func (s *chargePages) dirtyWrites(limit int) []ChargePageWrite {
	var due []*chargePage
	for p := range s.dirty {
		if !p.writing && p.writtenAfter == nil {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *chargePage) int { return cmp.Compare(a.name, b.name) })
	var out []ChargePageWrite
	for _, p := range due[:max(0, min(limit, len(due)))] {
		out = append(out, ChargePageWrite{Name: p.name, Version: p.version, Record: p.record()})
	}
	return out
}

// obsolete returns the first page by name on which no charge is needed any more, or nil if there is
// none. The page that is being filled and pages whose writes are under way don't count.
func (s *chargePages) obsolete(needed func(*Charge) bool) *chargePage {
	var first *chargePage
	for _, p := range s.byName {
		if p == s.filling || p.writing || slices.ContainsFunc(p.charges, needed) {
			continue
		}
		if first == nil || p.name < first.name {
			first = p
		}
	}
	return first
}

// writeStarted records that a write of a page is under way, with the charges that it has now.
func (s *chargePages) writeStarted(name string) {
	if p := s.byName[name]; p != nil {
		p.writing, p.chargesInWrite = true, len(p.charges)
		delete(s.dirty, p)
	}
}

// written records that the state service holds a page as it was sent: the charges in that write are
// stored, and pages that had to be written after it may be written.
func (s *chargePages) written(p *chargePage) {
	for _, c := range p.charges[:p.chargesInWrite] {
		c.stored = true
	}
	for waiting := range s.dirty {
		if waiting.writtenAfter == p {
			waiting.writtenAfter = nil
		}
	}
}

// split moves half of the charges of a page that the state service has rejected to a new page. The
// new page is written first, so that a stored charge is on some stored page at any time. A page with
// a single charge is only marked to be written again.
func (s *chargePages) split(name string) {
	p := s.byName[name]
	if p == nil {
		return
	}
	p.writing = false
	s.dirty[p] = true
	if len(p.charges) < 2 {
		return
	}
	half := len(p.charges) / 2
	moved := p.charges[half:]
	p.charges = p.charges[:half:half]
	second := s.newPage(s.newName())
	for _, c := range moved {
		second.add(c)
		p.bytes -= c.bytes()
	}
	p.writtenAfter = second
	s.dirty[second] = true
	if s.filling == p {
		s.filling = nil
	}
}
