package simulation

import (
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// toldToStop checks, as a replica of a service is told to stop, that the service's
// replicas aren't all moved by choice at once. One counts as moved from when it is told to
// stop until it runs again.
func (c *checker) toldToStop(t *task) {
	j := t.job
	if j.spec.Shape != pipeline.Service || j.spec.Tasks < 2 || !c.byChoice(t) {
		return
	}
	if c.moved[j] == nil {
		c.moved[j] = map[int]bool{}
	}
	c.moved[j][t.index] = true
	c.moves++
	if len(c.moved[j]) == j.spec.Tasks {
		c.fail("all moved: the last of %d replicas of %s is stopped on %s", j.spec.Tasks, j.spec.Ref, t.m.name)
	}
}

// byChoice tells whether nothing but the service's own choice asks for a task's end: not
// its user, nor its machine's failures or end, nor a job with a better claim, nor a newer
// attempt that has taken its place.
func (c *checker) byChoice(t *task) bool {
	if t.job.mayBeCancelled() || t.m.failures > 0 || t.m.faulty || !t.m.interruptionAt.IsZero() || c.preempted[name(t)] || c.preemptedAttempts[taskKey(t.job.spec.Ref, t.index, t.attempt)] {
		return false
	}
	return t.attempt == c.newestAttempt[name(t)]
}

// startCame notes a start: the newest attempt of its task, which nothing has preempted.
func (c *checker) startCame(t *task) {
	c.newestAttempt[name(t)] = max(c.newestAttempt[name(t)], t.attempt)
	delete(c.preempted, name(t))
}

// notePreemptions reads from an engine's log the tasks that it preempts.
func (c *checker) notePreemptions(notes []core.Note) {
	for _, x := range notes {
		if x.Text != "preempted" {
			continue
		}
		ref, task := x.Args[1].(string), x.Args[3].(int)
		c.preempted[fleet.TaskID{Ref: ref, Task: task}.String()] = true
		c.preemptedAttempts[taskKey(ref, task, x.Args[7].(uint64))] = true
		if j := c.w.jobs[ref]; j != nil && j.spec.Class == borrowed {
			c.takenBack++
		}
	}
}
