package recovery

import (
	"maps"
	"slices"
	"time"
)

// Status is the state of a recovery as operators see it.
type Status struct {
	State     string         `json:"state"`
	Since     time.Duration  `json:"since_ns"` // since the term's start
	Took      time.Duration  `json:"took_ns"`  // from the term's start to the recovery's end; 0 if it isn't over
	Machines  map[string]int `json:"machines"` // number of machines by state
	Findings  map[string]int `json:"findings"` // number of findings by reason
	Unsettled []Unsettled    `json:"unsettled,omitempty"`
	Restored  bool           `json:"restored,omitempty"` // the state service was restored from an older copy
	Pace      float64        `json:"pace"`               // limit in starts per second; 0 if there is none
}

// Unsettled is a machine that isn't settled yet.
type Unsettled struct {
	Machine        string `json:"machine"`
	State          string `json:"state"`
	LastDifference string `json:"why,omitempty"` // reason of the last difference found on it; empty if there is none
}

// maxUnsettled is the largest number of machines in Status.Unsettled.
const maxUnsettled = 100

// Status returns the state of the recovery for operators.
func (r *Reconciler) Status(now time.Time) Status {
	s := Status{
		State: r.state.String(), Since: now.Sub(r.started), Restored: r.restored, Pace: r.pacer.Rate(),
		Machines: map[string]int{}, Findings: map[string]int{},
	}
	if !r.finished.IsZero() {
		s.Took = r.finished.Sub(r.started)
	}
	for state, count := range r.counts {
		if count > 0 {
			s.Machines[MachineState(state).String()] = count
		}
	}
	for reason, count := range r.findings {
		if count > 0 {
			s.Findings[Reason(reason).String()] = count
		}
	}
	if r.state != Normal {
		s.Unsettled = r.unsettled()
	}
	return s
}

// unsettled returns the machines that aren't settled, sorted by name, and at most maxUnsettled of them.
func (r *Reconciler) unsettled() []Unsettled {
	var list []Unsettled
	for _, name := range slices.Sorted(maps.Keys(r.machines)) {
		m := r.machines[name]
		if m.state == Settled || len(list) >= maxUnsettled {
			continue
		}
		entry := Unsettled{Machine: name, State: m.state.String()}
		if m.differs {
			entry.LastDifference = m.lastDifference.String()
		}
		list = append(list, entry)
	}
	return list
}
