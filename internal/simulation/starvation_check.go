package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// begun counts starts that come after their job's user knew that it is cancelled.
// Such a start breaks no rule as long as the task is gone in time.
func (c *checker) begun(t *task) {
	if t.job.told == pipeline.Cancelled {
		c.startsCancelled++
	}
}

// goesOn checks at each step of a task that its job's user hasn't known for too long
// that it is cancelled: also a machine that hung may only go on with it until then.
func (c *checker) goesOn(t *task, does string) {
	if t.job.told == pipeline.Cancelled && c.w.now.Sub(t.job.cancelTold) > c.w.o.Cancel {
		c.fail("ran_cancelled: %s %s on %s", name(t), does, t.m.name)
	}
}

// answered checks an answer to a question that took its time: it counts by when it
// was asked, so that an older answer may cross a newer one, and nothing else may.
func (c *checker) answered(j *userJob, asked time.Time, v core.JobView, known bool) {
	if !known && (!j.accepted || !asked.After(j.acceptedAt)) {
		return
	}
	if known && v.Phase == pipeline.Active && j.told != pipeline.Active && !asked.After(j.toldAt) {
		return
	}
	c.told(j, v, known)
}

// waitsAtMost is how long a job may be left waiting in peace though there is room.
const waitsAtMost = 90 * time.Second

// waits checks, again and again once all troubles are over, that no array or gang of
// one task waits as a whole though a machine has room for a task of it.
func (c *checker) checkStarvation() {
	for _, j := range c.w.sortedJobs() {
		if !c.mayBegin(j) {
			delete(c.waiting, j)
			continue
		}
		since, known := c.waiting[j]
		if !known {
			c.waiting[j] = c.w.now
		} else if c.w.now.Sub(since) > waitsAtMost {
			c.fail("left waiting: %s for %s though there is room: %+v", j.spec.Ref, c.w.now.Sub(since), j.spec)
		}
	}
	c.w.after(5*time.Second, c.checkStarvation)
}

// patience is how many failures of its tasks a job can have had without being held
// back by the service.
const patience = 3

// mayBegin tells whether a job waits, none of its tasks is on any machine, and one
// could be.
func (c *checker) mayBegin(j *userJob) bool {
	s := &j.spec
	single := s.Shape == pipeline.Array || s.Shape == pipeline.Gang && s.Tasks == 1
	if !single || !j.accepted || j.mistake || j.errors > patience || j.askedCancel || j.told != pipeline.Active || len(j.done) == s.Tasks {
		return false
	}
	for _, p := range j.needs {
		if p.told != pipeline.Done {
			return false
		}
	}
	cpus, gpus := s.CPUs, s.GPUs
	fits := false
	for _, m := range c.w.machines {
		typ := c.w.catalog[m.typ]
		room := !c.w.now.Before(m.hungUntil) && m.isUp && !m.sick && m.errors == 0 && m.noticeAt.IsZero() &&
			s.AllowsType(m.typ) && (s.Zone == "" || s.Zone == m.zone) && (!m.spot || s.Spot)
		freeCPUs, freeGPUs, freeMem := typ.CPUs, typ.GPUs, typ.MemGB
		for _, t := range m.tasks {
			o := &t.job.spec
			if t.state == fleet.Exited {
				continue
			}
			if t.job == j {
				return false
			}
			freeCPUs, freeGPUs, freeMem = freeCPUs-o.CPUs, freeGPUs-o.GPUs, freeMem-o.MemGB
			if o.Team == s.Team {
				cpus, gpus = cpus+o.CPUs, gpus+o.GPUs
			}
		}
		fits = fits || room && s.CPUs <= freeCPUs && s.GPUs <= freeGPUs && s.MemGB <= freeMem
	}
	return fits && c.w.teams[s.Team].Within(cpus, gpus)
}

// runOf is how long a task of the job runs.
func (j *userJob) runOf(index int) time.Duration {
	if index < len(j.runs) {
		return j.runs[index]
	}
	return j.run
}
