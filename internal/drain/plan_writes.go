package drain

import (
	"slices"
	"time"
)

const (
	// planWriteInterval is the pause between two writes of a plan's record.
	planWriteInterval = 2 * time.Second
	// keptPlans is how many finished plans are kept for operators to look at.
	keptPlans = 20
	// settleTime is how long a leader has to have known a plan before it may conclude that none of
	// the plan's machines is left.
	settleTime = 10 * time.Second
)

// PlanWrite is a write of a plan's record, or with Delete, its deletion. It is conditional on the
// state service holding Version of the record.
type PlanWrite struct {
	Plan    Plan
	Version uint64
	Delete  bool
}

// PlanWrites lists the writes of plans' records that are due: they set the last machine that a new
// plan applies to, end a plan whose machines are all gone or whose deadline has passed, or delete the
// oldest finished plan if too many are kept. The argument newest is the last machine known, by name;
// complete says that all machines that exist are known. The caller reports the outcome of each write
// by PlanWritten; until then no other write of that plan is listed.
func (c *Coordinator) PlanWrites(now time.Time, newest string, complete bool) []PlanWrite {
	var out []PlanWrite
	for _, p := range c.plans.byAge {
		if p.recordWriting || now.Before(p.recordNotBefore) {
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
	switch deadline := p.DeadlineAt(); {
	case p.Phase.Final():
		write.Delete = true
		return write, c.isNextDeleted(p)
	case !deadline.IsZero() && now.After(deadline):
		return write, write.Plan.MoveTo(Expired)
	case p.Through == "" && newest != "" && complete:
		write.Plan.Through = newest
		return write, true
	case complete && c.isEmptied(now, p):
		return write, write.Plan.MoveTo(Completed)
	}
	return write, false
}

// isEmptied reports whether no machine of a plan is left to be drained. The caller has made sure that
// all machines that exist are known.
func (c *Coordinator) isEmptied(now time.Time, p *planProgress) bool {
	return p.Through != "" && len(p.queue.names) == 0 && c.machines.activeByPlan[p.ID] == 0 &&
		now.Sub(p.knownSince) > settleTime
}

// isNextDeleted reports whether there are more finished plans than are kept and this one is the first
// to be deleted: the oldest that has no machines left. One whose machines stay cordoned is kept.
func (c *Coordinator) isNextDeleted(p *planProgress) bool {
	finished := c.plans.finished()
	if len(finished) <= keptPlans {
		return false
	}
	oldest := slices.IndexFunc(finished, func(o *planProgress) bool { return len(c.machines.of(o.ID)) == 0 })
	return oldest >= 0 && finished[oldest] == p
}

// PlanWritten records that a write of a plan's record has ended. The new record arrives by
// PlanStored; a plan whose record was deleted is removed here.
func (c *Coordinator) PlanWritten(now time.Time, w PlanWrite, ok bool) {
	p := c.plans.byID[w.Plan.ID]
	if p == nil {
		return
	}
	p.recordWriting, p.recordNotBefore = false, now.Add(planWriteInterval)
	if w.Delete && ok {
		c.plans.remove(p)
	}
}
