package drain

// ChargePageWrite is a page of charges that has to be written in place of a version of it; with Delete,
// it has to be deleted. The version is a condition of the write: one that is carried out late must
// not replace a newer page.
type ChargePageWrite struct {
	Name    string
	Version uint64
	Record  ChargePage
	Delete  bool
}

// MachinePageWrite is a page of machines that has to be written in place of a version of it; with
// Delete, it has to be deleted.
type MachinePageWrite struct {
	Name    string
	Version uint64
	Record  MachinePage
	Delete  bool
}

// PageWriteOutcome is what is known after a write of a page has ended.
type PageWriteOutcome struct {
	OK      bool   // the write is known to be carried out
	Version uint64 // of the page in the state service, if the write is OK or the version is Known
	Known   bool   // after a write that isn't known to be carried out: Version was read since
}

// pageState is what pages of charges and of machines have in common: their name, and what is known
// of their value in the state service.
type pageState struct {
	name    string
	version uint64 // in the state service; 0: it doesn't exist there, as far as is known
	bytes   int    // upper bound of its stored size
	writing bool   // a write of it is under way
}

// writeEnded takes in the outcome of the write that was under way.
func (p *pageState) writeEnded(outcome PageWriteOutcome) {
	p.writing = false
	if outcome.OK || outcome.Known {
		p.version = outcome.Version
	}
}
