package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// endless is a run time longer than any world.
const endless = 20 * time.Minute

// add has a user submit a job after some time. What the specification leaves open is chosen for it.
func (s *script) add(at time.Duration, sp pipeline.Spec, run time.Duration) *userJob {
	s.jobs++
	sp.Ref, sp.Image = scriptJobRefs.ref(s.jobs), fmt.Sprintf("img-%d", s.rng.IntN(3))
	sp.Class, sp.ImageGB, sp.Estimate = "c", 1, run
	if sp.Team == "" {
		sp.Team = []string{"red", "blue", "green"}[s.rng.IntN(3)]
	}
	if sp.CPUs == 0 {
		sp.CPUs, sp.MemGB = 2, 4
	}
	if sp.Tasks == 0 {
		sp.Tasks = 1 + s.rng.IntN(3)
	}
	if sp.Priority == 0 {
		sp.Priority = pipeline.Normal
	}
	sp.Spot = true
	return s.w.submitAfter(at, sp, run)
}

// submitEndless submits arrays and gangs that only a cancellation ends.
func (s *script) submitEndless(count int, at time.Duration) {
	for i := range count {
		sp := pipeline.Spec{Shape: pipeline.Array}
		if i%3 == 2 {
			sp.Shape = pipeline.Gang
		}
		if i%2 == 1 {
			sp.CheckpointInterval, sp.CheckpointTime = 3*time.Second, 2*time.Second
		}
		s.add(at+s.between(0, 3*time.Second), sp, endless)
	}
}

// submitShort submits small jobs over some time.
func (s *script) submitShort(count int, from, to time.Duration) {
	for i := range count {
		sp := pipeline.Spec{CPUs: 1, MemGB: 1}
		if i%4 == 3 {
			sp.Shape = pipeline.Gang
		}
		s.add(s.between(from, to), sp, s.between(2*time.Second, 12*time.Second))
	}
}

// runningJobs are the open jobs of which a task runs, only the endless ones if so asked.
func (s *script) runningJobs(long bool) []*userJob {
	seen := map[*userJob]bool{}
	var out []*userJob
	for _, m := range s.w.sortedMachines() {
		for _, t := range m.sortedTasks() {
			j := t.job
			open := j.accepted && j.reportedPhase == pipeline.Active && !j.cancelRequested
			if open && t.state == fleet.Running && !seen[j] && (!long || j.run >= endless) {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}

// machinesOf are the machines with tasks of a job.
func (s *script) machinesOf(j *userJob) []*machine {
	var out []*machine
	for _, m := range s.w.sortedMachines() {
		for _, t := range m.sortedTasks() {
			if t.job == j && t.state != fleet.Exited {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// cancelNow has users cancel some running endless jobs within a fifth of a second. If it is given a time, up to eight of
// the jobs' machines hang for so long.
func (s *script) cancelNow(count int, hang time.Duration) {
	js := s.runningJobs(true)
	s.rng.Shuffle(len(js), func(i, k int) { js[i], js[k] = js[k], js[i] })
	hung := 0
	for _, j := range js[:min(count, len(js))] {
		s.count("cancellations requested")
		s.at(s.between(0, 200*time.Millisecond), j.cancel)
		for _, m := range s.machinesOf(j) {
			if hang > 0 && hung < 8 {
				hung++
				s.hangMachine(m, hang)
			}
		}
	}
}

// tasksOf counts the tasks of a job that are on machines.
func (s *script) tasksOf(j *userJob) int {
	n := 0
	s.w.checker.ledger.each(func(t *task) {
		if t.job == j {
			n++
		}
	})
	return n
}
