package simulation

import (
	"context"
	"maps"
	"strings"
	"testing"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/statestore"
)

// deliberateFault breaks one rule in a world that otherwise has no faults.
type deliberateFault struct {
	name string
	// plan schedules the fault before the world runs.
	plan func(w *World)
	// options, if set, changes the world's options.
	options func(o *Options)
	// wantViolation is part of the violation that the fault has to cause.
	wantViolation string
}

// unrecordedAttempt is an attempt number that no controller assigns in these worlds.
const unrecordedAttempt = 1 << 60

// everySecond calls fn after a delay, and then every second until the world ends.
func everySecond(w *World, from time.Duration, fn func()) {
	w.after(from, func() {
		fn()
		everySecond(w, time.Second, fn)
	})
}

// startUnrecorded has a machine start a task of a job that isn't on any machine, without a
// controller's command.
func startUnrecorded(w *World, m *machine, j *userJob) {
	for index := range j.spec.Tasks {
		if len(w.checker.ledger.onMachines[taskName(&task{job: j, index: index})]) == 0 && m.isUp {
			m.startTask(fleet.Command{Kind: fleet.Start, Ref: j.spec.Ref, Task: index, Attempt: unrecordedAttempt})
			return
		}
	}
}

// startUnrecordedTasks calls startUnrecorded every second for each job and machine that chosen
// selects.
func startUnrecordedTasks(w *World, chosen func(j *userJob, m *machine) bool) {
	everySecond(w, 10*time.Second, func() {
		for _, j := range w.sortedJobs() {
			for _, m := range w.sortedMachines() {
				if chosen(j, m) {
					startUnrecorded(w, m, j)
				}
			}
		}
	})
}

