package standby

import "time"

// TakeoverPhase is a step of a takeover whose time is measured.
type TakeoverPhase uint8

// Phases of a takeover, in the order in which they are reached.
const (
	LastHeard   TakeoverPhase = iota // the last frame of the previous leader was received
	Vacant                           // the leader's lease was seen to have expired or been given up
	ClaimStored                      // the state service stored the claim
	ViewCurrent                      // the records were read, and the copy was confirmed or rejected
	FirstAnswer                      // the first heartbeat from a worker was answered
	FirstStart                       // the first start was sent to a worker
	phaseCount
)

// phaseNames are values of a metrics label, and are shown to operators.
var phaseNames = [...]string{"last heard", "vacant", "claimed", "view current", "first answer", "first start"}

// String returns the phase's name.
func (p TakeoverPhase) String() string { return phaseNames[p] }

// TakeoverPhases returns all phases, in the order in which they are reached.
func TakeoverPhases() []TakeoverPhase {
	all := make([]TakeoverPhase, 0, phaseCount)
	for p := LastHeard; p < phaseCount; p++ {
		all = append(all, p)
	}
	return all
}

// Takeover records when each phase of a takeover was reached.
type Takeover struct {
	Term uint64
	Warm bool // the new leader started from the copy
	at   [phaseCount]time.Time
}

// Reached records when a phase was reached, and reports whether this is the first time. Later times
// aren't recorded.
func (t *Takeover) Reached(p TakeoverPhase, at time.Time) bool {
	if !t.at[p].IsZero() {
		return false
	}
	t.at[p] = at
	return true
}

// At returns when a phase was reached, or the zero time if it wasn't.
func (t *Takeover) At(p TakeoverPhase) time.Time { return t.at[p] }

// Since returns the time from Vacant to a phase. Reached is false if either wasn't reached.
func (t *Takeover) Since(p TakeoverPhase) (elapsed time.Duration, reached bool) {
	if t.at[Vacant].IsZero() || t.at[p].IsZero() {
		return 0, false
	}
	return t.at[p].Sub(t.at[Vacant]), true
}
