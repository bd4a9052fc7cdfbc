package standby

import "time"

// Phase is a moment of a takeover.
type Phase uint8

// Phases of a takeover, in their order.
const (
	LastHeard   Phase = iota // the old leader was last heard
	Vacant                   // the leader's lease was seen to have lapsed or been given up
	ClaimStored              // the claim was stored
	ViewCurrent              // the state service was read, and the copy confirmed or given up
	FirstAnswer              // a worker's heartbeat was answered
	FirstStart               // a start was given
	phases
)

var phaseNames = [...]string{"last heard", "vacant", "claimed", "view current", "first answer", "first start"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Takeover is when each phase of a takeover was first reached.
type Takeover struct {
	Term uint64
	Warm bool // it went on from the copy
	at   [phases]time.Time
}

// Reached notes that a phase is reached; only the first time counts. It tells whether it was.
func (t *Takeover) Reached(p Phase, at time.Time) bool {
	if !t.at[p].IsZero() {
		return false
	}
	t.at[p] = at
	return true
}

// At is when a phase was reached; zero if it wasn't.
func (t *Takeover) At(p Phase) time.Time { return t.at[p] }

// Since is how long after the place was seen vacant a phase was reached; false if either
// wasn't.
func (t *Takeover) Since(p Phase) (time.Duration, bool) {
	if t.at[Vacant].IsZero() || t.at[p].IsZero() {
		return 0, false
	}
	return t.at[p].Sub(t.at[Vacant]), true
}

// Phases lists all phases in their order.
func Phases() []Phase {
	all := make([]Phase, 0, phases)
	for p := LastHeard; p < phases; p++ {
		all = append(all, p)
	}
	return all
}