// tasksOnMachines returns all tasks that count as being on their machines.
func tasksOnMachines(w *World) []*task {
	var tasks []*task
	for _, m := range w.sortedMachines() {
		for _, t := range m.sortedTasks() {
			if t.onMachine {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// moveToFirstZone ends one of a job's tasks outside the first zone, and has the machines in the
// first zone that have a task of the job start it again.
func moveToFirstZone(w *World, j *userJob) {
	for _, m := range w.script.machinesOf(j) {
		for _, t := range m.sortedTasks() {
			if t.job == j && m.zone != w.zones[0] {
				t.exit(fleet.CauseStopped, false)
				for _, other := range w.script.machinesOf(j) {
					if other.zone == w.zones[0] {
						startUnrecorded(w, other, j)
					}
				}
				return
			}
		}
	}
}

// firstJob returns the first accepted job that has begun, has no completed task, doesn't always
// fail and isn't to be cancelled, nil if there is none.
func firstJob(w *World) *userJob {
	for _, j := range w.sortedJobs() {
		running := j.accepted && j.reportedPhase == pipeline.Active && !j.startedAt.IsZero()
		if running && len(j.done) == 0 && !j.mayBeCancelled() && !j.failsAlways {
			return j
		}
	}
	return nil
}

// storeFinal stores a final entry for a job, regardless of the controllers' state.
func storeFinal(w *World, j *userJob, phase pipeline.Phase) {
	final := codec.MustMarshal(pipeline.Final{Phase: phase, Tasks: j.spec.Tasks})
	_, _ = w.store.Commit(context.Background(), nil, []statestore.Op{statestore.Put(finalPrefix+j.spec.Ref, final)})
}

// faultsOfTasks break rules about where and when tasks run.
var faultsOfTasks = []deliberateFault{
	{name: "a second attempt beside the first", wantViolation: "ran_twice", plan: func(w *World) {
		everySecond(w, 10*time.Second, func() {
			for _, t := range tasksOnMachines(w) {
				for _, m := range w.sortedMachines() {
					if m != t.m && m.isUp {
						m.startTask(fleet.Command{Kind: fleet.Start, Ref: t.job.spec.Ref, Task: t.index, Attempt: unrecordedAttempt})
					}
				}
			}
		})
	}},
	{name: "an attempt number used again", wantViolation: "used again", plan: func(w *World) {
		var past []*task
		everySecond(w, 10*time.Second, func() {
			for _, t := range past {
				if t.state == fleet.Exited && t.m.tasks[t.key()] == nil && !t.m.dead {
					t.m.startTask(fleet.Command{Kind: fleet.Start, Ref: t.job.spec.Ref, Task: t.index, Attempt: t.attempt})
				}
			}
			past = append(past, tasksOnMachines(w)...)
		})
	}},
	{name: "a start in a zone that the job doesn't allow", wantViolation: "wrong_place", plan: func(w *World) {
		startUnrecordedTasks(w, func(j *userJob, m *machine) bool {
			return j.accepted && j.spec.Zone != "" && j.spec.Zone != m.zone
		})
	}},
	{name: "a start apart from tasks that share a zone", wantViolation: "while others are in other zones",
		plan: func(w *World) {
			startUnrecordedTasks(w, func(j *userJob, m *machine) bool {
				tasks := w.script.machinesOf(j)
				return j.spec.OneZone && j.spec.Zone == "" && len(tasks) > 0 && tasks[0].zone != m.zone
			})
		}},
	{name: "more than half of a spread job in one zone", wantViolation: "tasks of", plan: func(w *World) {
		j := w.script.submitJob(0, pipeline.Spec{Team: "green", Spread: true, Tasks: 4, CPUs: 1, MemGB: 1}, endless)
		everySecond(w, 10*time.Second, func() {
			if w.script.taskCount(j) == j.spec.Tasks {
				moveToFirstZone(w, j)
			}
		})
	}},
	{name: "controllers that don't know a lower limit", wantViolation: "quota", plan: func(w *World) {
		w.after(10*time.Second, func() {
			w.teams = map[string]placement.Quota{"red": {CPULimit: 1}, "blue": {CPULimit: 1}}
		})
	}},
	{name: "a start before the job is stored", wantViolation: "isn't stored", plan: func(w *World) {
		startUnrecordedTasks(w, func(j *userJob, _ *machine) bool {
			return !j.accepted && !w.store.holdsJob(j.spec.Ref)
		})
	}},
	{name: "a start before a dependency is done", wantViolation: "too_early",
		options: func(o *Options) { o.Pipelines, o.Jobs = 12, 8 },
		plan: func(w *World) {
			startUnrecordedTasks(w, func(j *userJob, _ *machine) bool {
				return j.accepted && len(j.dependencies) > 0 && j.dependencies[0].reportedPhase == pipeline.Active
			})
		}},
	{name: "a start long after the cancellation", wantViolation: "ran_cancelled", plan: func(w *World) {
		startUnrecordedTasks(w, func(j *userJob, _ *machine) bool {
			return j.reportedPhase == pipeline.Cancelled && w.now.Sub(j.cancelReportedAt) > w.options.CancelWithin
		})
	}},
	{name: "stops that don't arrive, and leases that don't end", wantViolation: "ran_cancelled", plan: func(w *World) {
		w.script.submitEndless(6, 0)
		w.after(40*time.Second, func() {
			w.options.Lease = time.Hour
			for _, m := range w.machines {
				m.inboundLost = true
			}
			w.script.cancelNow(6, 0)
		})
	}},
	{name: "all replicas of a service stopped at once", wantViolation: "all moved", plan: func(w *World) {
		j := w.script.submitJob(time.Second, pipeline.Spec{
			Team: "blue", Shape: pipeline.Service, Tasks: 2, CPUs: 1, MemGB: 1,
		}, endless)
		everySecond(w, 10*time.Second, func() {
			if w.script.taskCount(j) < j.spec.Tasks {
				return
			}
			for _, m := range w.script.machinesOf(j) {
				for _, t := range m.sortedTasks() {
					if t.job == j {
						m.execute([]fleet.Command{{Kind: fleet.Stop, Ref: j.spec.Ref, Task: t.index, Attempt: t.attempt}})
					}
				}
			}
		})
	}},
}

// faultsOfControllers break rules about leaders, their pace and their admission policies.
var faultsOfControllers = []deliberateFault{
	{name: "a second node with a valid lease", wantViolation: "two leaders", plan: func(w *World) {
		w.after(20*time.Second, func() {
			leader := w.currentLeader()
			for _, n := range w.nodes {
				if n != leader {
					n.leaderState = leader.leaderState
				}
			}
		})
	}},
	{name: "a leader of an earlier term", wantViolation: "stale leader", plan: func(w *World) {
		w.after(20*time.Second, func() { w.currentLeader().term.Number-- })
	}},
	{name: "a former term that acts under the lease of the next", wantViolation: "is answered in term",
		options: func(o *Options) { o.Overlap = true },
		plan:    func(w *World) { w.overlap.leaseOfNode = true }},
	{name: "a paused leader that acts", wantViolation: "acts while it is paused", plan: func(w *World) {
		w.after(20*time.Second, func() {
			n := w.currentLeader()
			n.pausedUntil = w.now.Add(time.Second)
			n.step(core.Tick{})
		})
	}},
	{name: "a response with too many starts", wantViolation: "pace:", options: func(o *Options) { o.Pace = pace },
		plan: func(w *World) {
			everySecond(w, time.Second, func() {
				n, response := w.currentLeader(), &core.HeartbeatResponse{OK: true}
				for _, j := range w.sortedJobs() {
					if w.checker.pace.isBulk(j) {
						start := fleet.Command{Kind: fleet.Start, Ref: j.spec.Ref}
						response.Commands = append(response.Commands, start, start, start, start, start, start)
					}
				}
				if n != nil {
					w.checker.observe(engineStepped{n, core.Effects{Response: response}})
				}
			})
		}},
	{name: "an older policy taken", wantViolation: "goes back from policy",
		options: func(o *Options) { o.Admission = true },
		plan: func(w *World) {
			w.after(time.Second, func() {
				newer := admission.Policy{Term: 1 << 40, Number: 1}
				w.checker.observe(policyOffered{w.nodes[0], newer, admission.Policy{}})
			})
		}},
	{name: "two policies of one number", wantViolation: "has two different contents",
		options: func(o *Options) { o.Admission = true },
		plan: func(w *World) {
			w.after(time.Second, func() {
				policy := admission.Policy{Term: 1 << 40, Number: 1}
				w.checker.observe(policyOffered{w.nodes[0], admission.Policy{}, policy})
				policy.Interval = time.Second
				w.checker.observe(policyOffered{w.nodes[0], admission.Policy{}, policy})
			})
		}},
	{name: "a user turned away for an hour", wantViolation: "Retry-After", plan: func(w *World) {
		w.after(time.Second, func() { w.checker.observe(submissionRefused{time.Hour}) })
	}},
}

// faultsOfJobs break rules about what users are told of jobs.
var faultsOfJobs = []deliberateFault{
	{name: "a record lost from the state service", wantViolation: "forgotten: j-", plan: func(w *World) {
		everySecond(w, 20*time.Second, func() {
			if j := firstJob(w); j != nil {
				delete(w.store.items, jobPrefix+j.spec.Ref)
				for _, n := range w.nodes {
					n.crash(time.Second)
				}
			}
		})
	}},
	{name: "controllers that stay away", wantViolation: "no query about", plan: func(w *World) {
		w.after(30*time.Second, func() {
			w.faultsEndedAt = w.now
			for _, n := range w.nodes {
				n.crash(time.Hour)
			}
		})
	}},
	{name: "a record that nobody submitted", wantViolation: "invented", plan: func(w *World) {
		everySecond(w, 20*time.Second, func() {
			if j := firstJob(w); j != nil {
				w.store.items[jobPrefix+unsubmittedRef] = w.store.items[jobPrefix+j.spec.Ref]
			}
		})
	}},
	{name: "an end stored too early", wantViolation: "is stored as done with", plan: func(w *World) {
		everySecond(w, 20*time.Second, func() {
			if j := firstJob(w); j != nil {
				storeFinal(w, j, pipeline.Done)
			}
		})
	}},
	{name: "an end reported too early", wantViolation: "not_done", plan: func(w *World) {
		everySecond(w, 20*time.Second, func() {
			for _, j := range w.sortedJobs() {
				delete(j.done, 0) // so that the controllers seem to report the job as done too early
			}
		})
	}},
	{name: "a cancellation that nobody asked for", wantViolation: "is stored as cancelled", plan: func(w *World) {
		everySecond(w, 20*time.Second, func() {
			if j := firstJob(w); j != nil {
				storeFinal(w, j, pipeline.Cancelled)
			}
		})
	}},
	{name: "an end taken back", wantViolation: "went_back", plan: func(w *World) {
		records := map[string]*item{}
		everySecond(w, 5*time.Second, func() {
			for _, j := range w.sortedJobs() {
				ref := j.spec.Ref
				if record := w.store.items[jobPrefix+ref]; record != nil {
					records[ref] = record
				} else if j.reportedPhase == pipeline.Done && records[ref] != nil {
					w.store.items[jobPrefix+ref] = records[ref]
					delete(w.store.items, finalPrefix+ref)
				}
			}
		})
	}},
	{name: "a job that outlives its dependency", wantViolation: "orphaned",
		options: func(o *Options) { o.Pipelines, o.Jobs = 12, 8 },
		plan: func(w *World) {
			everySecond(w, 60*time.Second, func() {
				for _, j := range w.sortedJobs() {
					waited := w.now.Sub(j.acceptedAt) > w.options.CancelWithin
					if j.accepted && waited && len(j.dependencies) > 0 && j.reportedPhase == pipeline.Active {
						j.dependencies[0].reportedPhase = pipeline.Cancelled
						j.dependencies[0].cancelReportedAt = w.start
						j.learn(core.JobView{Phase: pipeline.Active}, true)
					}
				}
			})
		}},
	{name: "controllers that don't know a higher limit", wantViolation: "left waiting", plan: func(w *World) {
		planOutdatedLimits(w, pipeline.Array)
	}},
	{name: "controllers that don't know a higher limit, services", wantViolation: "not replaced", plan: func(w *World) {
		planOutdatedLimits(w, pipeline.Service)
	}},
	{name: "a task that never ends", wantViolation: "never ended", plan: func(w *World) {
		for _, j := range w.jobs {
			j.run = endless - time.Second // users cancel jobs that run for endless or longer
		}
	}},
	{name: "no jobs", wantViolation: "nothing_ran", options: func(o *Options) { o.Jobs = 0 }, plan: func(*World) {}},
}

// planOutdatedLimits has controllers use an outdated limit that allows a team next to nothing,
// while the invariants know that it has none, and submits a job of that team. A service of another
// team keeps a machine with room up.
func planOutdatedLimits(w *World, shape pipeline.Shape) {
	high := w.teams
	w.teams = maps.Clone(high)
	w.teams["green"] = placement.Quota{CPULimit: 0.1}
	w.script.submitJob(0, pipeline.Spec{Team: "blue", Shape: pipeline.Service, Tasks: 1, CPUs: 1, MemGB: 1}, endless)
	w.script.submitJob(time.Second, pipeline.Spec{Team: "green", Shape: shape, Tasks: 2, CPUs: 1, MemGB: 1}, 20*time.Second)
	w.after(20*time.Second, func() {
		w.teams = high
		w.endFaults()
	})
}

// TestInvariantsSeeViolations breaks each rule by a deliberate fault, and expects the invariant
// that checks it to fail. It guards against an invariant that can't fail. TestDrainChecksSeeFaults
// does the same for drains.
func TestInvariantsSeeViolations(t *testing.T) {
	for _, faults := range [][]deliberateFault{faultsOfTasks, faultsOfControllers, faultsOfJobs} {
		for _, fault := range faults {
			t.Run(fault.name, func(t *testing.T) {
				t.Parallel()
				fault.expectViolation(t)
			})
		}
	}
}

// expectViolation runs worlds with the fault until one ends with the expected violation. The test
// fails if all of them end without a violation or with other ones.
func (f *deliberateFault) expectViolation(t *testing.T) {
	t.Helper()
	var others []string
	for seed := range uint64(5) {
		o := randomOptions(1+seed, false)
		if f.options != nil {
			f.options(&o)
		}
		w := NewWorld(o)
		newScript(w)
		f.plan(w)
		err := w.Run()
		if err != nil && strings.Contains(err.Error(), f.wantViolation) {
			return
		}
		if err != nil {
			others = append(others, err.Error())
		}
	}
	t.Errorf("no world has the violation %q; other violations: %q", f.wantViolation, others)
}
