package simulation

import (
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
)

// largestStartWithin is how soon the jobs of the largest classes must begin, as the users require.
const largestStartWithin = 4 * time.Minute

// submitOverload submits more work than there is room for, throughout the world's length:
// small urgent arrays, small normal ones of another team, and every minute a large gang, a
// large array and one of low priority.
func submitOverload(w *World) {
	n := 0
	add := func(at time.Duration, s pipeline.Spec, run time.Duration) {
		n++
		s.Ref, s.Image, s.ImageGB, s.MemGB, s.Spot = fmt.Sprintf("j-%06d", n), "img-0", 1, 4, true
		s.Estimate, s.CheckpointInterval, s.CheckpointTime = run, 3*time.Second, time.Second
		w.submitAfter(at, s, run)
	}
	for at := time.Duration(0); at < w.options.Length; at += 2 * time.Second {
		jitter := w.between(0, 2*time.Second)
		small := pipeline.Spec{Class: "small", Team: "blue", Tasks: 6, CPUs: 4, Priority: pipeline.High}
		plain := pipeline.Spec{Class: "plain", Team: "green", Tasks: 4, CPUs: 4, Priority: pipeline.Normal}
		add(at+jitter, small, 12*time.Second)
		add(at+jitter, plain, 12*time.Second)
		if at%(60*time.Second) == 20*time.Second {
			add(at, pipeline.Spec{
				Class: "gang", Team: "green", Tasks: 4, CPUs: 14, Priority: pipeline.Normal, Shape: pipeline.Gang, OneZone: true,
			}, 20*time.Second)
			add(at, pipeline.Spec{Class: "wide", Team: "green", Tasks: 40, CPUs: 4, Priority: pipeline.Normal}, 12*time.Second)
			add(at, pipeline.Spec{Class: "low", Team: "blue", Tasks: 8, CPUs: 4, Priority: pipeline.Low}, 12*time.Second)
		}
	}
}

// TestNothingStarves submits a steady flow of small and more urgent work that exceeds the
// capacity, and checks what the users require at the end of a day: the largest jobs begin
// within four minutes, and half of the jobs of each class and team are done.
func TestNothingStarves(t *testing.T) {
	for seed := range uint64(2) {
		o := randomOptions(seed, false)
		o.Jobs, o.Length, o.SettleTime = 0, 6*time.Minute, 4*time.Minute
		w := NewWorld(o)
		submitOverload(w)
		if err := w.Run(); err != nil {
			t.Fatal(err)
		}
		for _, j := range w.jobs {
			if wait := j.queueTime(); j.isLargest() && wait > largestStartWithin {
				t.Errorf("seed %d: %s %s began after %s", seed, j.spec.Class, j.spec.Ref, wait)
			}
		}
		for group, c := range countServed(w) {
			if 2*c.served < c.all {
				t.Errorf("seed %d: %d of %d jobs done of %s", seed, c.served, c.all, group)
			}
		}
	}
}

// queueTime returns how long the job waited until it began, or until now if it never began.
func (j *userJob) queueTime() time.Duration {
	if j.startedAt.IsZero() {
		return j.w.now.Sub(j.firstSubmittedAt)
	}
	return j.startedAt.Sub(j.firstSubmittedAt)
}

// isLargest reports whether the job is of a class that small jobs could starve: gang, wide or low.
func (j *userJob) isLargest() bool {
	return j.spec.Class == "gang" || j.spec.Class == "wide" || j.spec.Class == "low"
}

// servedCount counts the jobs of a group, and those of them that are done.
type servedCount struct{ all, served int }

// countServed counts the jobs of each class and of each team.
func countServed(w *World) map[string]servedCount {
	groups := map[string]servedCount{}
	for _, j := range w.jobs {
		for _, group := range []string{"class " + j.spec.Class, "team " + j.spec.Team} {
			c := groups[group]
			c.all++
			if j.reportedPhase == pipeline.Done {
				c.served++
			}
			groups[group] = c
		}
	}
	return groups
}
