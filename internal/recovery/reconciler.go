package recovery

import "time"

// Options are the settings of a recovery.
type Options struct {
	HeartbeatInterval time.Duration
	// RestoredBound is for how long nothing is placed if the state service was restored from an
	// older copy: after it each worker has sent a heartbeat to this leader, or its lease has expired.
	RestoredBound time.Duration
	// FirstTerm says that there was no leader before, so that nothing can be missing from the records.
	FirstTerm bool
	Pace      PaceOptions
}

// collectSlack is added to the time within which all machines should have sent a heartbeat.
const collectSlack = time.Second

// maxAwaitedShare is the share of the machines, one in this many, that may still be awaited when
// placing begins.
const maxAwaitedShare = 5

// Reconciler follows the recovery of one term. It isn't safe for concurrent use.
type Reconciler struct {
	options               Options
	started               time.Time // the start of the term
	finished              time.Time // the end of the recovery; zero: it isn't over
	state                 TermState
	machines              map[string]*machine
	counts                [machineStates]int // machines by state
	expectedByWarmState   int                // Expected machines that the warm state confirms
	recorded              bool               // at least one machine was recorded
	previousTermConfirmed bool               // a worker has shown that the records aren't older than it is
	restored              bool               // the state service was restored from an older copy
	findings              [reasons]int       // findings by reason
	pacer                 *Pacer
}

// machine is the state of one machine's recovery.
type machine struct {
	state               MachineState
	expectedByWarmState bool   // the warm state confirms what is recorded of it
	differs             bool   // a difference was found on it
	lastDifference      Reason // if differs
}

// New begins the recovery of a term that starts now.
func New(now time.Time, options Options) *Reconciler {
	return &Reconciler{
		options: options, started: now, machines: map[string]*machine{}, pacer: NewPacer(now, options.Pace),
	}
}

// Pacer returns the limiter of the term's starts.
func (r *Reconciler) Pacer() *Pacer { return r.pacer }

// State returns how far the recovery of the term has come.
func (r *Reconciler) State() TermState { return r.state }

// move changes the term's state; nothing else does.
func (r *Reconciler) move(now time.Time, to TermState) {
	if r.state == to {
		return
	}
	r.state = to
	if to == Normal {
		r.finished = now
	}
}

// moveMachine changes a machine's state, and adds the machine if it is new; nothing else does.
func (r *Reconciler) moveMachine(name string, to MachineState) *machine {
	m := r.machines[name]
	if m == nil {
		m = &machine{state: to}
		r.machines[name] = m
		r.counts[to]++
		return m
	}
	if m.state == to {
		return m
	}
	r.counts[m.state]--
	r.counts[to]++
	m.state = to
	if to != Expected {
		r.setExpectedByWarmState(m, false)
	}
	return m
}

// setExpectedByWarmState changes whether the warm state confirms a machine; nothing else does.
func (r *Reconciler) setExpectedByWarmState(m *machine, confirmed bool) {
	if m.expectedByWarmState == confirmed {
		return
	}
	m.expectedByWarmState = confirmed
	if confirmed {
		r.expectedByWarmState++
	} else {
		r.expectedByWarmState--
	}
}

// AddRecordedMachine adds a machine that is recorded.
func (r *Reconciler) AddRecordedMachine(name string) {
	r.recorded = true
	r.moveMachine(name, Expected)
}

// SetConfirmedByWarmState sets whether the warm state of the leader before, which the state service has
// confirmed, says the same of an expected machine as the records. Such a machine needn't be
// awaited.
func (r *Reconciler) SetConfirmedByWarmState(name string, confirmed bool) {
	if m := r.machines[name]; m != nil && m.state == Expected {
		r.setExpectedByWarmState(m, confirmed)
	}
}

// AddUnrecordedMachine adds a machine that isn't recorded, unless it is known.
func (r *Reconciler) AddUnrecordedMachine(name string) {
	if r.machines[name] == nil {
		r.moveMachine(name, Unknown)
	}
}

// ObservedHeartbeat is what a heartbeat says of its machine as a whole.
type ObservedHeartbeat struct {
	TermConfirmed bool // it carries this term's fencing token
	HasUnrecorded bool // an attempt that nobody recorded still has to be ended there
}

