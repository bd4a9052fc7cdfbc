package recovery

import "time"

// Options are the settings of a recovery.
type Options struct {
	// HeartbeatInterval is the interval of the workers' heartbeats.
	HeartbeatInterval time.Duration
	// RestoredBound is how long nothing is placed if the state service was restored from an older
	// copy. After that time each worker has sent a heartbeat to this leader, or its lease has expired.
	RestoredBound time.Duration
	// FirstTerm says that there was no earlier leader, so that nothing can be missing from the records.
	FirstTerm bool
	// Pace are the settings of the term's Pacer.
	Pace PaceOptions
}

// collectSlack is added to the time after which all machines should have sent a heartbeat.
const collectSlack = time.Second

// maxAwaitedDivisor sets how many machines may still be awaited when placing begins without a warm
// state and before the time is up: one in maxAwaitedDivisor of the known machines (MayPlace).
const maxAwaitedDivisor = 5

// Reconciler tracks the recovery of one term. It isn't safe for concurrent use.
type Reconciler struct {
	options               Options
	started               time.Time // the start of the term
	finished              time.Time // the end of the recovery; zero if it isn't over
	state                 TermState
	machines              map[string]*machine
	counts                [machineStateCount]int // machines by state
	confirmedByWarmState  int                    // machines in state Expected that the warm state confirms
	anyRecorded           bool                   // at least one machine was recorded
	previousTermConfirmed bool                   // see ConfirmPreviousTerm
	restored              bool                   // the state service was restored from an older copy
	findings              [reasonCount]int       // findings by reason
	pacer                 *Pacer
}

// machine is the state of one machine's recovery.
type machine struct {
	state                MachineState
	confirmedByWarmState bool   // the warm state agrees with its records (SetConfirmedByWarmState)
	differs              bool   // a difference was found on the machine
	lastDifference       Reason // the last difference found; valid if differs is set
}

// New returns the Reconciler of a term that starts now.
func New(now time.Time, options Options) *Reconciler {
	return &Reconciler{
		options: options, started: now, machines: map[string]*machine{}, pacer: NewPacer(now, options.Pace),
	}
}

// Pacer returns the Pacer of the term's starts.
func (r *Reconciler) Pacer() *Pacer { return r.pacer }

// State returns how far the recovery of the term has come.
func (r *Reconciler) State() TermState { return r.state }

// setState changes the term's state. Nothing else writes that field.
func (r *Reconciler) setState(now time.Time, to TermState) {
	if r.state == to {
		return
	}
	r.state = to
	if to == Normal {
		r.finished = now
	}
}

// setMachineState changes a machine's state, or adds the machine in that state if it is new. Nothing
// else writes machine.state.
func (r *Reconciler) setMachineState(name string, to MachineState) *machine {
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
		r.setWarmConfirmation(m, false)
	}
	return m
}

// setWarmConfirmation sets whether the warm state confirms a machine. Nothing else writes that field.
func (r *Reconciler) setWarmConfirmation(m *machine, confirmed bool) {
	if m.confirmedByWarmState == confirmed {
		return
	}
	m.confirmedByWarmState = confirmed
	if confirmed {
		r.confirmedByWarmState++
	} else {
		r.confirmedByWarmState--
	}
}

// AddRecordedMachine adds a machine that is recorded, and expects a heartbeat from it.
func (r *Reconciler) AddRecordedMachine(name string) {
	r.anyRecorded = true
	r.setMachineState(name, Expected)
}

// SetConfirmedByWarmState sets whether the previous leader's warm state, which the state service has
// confirmed, agrees with the records about an expected machine. Placing needn't wait for a heartbeat
// of such a machine.
func (r *Reconciler) SetConfirmedByWarmState(name string, confirmed bool) {
	if m := r.machines[name]; m != nil && m.state == Expected {
		r.setWarmConfirmation(m, confirmed)
	}
}

// AddUnrecordedMachine adds a machine that isn't recorded, unless it was added before.
func (r *Reconciler) AddUnrecordedMachine(name string) {
	if r.machines[name] == nil {
		r.setMachineState(name, Unknown)
	}
}

// ObservedHeartbeat is what a heartbeat shows about its machine as a whole.
type ObservedHeartbeat struct {
	TermConfirmed bool // the heartbeat carries this term's fencing token
	HasUnwanted   bool // an attempt that wasn't recorded still has to be ended on the machine
}

