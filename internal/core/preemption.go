package core

// Which running work may be stopped to make room for other work, and at what cost.

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// preemptionCost holds the protocol's rules of preemption: for a job of higher
// priority, or to give a team its guarantee at the expense of one that is beyond
// its own. The cost is the delay of saving and the work that is lost, in seconds of a
// whole machine: many small tasks of an array are less than one gang.
func (e *Engine) preemptionCost(now time.Time, by *pipeline.Job, a *fleet.Attempt) (float64, bool) {
	j := e.jobs.get(a.Ref)
	if j == nil || a.Unrecorded || a.Stopping() || a.State() == fleet.Checkpointing {
		return 0, false
	}
	if by.Urgency >= j.Urgency && !e.mayReclaimGuarantee(by, j) || e.starvesBefore(now, j, by) {
		return 0, false
	}
	cost := 10 + j.CheckpointTime.Seconds()
	if a.State() == fleet.Running {
		ran := now.Sub(a.RunStart)
		if j.CheckpointInterval == 0 {
			cost += ran.Seconds()
		}
		if e.expectedRun(j)-ran < j.CheckpointTime+5*time.Second {
			return 0, false // as good as done
		}
	}
	if j.Shape == pipeline.Gang {
		cost *= float64(len(j.Tasks)) // they all stop
	}
	if t := e.catalog[a.Machine.Type]; t != nil {
		cost *= placement.Share(t, &j.Spec)
	}
	return cost, true
}

// starvesBefore reports whether a job of which nothing has begun for long comes before another:
// what it has just been given mustn't be taken from it again, round after round, so that
// neither ever starts.
func (e *Engine) starvesBefore(now time.Time, j, by *pipeline.Job) bool {
	if !e.pastStarvationBound(now, j) {
		return false
	}
	return !e.pastStarvationBound(now, by) || !e.starvingSince(by).Before(e.starvingSince(j))
}

// mayReclaimGuarantee reports whether a job's team is within its guarantee with what the job needs at
// once, and the other job's team beyond its own. Where both CPUs and GPUs are guaranteed,
// both have to fit; a guarantee of none holds nothing back but gives nothing either.
func (e *Engine) mayReclaimGuarantee(by, j *pipeline.Job) bool {
	if by.Team == j.Team {
		return false
	}
	t, o := e.cfg.Teams[by.Team], e.cfg.Teams[j.Team]
	u, ou := e.usage.ofTeam(by.Team), e.usage.ofTeam(j.Team)
	n := 1.0
	if by.Shape == pipeline.Gang {
		n = float64(len(by.Tasks))
	}
	cpus, gpus := u.CPUs+n*by.CPUs <= t.GuaranteedCPUs, u.GPUs+n*by.GPUs <= t.GuaranteedGPUs
	within := cpus
	if by.GPUs > 0 {
		within = gpus && (cpus || t.GuaranteedCPUs == 0)
	}
	beyond := ou.CPUs > o.GuaranteedCPUs || ou.GPUs > o.GuaranteedGPUs
	return within && beyond
}

// preempt stops an attempt to make room.
func (e *Engine) preempt(now time.Time, a *fleet.Attempt) {
	e.log(LogTaskPreempted, logAttempt(a)...)
	e.out.Preempted = append(e.out.Preempted, a)
	e.chargeInvoluntary(now, a)
	e.stopWithCheckpoint(now, a.Machine, a, e.jobs.get(a.Ref))
}
