package drain

import "slices"

// ChargeEntry is one charge in a stored page.
type ChargeEntry struct {
	_       struct{} `cbor:",toarray"`
	Task    int
	Attempt uint64
	Kind    InterruptionKind
	AtMS    int64
	EndMS   int64
}

// JobCharges holds charges of one job in a stored page.
type JobCharges struct {
	_           struct{} `cbor:",toarray"`
	Job         string
	Team, Class string
	Entries     []ChargeEntry
}

// ChargePage is the stored form of one page of charges.
type ChargePage struct {
	Jobs []JobCharges `cbor:"c"`
}

// StoredChargePage is a page of charges as the state service holds it.
type StoredChargePage struct {
	Name    string
	Version uint64
	Record  ChargePage
}

// Upper bounds of stored sizes. The state service measures values in their JSON form.
const (
	chargeBytes = 84 // of a charge without its job, team and class
	pageBytes   = 24 // of a page without entries, be it of charges or of machines
)

// bytes returns an upper bound of the space that the charge takes on a page.
func (c *Charge) bytes() int { return chargeBytes + len(c.Job) + len(c.Team) + len(c.Class) }

// chargePage is one page of charges and the state of its writes.
type chargePage struct {
	pageState
	charges        []*Charge
	chargesInWrite int         // the write under way contains the first chargesInWrite of charges
	writtenAfter   *chargePage // has to be stored before this page is written; nil: none
}

func newChargePage(name string) *chargePage {
	return &chargePage{pageState: pageState{name: name, bytes: pageBytes}}
}

// add puts a charge on the page.
func (p *chargePage) add(c *Charge) {
	p.charges = append(p.charges, c)
	p.bytes += c.bytes()
	c.page = p
}

// remove takes a charge off the page.
func (p *chargePage) remove(c *Charge) {
	p.charges = slices.DeleteFunc(p.charges, func(o *Charge) bool { return o == c })
	p.bytes -= c.bytes()
}

// record returns the stored form of the page. Consecutive charges of a job share a JobCharges.
func (p *chargePage) record() ChargePage {
	var out ChargePage
	for _, c := range p.charges {
		last := len(out.Jobs) - 1
		if last < 0 || out.Jobs[last].Job != c.Job {
			out.Jobs = append(out.Jobs, JobCharges{Job: c.Job, Team: c.Team, Class: c.Class})
			last++
		}
		entry := ChargeEntry{Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, AtMS: c.AtMS, EndMS: c.EndMS}
		out.Jobs[last].Entries = append(out.Jobs[last].Entries, entry)
	}
	return out
}
