package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// endless is a run time longer than any world lasts, so that only a cancellation ends such a job.
const endless = 20 * time.Minute

// submitJob has a user submit a job after some time. It sets the job's id, class, image and
// estimate, allows spot machines, and fills in the team, CPUs and memory, number of tasks and
// priority where the specification leaves them at zero.
func (s *script) submitJob(at time.Duration, sp pipeline.Spec, run time.Duration) *userJob {
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

// submitEndless submits array and gang jobs that end only when they are cancelled, all within three
// seconds after at.
func (s *script) submitEndless(count int, at time.Duration) {
	for i := range count {
		sp := pipeline.Spec{Shape: pipeline.Array}
		if i%3 == 2 {
			sp.Shape = pipeline.Gang
		}
		if i%2 == 1 {
			sp.CheckpointInterval, sp.CheckpointTime = 3*time.Second, 2*time.Second
		}
		s.submitJob(at+s.between(0, 3*time.Second), sp, endless)
	}
}

// submitShort submits small jobs that run for 2 to 12 seconds, at random times between two bounds.
func (s *script) submitShort(count int, from, to time.Duration) {
	for i := range count {
		sp := pipeline.Spec{CPUs: 1, MemGB: 1}
		if i%4 == 3 {
			sp.Shape = pipeline.Gang
		}
		s.submitJob(s.between(from, to), sp, s.between(2*time.Second, 12*time.Second))
	}
}

// runningJobs returns the accepted jobs that have a running task, are reported as active, and that
// nobody has asked to cancel; with endlessOnly, only those that wouldn't end by themselves.
func (s *script) runningJobs(endlessOnly bool) []*userJob {
	seen := map[*userJob]bool{}
	var out []*userJob
	for _, m := range s.w.sortedMachines() {
		for _, t := range m.sortedTasks() {
			j := t.job
			open := j.accepted && j.reportedPhase == pipeline.Active && !j.cancelRequested
			if open && t.state == fleet.Running && !seen[j] && (!endlessOnly || j.run >= endless) {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}

// machinesOf returns the machines that have tasks of a job.
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

// cancelNow has users cancel up to count random running endless jobs within a fifth of a second. If
// hang is given, up to eight machines with tasks of those jobs hang for that long.
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

// taskCount counts the tasks of a job that are on machines.
func (s *script) taskCount(j *userJob) int {
	n := 0
	s.w.checker.ledger.each(func(t *task) {
		if t.job == j {
			n++
		}
	})
	return n
}
