package core

// How long tasks and image fetches are expected to take, and when jobs have to start.

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

const (
	// defaultStart is the time to start that a job without objectives is given.
	defaultStart = 5 * time.Minute
	// lateFactor is how much later than its last objective a job counts that can keep none any
	// more: it lets those go first that can, but isn't put off for good.
	lateFactor = 2
)

// startBy is when a job's tasks must have started for the next of its objectives on starting;
// zero if it has none that it can still keep.
func (e *Engine) startBy(now time.Time, j *pipeline.Job) (by time.Time) {
	for _, a := range e.cfg.Objectives[j.Class] {
		if t := j.Since.Add(a.Within); a.Kind == StartObjective && t.After(now) && (by.IsZero() || t.Before(by)) {
			by = t
		}
	}
	return by
}

// dueStart is when a job must have started to keep the next of its objectives, or of
// those of the last job of its line.
func (e *Engine) dueStart(now time.Time, j *pipeline.Job) time.Time {
	run, fetch := e.expectedRun(j), e.expectedFetch(j)
	var next, last time.Duration
	since := now.Sub(j.Since)
	consider := func(d time.Duration) {
		last = max(last, d)
		if d >= since && (next == 0 || d < next) {
			next = d
		}
	}
	for _, a := range e.cfg.Objectives[j.Class] {
		var d time.Duration
		switch a.Kind {
		case StartObjective:
			if j.Started {
				continue
			}
			d = a.Within
		case FinishObjective:
			d = a.Within - run
		case DeadlineObjective:
			if j.Deadline == 0 {
				continue
			}
			d = time.Duration(float64(j.Deadline)*a.Times) - run - j.Since.Sub(j.Submitted)
		}
		consider(d - fetch)
	}
	if l := j.CriticalPath; l.Job != nil {
		for _, a := range e.cfg.Objectives[l.Job.Class] {
			if a.Kind == DeadlineObjective {
				consider(l.EndBy(a.Times).Sub(j.Since) - run - fetch)
			}
		}
	}
	switch {
	case next > 0:
		return j.Since.Add(next)
	case last > 0:
		return j.Since.Add(lateFactor * last)
	}
	return j.Since.Add(defaultStart)
}

// remainingWork is the run time of all tasks of a job that aren't done.
func (e *Engine) remainingWork(j *pipeline.Job) time.Duration {
	return e.expectedRun(j) * time.Duration(len(j.Tasks)-j.Count(pipeline.Finished))
}

// expectedRun is how long a task of the job is expected to run: its owner's
// estimate, corrected by what its class taught.
func (e *Engine) expectedRun(j *pipeline.Job) time.Duration {
	return time.Duration(float64(j.Estimate) * e.classes.class(j.Class).ratio)
}

// expectedFetch is how long the job's image takes to fetch, on the mean of the
// types that it may use.
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

// overdue is how much longer a task is expected to run that has outrun its
// expectation.
const overdue = 15 * time.Second

// endOf is when an attempt is expected to leave its machine.
func (e *Engine) endOf(now time.Time, a *fleet.Attempt) time.Time {
	j := e.jobs.get(a.Ref)
	if a.Stopping() {
		return a.StopAt().Add(a.Grace() + e.cfg.HeartbeatInterval)
	}
	if j == nil {
		return now.Add(overdue)
	}
	from := a.RunStart
	if from.IsZero() {
		from = now.Add(5 * time.Second) // still fetching
	}
	end := from.Add(e.expectedRun(j))
	if end.Before(now) {
		end = now.Add(overdue)
	}
	return end
}
