package core

import (
	"math"
	"time"

	"gingertally/internal/core/pipeline"
)

// jobClasses is what is known of classes of jobs, by their names.
type jobClasses map[string]*classStats

// classStats is what finished tasks and arrivals taught about a class of jobs.
type classStats struct {
	runs   int            // tasks that have shown how long they run
	ratio  float64        // run time over estimate, smoothed
	lastAt time.Time      // when a job of the class last became ready
	rate   float64        // tasks a second as of lastAt
	spec   *pipeline.Spec // its latest job's
}

const (
	// minRunRatio and maxRunRatio bound what one run may show.
	minRunRatio = 0.1
	maxRunRatio = 10
	// minRunWeight is the weight of a run once many have been seen.
	minRunWeight = 0.1
	// rateWindow smooths the observed arrivals.
	rateWindow = time.Minute
)

// class returns what is known of a class of jobs. A class that is new starts from its owners'
// estimates.
func (c jobClasses) class(name string) *classStats {
	s := c[name]
	if s == nil {
		s = &classStats{ratio: 1}
		c[name] = s
	}
	return s
}

// learnRunTime takes in how long a task ran, as a ratio to its job's estimate.
func (s *classStats) learnRunTime(ran, estimate time.Duration) {
	ratio := min(max(float64(ran)/float64(estimate), minRunRatio), maxRunRatio)
	s.runs++
	weight := max(1/float64(s.runs), minRunWeight)
	s.ratio += (ratio - s.ratio) * weight
}

// arrived takes in that a job has become ready, with so many tasks.
func (s *classStats) arrived(now time.Time, spec *pipeline.Spec, tasks int) {
	s.rate = s.rateAt(now) + float64(tasks)/rateWindow.Seconds()
	s.lastAt = now
	s.spec = spec
}

// rateAt is the class's recent rate of arrivals, in tasks a second.
func (s *classStats) rateAt(now time.Time) float64 {
	if s.lastAt.IsZero() {
		return 0
	}
	return s.rate * math.Exp(-now.Sub(s.lastAt).Seconds()/rateWindow.Seconds())
}

// restore takes over what the leader before knew of the class. LastAt is when a job of it last
// became ready; zero if none has.
func (s *classStats) restore(w *WarmClass, lastAt time.Time) {
	s.runs, s.ratio = w.Runs, min(max(w.Ratio, minRunRatio), maxRunRatio)
	s.rate, s.lastAt = max(w.Rate, 0), lastAt
	if s.spec == nil {
		s.spec = w.Spec
	}
}
