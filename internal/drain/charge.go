package drain

import "time"

// Kind tells why a task was interrupted.
type Kind uint8

// Kinds of interruptions.
const (
	Voluntary   Kind = iota // by a drain, or by a move that the scheduler chose
	Involuntary             // by preemption, the cloud's notice, or a machine that was lost
)

var kindNames = [...]string{"voluntary", "involuntary"}

// String returns the kind's name, as operators see it.
func (k Kind) String() string { return kindNames[k] }

// TaskKey names a task.
type TaskKey struct {
	Job  string
	Task int
}

// Charge is one interruption of a task, as the budgets count it. It names the attempt that it
// is about, so that a leader which finds it knows whether that attempt is still there. Until
// the attempt is proven gone it is open: the interruption may be yet to come.
type Charge struct {
	Team, Class string
	TaskKey
	Attempt uint64
	Kind    Kind
	AtMS    int64 // when it was made; ms since 1970, by its leader's time of day
	EndMS   int64 // when the attempt was known to be gone; 0: it is open

	page   *page
	stored bool
}

// Stored tells whether the state service holds the charge.
func (c *Charge) Stored() bool { return c.stored }

// Open tells whether the attempt isn't known to be gone.
func (c *Charge) Open() bool { return c.EndMS == 0 }

// ChargeEntry is one charge in a stored page.
type ChargeEntry struct {
	_       struct{} `cbor:",toarray"`
	Task    int
	Attempt uint64
	Kind    Kind
	AtMS    int64
	EndMS   int64
}

// JobCharges are the charges of one job in a stored page.
type JobCharges struct {
	_           struct{} `cbor:",toarray"`
	Job         string
	Team, Class string
	Entries     []ChargeEntry
}

// ChargePage is the value of one page of charges.
type ChargePage struct {
	Jobs []JobCharges `cbor:"c"`
}

// What a charge takes of a page at the most besides its names, in the JSON form that the
// state service counts in, and what a page takes without any.
const (
	chargeBytes = 84
	pageBytes   = 24
)

func (c *Charge) bytes() int { return chargeBytes + len(c.Job) + len(c.Team) + len(c.Class) }

// page is one value of the ledger in the state service.
type page struct {
	name    string
	version uint64 // in the state service; 0: it isn't there as far as is known
	charges []*Charge
	bytes   int
	sending bool
	sent    int   // charges that the write under way has
	after   *page // which is to be written first; nil: none
}

// record is the page in its stored form.
func (p *page) record() ChargePage {
	var out ChargePage
	for _, c := range p.charges {
		last := len(out.Jobs) - 1
		if last < 0 || out.Jobs[last].Job != c.Job {
			out.Jobs = append(out.Jobs, JobCharges{Job: c.Job, Team: c.Team, Class: c.Class})
			last++
		}
		out.Jobs[last].Entries = append(out.Jobs[last].Entries, ChargeEntry{Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, AtMS: c.AtMS, EndMS: c.EndMS})
	}
	return out
}

// timeOf is the moment of a stored time.
func timeOf(ms int64) time.Time { return time.UnixMilli(ms) }
