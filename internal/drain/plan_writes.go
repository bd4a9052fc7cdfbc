package drain

import (
	"slices"
	"time"
)

const (
	// planRetryInterval is the pause after a write of a plan's record.
	planRetryInterval = 2 * time.Second
	// keptPlans is how many plans that are over are kept for operators to look at.
	keptPlans = 20
	// settleTime is how long a leader has to know a plan before it may conclude that none of its
	// machines is left.
	settleTime = 10 * time.Second
)

// PlanWrite is a plan's record that has to be written in place of a version of it; with Drop, it
// has to be deleted.
type PlanWrite struct {
	Plan    Plan
	Version uint64
	Delete  bool
}

// PlanWrites lists writes of plans' records that follow from what this leader knows: the last
// machine that a new plan applies to, the end of a plan whose machines are all gone or whose
// deadline has passed, and the deletion of plans that have long been over. The argument newest is
// the last machine known; complete says that all machines that exist are known.
func (c *Coordinator) PlanWrites(now time.Time, newest string, complete bool) []PlanWrite {
	var out []PlanWrite
	for _, p := range c.plans.byAge {
		if p.recordWriting || now.Before(p.recordRetryAt) {
			continue
		}
		if write, due := c.planWrite(now, p, newest, complete); due {
			p.recordWriting = true
			out = append(out, write)
		}
	}
	return out
}

// planWrite returns the write of a plan's record that is due now, if any.
func (c *Coordinator) planWrite(
	now time.Time, p *planProgress, newest string, complete bool,
) (write PlanWrite, due bool) {
	write = PlanWrite{Plan: p.Plan, Version: p.version}
	switch end := p.DeadlineAt(); {
	case p.Phase.Final():
		write.Delete = true
		return write, c.isNextForgotten(p)
	case !end.IsZero() && now.After(end):
		return write, write.Plan.MoveTo(Expired)
	case p.Through == "" && newest != "" && complete:
		write.Plan.Through = newest
		return write, true
	case complete && c.isEmptied(now, p):
		return write, write.Plan.MoveTo(Completed)
	}
	return write, false
}

// isEmptied reports whether none of a plan's machines is left to be drained, provided that all
// machines that exist are known.
func (c *Coordinator) isEmptied(now time.Time, p *planProgress) bool {
	return p.Through != "" && len(p.queue.names) == 0 && c.machines.activeByPlan[p.ID] == 0 &&
		now.Sub(p.knownSince) > settleTime
}

// isNextForgotten reports whether a plan is the oldest of more finished plans than are kept. A plan
// that has machines which stay cordoned isn't forgotten.
func (c *Coordinator) isNextForgotten(p *planProgress) bool {
	finished := c.plans.finished()
	if len(finished) <= keptPlans {
		return false
	}
	oldest := slices.IndexFunc(finished, func(o *planProgress) bool { return len(c.machines.of(o.ID)) == 0 })
	return oldest >= 0 && finished[oldest] == p
}

// PlanWritten notes that a write of a plan's record has ended. The new record arrives by PlanStored;
// a plan whose record was deleted is forgotten here.
func (c *Coordinator) PlanWritten(now time.Time, w PlanWrite, ok bool) {
	p := c.plans.byID[w.Plan.ID]
	if p == nil {
		return
	}
	p.recordWriting, p.recordRetryAt = false, now.Add(planRetryInterval)
	if w.Delete && ok {
		c.plans.remove(p)
	}
}
