package drain

import "time"

// InterruptionKind says who chose that a task is interrupted.
type InterruptionKind uint8

// Kinds of interruptions.
const (
	Voluntary   InterruptionKind = iota // by a drain, or by a move that the scheduler chose
	Involuntary                         // by preemption, the cloud's notice, or a machine that was lost
)

var kindNames = [...]string{"voluntary", "involuntary"}

// String returns the kind's name, as operators see it.
func (k InterruptionKind) String() string { return kindNames[k] }

// TaskKey names a task.
type TaskKey struct {
	Job  string
	Task int
}

// Charge is one interruption of a task, as the budgets count it. It names the attempt that is
// interrupted, so that a leader which takes over can look up whether that attempt still exists. A
// charge is open until the attempt is proven gone: the interruption may be yet to come.
type Charge struct {
	Team, Class string
	TaskKey
	Attempt uint64
	Kind    InterruptionKind
	AtMS    int64 // when the charge was made, in Unix milliseconds by its leader's clock
	EndMS   int64 // when the attempt was known to be gone, likewise; 0 while the charge is open

	page   *chargePage
	stored bool // the state service holds the charge as open
}

// Stored reports whether the state service is known to hold the charge.
func (c *Charge) Stored() bool { return c.stored }

// Open reports whether the attempt isn't known to be gone.
func (c *Charge) Open() bool { return c.EndMS == 0 }

// scope returns the narrowest scope of the charge: its team and class.
func (c *Charge) scope() Scope { return Scope{c.Team, c.Class} }

// isFor reports whether the charge stands for one of the attempts.
func (c *Charge) isFor(attempts []TaskAttempt) bool {
	for _, a := range attempts {
		if a.TaskKey == c.TaskKey && a.Attempt == c.Attempt {
			return true
		}
	}
	return false
}

// timeOf returns the moment of a stored time.
func timeOf(ms int64) time.Time { return time.UnixMilli(ms) }