// HeartbeatReceived updates a machine's state after a heartbeat, and adds the machine if it is new.
func (r *Reconciler) HeartbeatReceived(name string, heartbeat ObservedHeartbeat) {
	m := r.machines[name]
	if m != nil && m.state == Settled && !heartbeat.HasUnwanted {
		return // the common case
	}
	switch {
	case heartbeat.TermConfirmed && heartbeat.HasUnwanted:
		r.setMachineState(name, Differing)
	case heartbeat.TermConfirmed:
		r.setMachineState(name, Settled)
	case m != nil && m.state == Unknown: // it stays unknown until a heartbeat carries the token
	default:
		r.setMachineState(name, Reported)
	}
}

// MachineGivenUp marks a machine as missing because it has become unresponsive, its worker's lease has
// expired or it is being deleted.
func (r *Reconciler) MachineGivenUp(name string) {
	if r.machines[name] != nil {
		r.setMachineState(name, Missing)
	}
}

// MachineRemoved removes a machine that is proven gone.
func (r *Reconciler) MachineRemoved(name string) {
	m := r.machines[name]
	if m == nil {
		return
	}
	r.setWarmConfirmation(m, false)
	r.counts[m.state]--
	delete(r.machines, name)
}

// AddFinding counts a finding. Until the recovery is over, it also remembers a finding whose action
// isn't Keep as the machine's last difference.
func (r *Reconciler) AddFinding(name string, f Finding) {
	r.findings[f.Reason]++
	if f.Action == Keep || r.state == Normal {
		return // the common case
	}
	if m := r.machines[name]; m != nil {
		m.lastDifference, m.differs = f.Reason, true
	}
}

// StateServiceRestored records that the state service was restored from an older copy, which shows in
// workers that have seen higher terms than the state service has.
func (r *Reconciler) StateServiceRestored() { r.restored = true }

// awaitingHeartbeat returns the number of expected machines that the warm state doesn't confirm.
func (r *Reconciler) awaitingHeartbeat() int { return r.counts[Expected] - r.confirmedByWarmState }

// MayPlace reports whether enough is known to place tasks. Listed says that the cloud's list of
// machines was read in this term.
//
// Placing early is safe, since tasks are placed only on capacity that is proven free, but with few
// machines known they would be placed badly. A machine is awaited while it is in state Expected and
// the warm state doesn't confirm it. Placing begins once one of these is true:
//   - the list was read, a machine is known, and at most one in maxAwaitedDivisor is awaited;
//   - the warm state confirms a machine, and no more than half of the known machines are awaited;
//   - all machines should have sent a heartbeat: 5/4 of HeartbeatInterval and collectSlack are over.
//
// If no machine is recorded, the state service may have been restored from a copy that has none, and
// only the fencing tokens of workers can show that. Except in the very first term, the first
// condition then also requires ConfirmPreviousTerm. After a restore that was noticed, only
// RestoreSettled counts.
func (r *Reconciler) MayPlace(now time.Time, listed bool) bool {
	if r.restored {
		return r.RestoreSettled(now)
	}
	if now.Sub(r.started) > r.options.HeartbeatInterval*5/4+collectSlack {
		return true
	}
	known := len(r.machines)
	if r.confirmedByWarmState > 0 && 2*r.awaitingHeartbeat() <= known {
		return true
	}
	if !r.anyRecorded && !r.previousTermConfirmed && !r.options.FirstTerm {
		return false
	}
	return known > 0 && listed && r.awaitingHeartbeat() <= known/maxAwaitedDivisor
}

// RestoreSettled reports whether each attempt that the state service lost in a restore is known again
// or can't be running any more: what was reported in this term was adopted, and the leases of all
// other workers have expired. Heartbeats from all listed machines wouldn't prove that, since the
// cloud's list lags behind. It is true if there was no restore.
func (r *Reconciler) RestoreSettled(now time.Time) bool {
	return !r.restored || now.Sub(r.started) > r.options.RestoredBound
}

// ConfirmPreviousTerm records that a worker has sent a fencing token, of this term or an earlier
// one, which isn't higher than the state service's term. So the records are at least as recent as
// what the worker knows.
func (r *Reconciler) ConfirmPreviousTerm() { r.previousTermConfirmed = true }

// Advance moves the term through the next states whose conditions are met. Listed says that the
// cloud's list of machines was read in this term.
func (r *Reconciler) Advance(now time.Time, listed bool) {
	if r.state == Normal {
		return
	}
	if r.state == Collecting && r.MayPlace(now, listed) {
		r.setState(now, Settling)
	}
	if r.state == Settling && r.counts[Expected]+r.counts[Reported]+r.counts[Differing] == 0 {
		r.setState(now, Paced)
	}
	if r.state == Paced && r.pacer.Unlimited() {
		r.setState(now, Normal)
	}
}
