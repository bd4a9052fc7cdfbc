package standby

import "time"

// TakeoverPhase is a step of a takeover that is timed.
type TakeoverPhase uint8

// Phases of a takeover, in their order.
const (
	LastHeard   TakeoverPhase = iota // the last frame of the earlier leader came
	Vacant                           // the leader's lease was seen to have expired or been given up
	ClaimStored                      // the state service has stored the claim
	ViewCurrent                      // the records were read, and the copy confirmed or given up
	FirstAnswer                      // the first heartbeat of a worker was answered
	FirstStart                       // the first start was sent
	phases
)

// phaseNames are labels of metrics.
var phaseNames = [...]string{"last heard", "vacant", "claimed", "view current", "first answer", "first start"}

// String returns the phase's name.
func (p TakeoverPhase) String() string { return phaseNames[p] }

// TakeoverPhases returns all phases in their order.
func TakeoverPhases() []TakeoverPhase {
	all := make([]TakeoverPhase, 0, phases)
	for p := LastHeard; p < phases; p++ {
		all = append(all, p)
	}
	return all
}

// Takeover records when each phase of a takeover was reached.
type Takeover struct {
	Term uint64
	Warm bool // it went on from the copy
	at   [phases]time.Time
}

// Reached records that a phase was reached, and returns whether this is the first time; later times
// aren't recorded.
func (t *Takeover) Reached(p TakeoverPhase, at time.Time) bool {
	if !t.at[p].IsZero() {
		return false
	}
	t.at[p] = at
	return true
}

// At returns when a phase was reached; zero if it wasn't.
func (t *Takeover) At(p TakeoverPhase) time.Time { return t.at[p] }

// Since returns the time from Vacant to a phase; false if either wasn't reached.
func (t *Takeover) Since(p TakeoverPhase) (elapsed time.Duration, reached bool) {
	if t.at[Vacant].IsZero() || t.at[p].IsZero() {
		return 0, false
	}
	return t.at[p].Sub(t.at[Vacant]), true
}
