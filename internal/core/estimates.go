package core

// Estimates of how long tasks and image fetches take, and of when jobs have to start.

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

const (
	// defaultStartWithin is the time within which a job without objectives should start.
	defaultStartWithin = 5 * time.Minute
	// lateFactor delays a job that can't meet any of its objectives: it counts as due at lateFactor
	// times the latest of them. Jobs that can still meet one go first, but it isn't put off for
	// good.
	lateFactor = 2
)

// startBy returns when a job's tasks must have started to meet the next of its objectives for
// starting; zero if it has none that it can still meet.
func (e *Engine) startBy(now time.Time, j *pipeline.Job) (by time.Time) {
	for _, objective := range e.cfg.Objectives[j.Class] {
		if t := j.ReadyAt.Add(objective.Within); objective.Kind == StartObjective && t.After(now) && (by.IsZero() || t.Before(by)) {
			by = t
		}
	}
	return by
}

// dueStart returns when a job must have started to meet the next of its objectives, or of the
// deadline objectives of the job at the end of its critical path. If it can meet none of them any
// more, lateFactor applies. If it has none, or would have had to start by the time it became ready
// to meet any, it is due after defaultStartWithin.
func (e *Engine) dueStart(now time.Time, j *pipeline.Job) time.Time {
	run, fetch := e.expectedRun(j), e.expectedFetch(j)
	var next, last time.Duration
	since := now.Sub(j.ReadyAt)
	consider := func(d time.Duration) {
		last = max(last, d)
		if d >= since && (next == 0 || d < next) {
			next = d
		}
	}
	for _, objective := range e.cfg.Objectives[j.Class] {
		var d time.Duration
		switch objective.Kind {
		case StartObjective:
			if j.Started {
				continue
			}
			d = objective.Within
		case FinishObjective:
			d = objective.Within - run
		case DeadlineObjective:
			if j.Deadline == 0 {
				continue
			}
			d = time.Duration(float64(j.Deadline)*objective.Times) - run - j.ReadyAt.Sub(j.Submitted)
		}
		consider(d - fetch)
	}
	if path := j.CriticalPath; path.Job != nil {
		for _, objective := range e.cfg.Objectives[path.Job.Class] {
			if objective.Kind == DeadlineObjective {
				consider(path.EndBy(objective.Times).Sub(j.ReadyAt) - run - fetch)
			}
		}
	}
	switch {
	case next > 0:
		return j.ReadyAt.Add(next)
	case last > 0:
		return j.ReadyAt.Add(lateFactor * last)
	}
	return j.ReadyAt.Add(defaultStartWithin)
}

// remainingWork returns the expected run time of all tasks of a job that aren't done, added up.
func (e *Engine) remainingWork(j *pipeline.Job) time.Duration {
	return e.expectedRun(j) * time.Duration(len(j.Tasks)-j.Count(pipeline.Finished))
}

// expectedRun returns how long a task of the job is expected to run: its owner's estimate,
// corrected by the run times seen in its class.
func (e *Engine) expectedRun(j *pipeline.Job) time.Duration {
	return time.Duration(float64(j.Estimate) * e.classes.class(j.Class).ratio)
}

// expectedFetch returns how long the job's image takes to fetch at the mean rate of the machine
// types that the job may use.
func (e *Engine) expectedFetch(j *pipeline.Job) time.Duration {
	var rate float64
	n := 0
	for _, t := range e.catalog {
		if j.AllowsType(t.Name) && t.FetchGBPerS > 0 && t.Fits(&j.Spec) {
			rate += t.FetchGBPerS
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(j.ImageGB / (rate / float64(n)) * float64(time.Second))
}

// overdueExtension is how much longer a task is expected to run if it has exceeded its expected run
// time, or if its job isn't known.
const overdueExtension = 15 * time.Second

// expectedEnd returns when an attempt is expected to leave its machine.
func (e *Engine) expectedEnd(now time.Time, a *fleet.Attempt) time.Time {
	j := e.jobs.get(a.Ref)
	if a.Stopping() {
		return a.StopAt().Add(a.Grace() + e.cfg.HeartbeatInterval)
	}
	if j == nil {
		return now.Add(overdueExtension)
	}
	from := a.RunStart
	if from.IsZero() {
		from = now.Add(5 * time.Second) // still fetching
	}
	end := from.Add(e.expectedRun(j))
	if end.Before(now) {
		end = now.Add(overdueExtension)
	}
	return end
}
