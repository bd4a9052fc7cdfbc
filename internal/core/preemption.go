package core

// Preemption: which running tasks may be stopped to make room for others, and at what cost.

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// preemptionCost returns what it costs to stop an attempt for another job, and whether the
// protocol's rules allow it: the other job must be of higher priority, or its team must get its
// guarantee at the expense of a team that exceeds its own. The cost is the delay for a checkpoint
// and the work that is lost, in seconds of a whole machine, so that many small tasks of an array
// cost less than one gang.
func (e *Engine) preemptionCost(now time.Time, preemptor *pipeline.Job, a *fleet.Attempt) (float64, bool) {
	j := e.jobs.get(a.Ref)
	if j == nil || a.Unwanted || a.Stopping() || a.State() == fleet.Checkpointing {
		return 0, false
	}
	if preemptor.Urgency >= j.Urgency && !e.mayReclaimGuarantee(preemptor, j) || e.starvesBefore(now, j, preemptor) {
		return 0, false
	}
	cost := 10 + j.CheckpointTime.Seconds()
	if a.State() == fleet.Running {
		ran := now.Sub(a.RunStart)
		if j.CheckpointInterval == 0 {
			cost += ran.Seconds()
		}
		if e.expectedRun(j)-ran < j.CheckpointTime+5*time.Second {
			return 0, false // about to finish
		}
	}
	if j.Shape == pipeline.Gang {
		cost *= float64(len(j.Tasks)) // all its tasks stop
	}
	if t := e.catalog[a.Machine.Type]; t != nil {
		cost *= placement.Share(t, &j.Spec)
	}
	return cost, true
}

// starvesBefore reports whether a job is past its starvation bound and comes before another one.
// What it has just been given mustn't be taken from it again, round after round, or neither would
// ever start.
func (e *Engine) starvesBefore(now time.Time, j, preemptor *pipeline.Job) bool {
	if !e.pastStarvationBound(now, j) {
		return false
	}
	return !e.pastStarvationBound(now, preemptor) || !e.starvingSince(preemptor).Before(e.starvingSince(j))
}

// mayReclaimGuarantee reports whether a job's team stays within its guarantee with what the job
// needs at once, and the other job's team exceeds its own. A job with GPUs must fit the guarantee
// of GPUs, and that of CPUs unless it is 0; for a job without GPUs a guarantee of no CPUs gives
// nothing.
func (e *Engine) mayReclaimGuarantee(preemptor, j *pipeline.Job) bool {
	if preemptor.Team == j.Team {
		return false
	}
	quota, otherQuota := e.cfg.Teams[preemptor.Team], e.cfg.Teams[j.Team]
	used, otherUsed := e.usage.ofTeam(preemptor.Team), e.usage.ofTeam(j.Team)
	tasks := 1.0
	if preemptor.Shape == pipeline.Gang {
		tasks = float64(len(preemptor.Tasks))
	}
	cpusFit, gpusFit := used.CPUs+tasks*preemptor.CPUs <= quota.GuaranteedCPUs, used.GPUs+tasks*preemptor.GPUs <= quota.GuaranteedGPUs
	within := cpusFit
	if preemptor.GPUs > 0 {
		within = gpusFit && (cpusFit || quota.GuaranteedCPUs == 0)
	}
	beyond := otherUsed.CPUs > otherQuota.GuaranteedCPUs || otherUsed.GPUs > otherQuota.GuaranteedGPUs
	return within && beyond
}

// preempt stops an attempt to make room.
func (e *Engine) preempt(now time.Time, a *fleet.Attempt) {
	e.log(LogTaskPreempted, logAttempt(a)...)
	e.out.Preempted = append(e.out.Preempted, a)
	e.chargeInvoluntary(now, a)
	e.stopWithCheckpoint(now, a.Machine, a, e.jobs.get(a.Ref))
}
