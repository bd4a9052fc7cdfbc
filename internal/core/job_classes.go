package core

import (
	"math"
	"time"

	"gingertally/internal/core/pipeline"
)

// jobClasses holds the statistics of job classes by class name.
type jobClasses map[string]*classStats

// classStats holds the run times and the arrival rate observed for a class of jobs.
type classStats struct {
	runs   int            // number of observed run times
	ratio  float64        // run time divided by estimate, smoothed
	lastAt time.Time      // when a job of the class last became ready
	rate   float64        // arrival rate at lastAt, in tasks a second
	spec   *pipeline.Spec // spec of the class's latest job
}

const (
	// minRunRatio and maxRunRatio bound the ratio that one run contributes.
	minRunRatio = 0.1
	maxRunRatio = 10
	// minRunWeight is the weight of a run in the moving average once many have been observed.
	minRunWeight = 0.1
	// rateWindow is the time constant of the smoothed arrival rate.
	rateWindow = time.Minute
)

// class returns the statistics of a class of jobs, and adds the class if it is new. A new class has
// the ratio 1: estimates are taken to be exact.
func (c jobClasses) class(name string) *classStats {
	s := c[name]
	if s == nil {
		s = &classStats{ratio: 1}
		c[name] = s
	}
	return s
}

// learnRunTime adds the run time of a task, as a ratio to its job's estimate and bounded by
// minRunRatio and maxRunRatio, to the moving average. The estimate must be above 0.
func (s *classStats) learnRunTime(ran, estimate time.Duration) {
	ratio := min(max(float64(ran)/float64(estimate), minRunRatio), maxRunRatio)
	s.runs++
	weight := max(1/float64(s.runs), minRunWeight)
	s.ratio += (ratio - s.ratio) * weight
}

// arrived updates the arrival rate and the latest spec for a job with this many tasks that has become
// ready.
func (s *classStats) arrived(now time.Time, spec *pipeline.Spec, tasks int) {
	s.rate = s.rateAt(now) + float64(tasks)/rateWindow.Seconds()
	s.lastAt = now
	s.spec = spec
}

// rateAt returns the class's smoothed arrival rate at a time, in tasks a second.
func (s *classStats) rateAt(now time.Time) float64 {
	if s.lastAt.IsZero() {
		return 0
	}
	return s.rate * math.Exp(-now.Sub(s.lastAt).Seconds()/rateWindow.Seconds())
}

// restore sets the statistics to those of the previous leader, with the ratio bounded by minRunRatio
// and maxRunRatio and the rate not below 0. The spec is set only if there is none yet. lastAt is when a
// job of the class last became ready, zero if none has.
func (s *classStats) restore(w *WarmClass, lastAt time.Time) {
	s.runs, s.ratio = w.Runs, min(max(w.Ratio, minRunRatio), maxRunRatio)
	s.rate, s.lastAt = max(w.Rate, 0), lastAt
	if s.spec == nil {
		s.spec = w.Spec
	}
}
