package overload

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/admission"
)

// Status describes the policy that a controller applies. Its JSON is part of the operators' interface.
type Status struct {
	Term     uint64        `json:"term"`
	Number   uint64        `json:"number"`
	Reason   string        `json:"reason"`
	Age      time.Duration `json:"age_ns"` // since the policy was last confirmed
	Fallback bool          `json:"fallback"`
	Classes  []ClassStatus `json:"classes"`
}

// ClassStatus describes how a controller treats the jobs of one team, class and priority, and holds
// its counts of them since its start.
type ClassStatus struct {
	Team     string  `json:"team"`
	Class    string  `json:"class"`
	Priority int     `json:"priority"`
	Due      float64 `json:"due"`      // fair share, as a part of the capacity; 0 without overload
	Asked    float64 `json:"asked"`    // demand as the leader measures it, as a part of the capacity
	Got      float64 `json:"got"`      // admitted demand, likewise; 0 if the class isn't limited
	Fraction float64 `json:"fraction"` // part of the jobs whose turn begins with each policy; 1: all are admitted
	Offered  int     `json:"offered"`
	Admitted int     `json:"admitted"`
	Refused  int     `json:"refused"`
}

// compareClasses orders classes by team, then priority, then class.
func compareClasses(a, b ClassStatus) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Class, b.Class))
}

// Status implements Controller.
func (n *Node) Status(now time.Time) *Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	policy := n.gate.Policy()
	status := &Status{Term: policy.Term, Number: policy.Number, Reason: policy.Reason.String(),
		Age: now.Sub(n.gate.ConfirmedAt()), Fallback: n.gate.InFallback(now)}
	for _, class := range n.classStatuses(policy) {
		status.Classes = append(status.Classes, *class)
	}
	slices.SortFunc(status.Classes, compareClasses)
	return status
}

// classStatuses joins shares, measurements and totals by key. The caller holds n.mu.
func (n *Node) classStatuses(policy *admission.Policy) map[admission.Key]*ClassStatus {
	classes := map[admission.Key]*ClassStatus{}
	statusOf := func(key admission.Key) *ClassStatus {
		if classes[key] == nil {
			classes[key] = &ClassStatus{Team: key.Team, Class: key.Class, Priority: int(key.Priority), Fraction: 1}
		}
		return classes[key]
	}
	for _, share := range policy.Shares {
		class := statusOf(share.Key)
		class.Due, class.Fraction = share.FairShare, share.Fraction
	}
	for _, measured := range n.measurements {
		class := statusOf(measured.Key)
		class.Asked, class.Got = measured.Offered, measured.Admitted
	}
	for key, total := range n.totals {
		class := statusOf(key)
		class.Offered, class.Admitted, class.Refused = total.Offered, total.Admitted, total.Refused
	}
	return classes
}
