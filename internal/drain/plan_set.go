package drain

import (
	"cmp"
	"slices"
	"time"
)

// planProgress is a plan with the leader's progress in carrying it out.
type planProgress struct {
	Plan
	version         uint64
	knownSince      time.Time // when this leader first read the plan
	queue           machineQueue
	recordWriting   bool      // a write of the plan's record is under way
	recordNotBefore time.Time // the record isn't written before that
}

// compareAge orders plans by their time of creation, then by ID.
func (p *planProgress) compareAge(o *planProgress) int {
	return cmp.Or(cmp.Compare(p.CreatedMS, o.CreatedMS), cmp.Compare(p.ID, o.ID))
}

// takesMachines reports whether machines may be queued for the plan: it isn't over, and the last
// machine that it applies to is known.
func (p *planProgress) takesMachines() bool { return !p.Phase.Final() && p.Through != "" }

// planSet holds the plans that this leader knows.
type planSet struct {
	byID         map[string]*planProgress
	byAge        []*planProgress // the oldest first
	plansQueuing map[string]int  // by machine, the number of queues that hold it
}

func newPlanSet() planSet {
	return planSet{byID: map[string]*planProgress{}, plansQueuing: map[string]int{}}
}

// put adds a plan, or updates its record. A pause of its queue ends, so that machines may be proposed
// at once.
func (s *planSet) put(now time.Time, stored StoredPlan) *planProgress {
	p := s.byID[stored.Plan.ID]
	if p == nil {
		p = &planProgress{queue: newMachineQueue(s.plansQueuing), knownSince: now}
		s.byID[stored.Plan.ID] = p
		s.byAge = append(s.byAge, p)
	}
	p.Plan, p.version, p.queue.retryAt = stored.Plan, stored.Version, time.Time{}
	slices.SortFunc(s.byAge, (*planProgress).compareAge)
	return p
}

// remove forgets a plan.
func (s *planSet) remove(p *planProgress) {
	delete(s.byID, p.ID)
	s.byAge = slices.DeleteFunc(s.byAge, func(o *planProgress) bool { return o == p })
}

// finished lists the plans that are over, the oldest first.
func (s *planSet) finished() []*planProgress {
	var out []*planProgress
	for _, p := range s.byAge {
		if p.Phase.Final() {
			out = append(out, p)
		}
	}
	return out
}

// queued reports whether a machine is in the queue of any plan.
func (s *planSet) queued(machine string) bool { return s.plansQueuing[machine] > 0 }
