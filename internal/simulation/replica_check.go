package simulation

import (
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
	if t.job.mayBeCancelled() || t.m.failures > 0 || t.m.faulty || !t.m.interruptionAt.IsZero() || c.preempted[taskName(t)] || c.preemptedAttempts[taskKey(t.job.spec.Ref, t.index, t.attempt)] {
		return false
	}
	return t.attempt == c.newestAttempt[taskName(t)]
}

// startCame counts a start: the newest attempt of its task, which nothing has preempted.
func (c *checker) startCame(t *task) {
	c.newestAttempt[taskName(t)] = max(c.newestAttempt[taskName(t)], t.attempt)
	delete(c.preempted, taskName(t))
}

// notePreemptions counts the attempts that an engine preempts.
func (c *checker) notePreemptions(preempted []*fleet.Attempt) {
	for _, a := range preempted {
		c.preempted[a.TaskID.String()] = true
		c.preemptedAttempts[taskKey(a.Ref, a.Task, a.Number)] = true
		if j := c.w.jobs[a.Ref]; j != nil && j.spec.Class == borrowed {
			c.takenBack++
		}
	}
}
