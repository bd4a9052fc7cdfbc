package drain

// ChargePageWrite is a write of a page of charges, or with Delete, its deletion. It is conditional on
// the state service holding Version of the page: a write that is carried out late must not replace a
// newer page.
type ChargePageWrite struct {
	Name    string
	Version uint64
	Record  ChargePage
	Delete  bool
}

// MachinePageWrite is a write of a page of machines, or with Delete, its deletion. It is conditional
// on the state service holding Version of the page, as a ChargePageWrite is.
type MachinePageWrite struct {
	Name    string
	Version uint64
	Record  MachinePage
	Delete  bool
}

// PageWriteOutcome is what is known after a write of a page has ended.
type PageWriteOutcome struct {
	OK      bool   // the write is known to have been carried out
	Version uint64 // of the page in the state service; only set if OK or Known
	Known   bool   // the write isn't known to have been carried out, and Version was read after it
}

// pageState is what pages of charges and of machines have in common: the page's name, and what is
// known of its value in the state service.
type pageState struct {
	name    string
	version uint64 // in the state service; 0: as far as is known, it doesn't exist there
	bytes   int    // upper bound of its stored size
	writing bool   // a write of it is under way
}

// writeEnded records the outcome of the write that was under way.
func (p *pageState) writeEnded(outcome PageWriteOutcome) {
	p.writing = false
	if outcome.OK || outcome.Known {
		p.version = outcome.Version
	}
}
