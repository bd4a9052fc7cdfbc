package recovery

import (
	"maps"
	"slices"
	"time"
)

// MachineState is how far a machine's differences are settled.
type MachineState uint8

// States of a machine.
const (
	Expected  MachineState = iota // a record names it; it hasn't reported under this term
	Reporting                     // it has reported, but not yet with this term's fencing token
	Differing                     // it has, and something on it is still to be ended
	Settled                       // all that is on it is known
	Missing                       // it was given up: its lease is over, or it is released
	Unknown                       // no record names it, and it hasn't reported with this term's fencing token
	machineStates
)

var machineStateNames = [...]string{"expected", "reported", "differing", "settled", "missing", "unknown"}

// String returns the state's name, as operators see it.
func (s MachineState) String() string { return machineStateNames[s] }

// TermState is how far a term's recovery is.
type TermState uint8

// States of a term.
const (
	Collecting TermState = iota // too few machines have reported to place anything
	Settling                    // placing has begun; some machines aren't settled
	Paced                       // all are; orders still go out at a bounded pace
	Normal                      // recovery is over
)

var termStateNames = [...]string{"collecting", "settling", "paced", "normal"}

// String returns the state's name, as operators see it.
func (s TermState) String() string { return termStateNames[s] }

// Options are the bounds of a recovery.
type Options struct {
	HeartbeatInterval time.Duration
	// RestoredBound is how long nothing is placed where the state service was restored from
	// an older copy: by then each worker has reported under this term, or its lease is over.
	RestoredBound time.Duration
	// FirstTerm says that nobody led before, so that nothing can have been forgotten.
	FirstTerm bool
	Pace      PaceOptions
}

// collectSlack is what is added to the heartbeat interval in which all machines should report.
const collectSlack = time.Second

// awaitingHeartbeatPart is the part of the machines that may be expected still when placing begins.
const awaitingHeartbeatPart = 5

// Reconciler follows the recovery of a term. It isn't safe for concurrent use.
type Reconciler struct {
	options               Options
	started               time.Time
	state                 TermState
	since                 time.Time // when the state was entered
	machines              map[string]*machine
	counts                [machineStates]int
	recorded              bool // any machine was on record
	previousTermConfirmed bool // a worker has shown that the term before this one is the last it knows of
	expectedByWarmState   int  // of the expected ones, those that a confirmed view vouches for
	found                 [reasons]int
	restored              bool
	pacer                 *Pacer
	done                  time.Time // when recovery was over
}

// machine is what is known of a machine's recovery.
type machine struct {
	state               MachineState
	expectedByWarmState bool
	why                 Reason // of the last difference
	differs             bool
}

// New begins the recovery of a term.
func New(now time.Time, options Options) *Reconciler {
	return &Reconciler{options: options, started: now, since: now, machines: map[string]*machine{}, pacer: NewPacer(now, options.Pace)}
}

// Pacer returns the pace of orders.
func (r *Reconciler) Pacer() *Pacer { return r.pacer }

// State returns the term's state.
func (r *Reconciler) State() TermState { return r.state }

// move is the one place where the term's state changes.
func (r *Reconciler) move(now time.Time, to TermState) {
	if r.state == to {
		return
	}
	r.state, r.since = to, now
	if to == Normal {
		r.done = now
	}
}

// moveMachine is the one place where a machine's state changes.
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

func (r *Reconciler) setExpectedByWarmState(m *machine, trusted bool) {
	if m.expectedByWarmState == trusted {
		return
	}
	m.expectedByWarmState = trusted
	if trusted {
		r.expectedByWarmState++
	} else {
		r.expectedByWarmState--
	}
}

// Expect notes that a record names a machine.
func (r *Reconciler) Expect(name string) {
	r.recorded = true
	r.moveMachine(name, Expected)
}

// ExpectByWarmState notes whether a confirmed view of the last leader vouches for an expected machine.
func (r *Reconciler) ExpectByWarmState(name string, trusted bool) {
	if m := r.machines[name]; m != nil && m.state == Expected {
		r.setExpectedByWarmState(m, trusted)
	}
}

// Discover notes a machine that no record names.
func (r *Reconciler) Discover(name string) {
	if r.machines[name] == nil {
		r.moveMachine(name, Unknown)
	}
}

// HeartbeatReceived notes a heartbeat of a machine. Open says that something on it is still to be ended.
func (r *Reconciler) HeartbeatReceived(name string, confirmed, open bool) {
	m := r.machines[name]
	if m != nil && m.state == Settled && !open {
		return // mostly
	}
	switch {
	case confirmed && open:
		r.moveMachine(name, Differing)
	case confirmed:
		r.moveMachine(name, Settled)
	case m != nil && m.state == Unknown:
	default:
		r.moveMachine(name, Reporting)
	}
}

// GivenUp notes that a machine is given up.
func (r *Reconciler) GivenUp(name string) {
	if r.machines[name] != nil {
		r.moveMachine(name, Missing)
	}
}

