package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
)

// userJobNumber returns the number in the id of the i-th ordinary job. The numbers are scattered
// over their range, since users' ids are in no order.
func userJobNumber(i int) int { return i * 7919 % 100_003 }

// planUsers schedules the submissions of random jobs by ordinary users.
func (w *World) planUsers() {
	for i := range w.options.Jobs {
		j := &userJob{
			w: w, done: map[int]bool{}, run: w.between(2*time.Second, 25*time.Second), failsAlways: w.chance(0.05),
		}
		s := &j.spec
		s.Ref = userJobRefs.ref(userJobNumber(i))
		s.Class, s.Team, s.Image, s.ImageGB = "c", "red", fmt.Sprintf("img-%d", w.rng.IntN(3)), 2
		if w.chance(0.5) {
			s.Team = "blue"
		}
		s.Tasks, s.CPUs, s.MemGB = 1+w.rng.IntN(5), 2, 4
		if w.chance(0.3) {
			s.GPUs = 1
			s.Tasks = min(s.Tasks, 4)
		}
		switch k := w.rng.Float64(); {
		case k < 0.3:
			s.Shape = pipeline.Gang
		case k < 0.4:
			s.Shape, j.wantsCancel = pipeline.Service, true
		}
		s.Priority = pipeline.Priority(w.rng.IntN(4))
		s.OneZone, s.Spread, s.Spot = w.chance(0.3), w.chance(0.2), w.chance(0.6)
		if s.OneZone && s.Spread {
			s.Spread = false
		}
		if w.chance(0.2) {
			s.Zone, s.Spread = w.zones[w.rng.IntN(len(w.zones))], false
		}
		if s.GPUs == 0 && w.chance(0.2) {
			s.Types = []string{"small"}
		}
		s.Estimate = j.run
		if w.chance(0.6) {
			s.CheckpointInterval, s.CheckpointTime = 3*time.Second, 2*time.Second
		}
		j.wantsCancel = j.wantsCancel || j.failsAlways || w.chance(0.2)
		w.jobs[s.Ref] = j
		w.after(w.between(0, w.options.Length*2/3), j.submit)
	}
	w.after(w.between(0, 5*time.Second), w.queryUnknownJob)
}

// queryUnknownJob periodically queries a job that nobody submitted.
func (w *World) queryUnknownJob() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if v, known, ok := n.answerQuery(unsubmittedRef); ok && known {
		w.checker.observe(unknownJobReported{v})
	}
	w.after(7*time.Second, w.queryUnknownJob)
}
