package drain

import "time"

// InterruptionKind tells interruptions that budgets can forbid from those that they can't.
type InterruptionKind uint8

// Kinds of interruptions. If one task of a gang is interrupted, so is the whole gang.
const (
	Voluntary   InterruptionKind = iota // by a drain, or by the scheduler to consolidate machines
	Involuntary                         // by preemption, the cloud's notice or the loss of a machine
)

var kindNames = [...]string{"voluntary", "involuntary"}

// String returns the kind's name as shown to operators.
func (k InterruptionKind) String() string { return kindNames[k] }

// TaskKey identifies a task by its job's reference and its number in the job.
type TaskKey struct {
	Job  string
	Task int
}

// Charge is one interruption of a task that counts against budgets. It names the interrupted attempt,
// so that a leader that takes over can look up whether that attempt still exists. A charge is open
// until the attempt is proven gone; until then the interruption may still lie ahead.
type Charge struct {
	Team, Class string
	TaskKey
	Attempt uint64
	Kind    InterruptionKind
	AtMS    int64 // when it was made or last reopened, in Unix milliseconds by the leader's clock
	EndMS   int64 // when the attempt became known to be gone, likewise; 0 while the charge is open

	page   *chargePage
	stored bool // see Stored
}

// Stored reports whether the state service is known to hold the charge. A charge that was reopened
// isn't stored until a write of its page has succeeded.
func (c *Charge) Stored() bool { return c.stored }

// Open reports whether the attempt isn't known to be gone.
func (c *Charge) Open() bool { return c.EndMS == 0 }

// scope returns the narrowest scope of the charge: its team and class.
func (c *Charge) scope() Scope { return Scope{c.Team, c.Class} }

// isFor reports whether the charge is for one of the attempts.
func (c *Charge) isFor(attempts []TaskAttempt) bool {
	for _, a := range attempts {
		if a.TaskKey == c.TaskKey && a.Attempt == c.Attempt {
			return true
		}
	}
	return false
}

// timeOf converts a stored time, in Unix milliseconds.
func timeOf(ms int64) time.Time { return time.UnixMilli(ms) }