// MachineRemoved forgets a machine that is proven gone.
func (r *Reconciler) MachineRemoved(name string) {
	m := r.machines[name]
	if m == nil {
		return
	}
	r.setExpectedByWarmState(m, false)
	r.counts[m.state]--
	delete(r.machines, name)
}

// Found counts a finding about a machine.
func (r *Reconciler) Found(name string, f Finding) {
	r.found[f.Reason]++
	if f.Action == Keep || r.state == Normal {
		return // mostly
	}
	if m := r.machines[name]; m != nil {
		m.why, m.differs = f.Reason, true
	}
}

// Restored notes that the state service was restored from an older copy: workers have seen
// higher terms than it knows.
func (r *Reconciler) Restored() { r.restored = true }

// total is how many machines are known.
func (r *Reconciler) total() int { return len(r.machines) }

// awaitingHeartbeat is how many machines on record are neither heard of nor vouched for.
func (r *Reconciler) awaitingHeartbeat() int { return r.counts[Expected] - r.expectedByWarmState }

// MayPlace tells whether enough is known to place work: nearly all machines on record have
// reported, or a heartbeat interval has passed. What is placed on is proven free in any case; with
// few machines heard it would be placed badly. If no machine is on record, a worker has to
// report that has served an earlier leader, or the heartbeat interval to pass: were the state
// service restored from a copy without any, only the workers' fencing tokens would show it. Listed says that the cloud's list was read.
// Where a confirmed view vouches for machines, half of all are enough.
func (r *Reconciler) MayPlace(now time.Time, listed bool) bool {
	if r.restored {
		return r.RestoreSettled(now)
	}
	if now.Sub(r.started) > r.options.HeartbeatInterval*5/4+collectSlack {
		return true
	}
	if r.expectedByWarmState > 0 && 2*r.awaitingHeartbeat() <= r.total() {
		return true
	}
	if !r.recorded && !r.previousTermConfirmed && !r.options.FirstTerm {
		return false // nobody on record could show that the records are older than the machines
	}
	return r.total() > 0 && listed && r.awaitingHeartbeat() <= r.total()/awaitingHeartbeatPart
}

// RestoreSettled tells whether nothing that a restored state service has forgotten can be
// running unknown any more: what reported under this term was adopted, and the leases of all
// other workers are over. Reports alone wouldn't do, since the cloud's list lags.
func (r *Reconciler) RestoreSettled(now time.Time) bool {
	return !r.restored || now.Sub(r.started) > r.options.RestoredBound
}

// ConfirmPreviousTerm notes that a worker has reported which has served an earlier leader, and knows of no
// term after this one.
func (r *Reconciler) ConfirmPreviousTerm() { r.previousTermConfirmed = true }

// Advance moves the term's state on.
func (r *Reconciler) Advance(now time.Time, listed bool) {
	if r.state == Normal {
		return
	}
	if r.state == Collecting && r.MayPlace(now, listed) {
		r.move(now, Settling)
	}
	if r.state == Settling && r.counts[Expected]+r.counts[Reporting]+r.counts[Differing] == 0 {
		r.move(now, Paced)
	}
	if r.state == Paced && r.pacer.AtHighest() {
		r.move(now, Normal)
	}
}

// Status is a recovery as an operator wants to see it.
type Status struct {
	State     string         `json:"state"`
	Since     time.Duration  `json:"since_ns"` // the term's start
	Took      time.Duration  `json:"took_ns"`  // until it was over; 0: it isn't
	Machines  map[string]int `json:"machines"` // by state
	Findings  map[string]int `json:"findings"` // by reason
	Unsettled []Unsettled    `json:"unsettled,omitempty"`
	Restored  bool           `json:"restored,omitempty"`
	Pace      float64        `json:"pace"` // starts a second; 0: unbounded
}

// Unsettled is a machine that isn't settled, and why.
type Unsettled struct {
	Machine string `json:"machine"`
	State   string `json:"state"`
	Why     string `json:"why,omitempty"`
}

// maxUnsettled is how many machines a status names.
const maxUnsettled = 100

// Status tells of the recovery.
func (r *Reconciler) Status(now time.Time) Status {
	s := Status{State: r.state.String(), Since: now.Sub(r.started), Machines: map[string]int{}, Findings: map[string]int{}, Restored: r.restored, Pace: r.pacer.Rate()}
	if !r.done.IsZero() {
		s.Took = r.done.Sub(r.started)
	}
	for state, n := range r.counts {
		if n > 0 {
			s.Machines[MachineState(state).String()] = n
		}
	}
	for reason, n := range r.found {
		if n > 0 {
			s.Findings[Reason(reason).String()] = n
		}
	}
	if r.state == Normal {
		return s
	}
	for _, name := range slices.Sorted(maps.Keys(r.machines)) {
		m := r.machines[name]
		if m.state == Settled || len(s.Unsettled) >= maxUnsettled {
			continue
		}
		u := Unsettled{Machine: name, State: m.state.String()}
		if m.differs {
			u.Why = m.why.String()
		}
		s.Unsettled = append(s.Unsettled, u)
	}
	return s
}