// HeartbeatReceived moves a machine on after a heartbeat.
func (r *Reconciler) HeartbeatReceived(name string, heartbeat ObservedHeartbeat) {
	m := r.machines[name]
	if m != nil && m.state == Settled && !heartbeat.HasUnrecorded {
		return // the common case
	}
	switch {
	case heartbeat.TermConfirmed && heartbeat.HasUnrecorded:
		r.moveMachine(name, Differing)
	case heartbeat.TermConfirmed:
		r.moveMachine(name, Settled)
	case m != nil && m.state == Unknown: // it stays unknown until a heartbeat carries the token
	default:
		r.moveMachine(name, Reported)
	}
}

// MachineGivenUp takes in that the lease of a machine has expired or that the machine is being deleted.
func (r *Reconciler) MachineGivenUp(name string) {
	if r.machines[name] != nil {
		r.moveMachine(name, Missing)
	}
}

// MachineRemoved removes a machine that is proven gone.
func (r *Reconciler) MachineRemoved(name string) {
	m := r.machines[name]
	if m == nil {
		return
	}
	r.setExpectedByWarmState(m, false)
	r.counts[m.state]--
	delete(r.machines, name)
}

// AddFinding counts a finding, and remembers it as the machine's last difference.
func (r *Reconciler) AddFinding(name string, f Finding) {
	r.findings[f.Reason]++
	if f.Action == Keep || r.state == Normal {
		return // the common case
	}
	if m := r.machines[name]; m != nil {
		m.lastDifference, m.differs = f.Reason, true
	}
}

// StateServiceRestored takes in that the state service was restored from an older copy: workers have seen
// higher terms than the state service has.
func (r *Reconciler) StateServiceRestored() { r.restored = true }

// awaitingHeartbeat returns how many recorded machines have neither sent a heartbeat nor are
// confirmed by the warm state.
func (r *Reconciler) awaitingHeartbeat() int { return r.counts[Expected] - r.expectedByWarmState }

// MayPlace returns whether enough is known to place tasks. Listed says that the cloud's list of
// machines was read.
//
// Placing early isn't unsafe, since tasks are placed only on what is proven free; but with few
// machines known they would be placed badly. So placing begins once nearly all recorded machines
// have sent a heartbeat, or half of them if the warm state confirms others, or once all should
// have sent one.
//
// If no machine is recorded, the state service may have been restored from a copy without any, and
// only the fencing tokens of workers can show that. Placing then waits for a worker that has served
// an earlier leader (ConfirmPreviousTerm), except in the first term of all.
func (r *Reconciler) MayPlace(now time.Time, listed bool) bool {
	if r.restored {
		return r.RestoreSettled(now)
	}
	if now.Sub(r.started) > r.options.HeartbeatInterval*5/4+collectSlack {
		return true
	}
	known := len(r.machines)
	if r.expectedByWarmState > 0 && 2*r.awaitingHeartbeat() <= known {
		return true
	}
	if !r.recorded && !r.previousTermConfirmed && !r.options.FirstTerm {
		return false
	}
	return known > 0 && listed && r.awaitingHeartbeat() <= known/maxAwaitedShare
}

// RestoreSettled returns whether nothing can run any more that a restored state service has
// forgotten and that isn't known again: what was reported in this term was adopted, and the leases
// of all other workers have expired. Having heard from all listed machines wouldn't prove that,
// since the cloud's list lags behind. Without a restore it is true.
func (r *Reconciler) RestoreSettled(now time.Time) bool {
	return !r.restored || now.Sub(r.started) > r.options.RestoredBound
}

// ConfirmPreviousTerm takes in that a worker which has served an earlier leader knows of no term
// later than the one that the state service has: the records are no older than the worker.
func (r *Reconciler) ConfirmPreviousTerm() { r.previousTermConfirmed = true }

// Advance moves the term on to the next states that it has reached. Listed says that the cloud's
// list of machines was read.
func (r *Reconciler) Advance(now time.Time, listed bool) {
	if r.state == Normal {
		return
	}
	if r.state == Collecting && r.MayPlace(now, listed) {
		r.move(now, Settling)
	}
	if r.state == Settling && r.counts[Expected]+r.counts[Reported]+r.counts[Differing] == 0 {
		r.move(now, Paced)
	}
	if r.state == Paced && r.pacer.Unlimited() {
		r.move(now, Normal)
	}
}
