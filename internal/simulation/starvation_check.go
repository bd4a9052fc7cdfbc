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
	c.startCame(t)
	if t.job.reportedPhase == pipeline.Cancelled {
		c.startsCancelled++
	}
}

// goesOn checks at each step of a task that its job's user hasn't known for too long
// that it is cancelled: also a machine that hung may only go on with it until then.
func (c *checker) goesOn(t *task, does string) {
	if t.job.reportedPhase == pipeline.Cancelled && c.w.now.Sub(t.job.cancelReportedAt) > c.w.options.CancelWithin {
		c.fail("ran_cancelled: %s %s on %s", taskName(t), does, t.m.name)
	}
}

// answered checks an answer to a question that took its time: it counts by when it
// was asked, so that an older answer may cross a newer one, and nothing else may.
func (c *checker) answered(j *userJob, asked time.Time, v core.JobView, known bool) {
	if !known && (!j.accepted || !asked.After(j.acceptedAt)) {
		return
	}
	if known && v.Phase == pipeline.Active && j.reportedPhase != pipeline.Active && !asked.After(j.reportedAt) {
		return
	}
	c.told(j, v, known)
}

// waitsAtMost is how long an array or a gang may be left waiting in peace though there
// is room.
const waitsAtMost = 90 * time.Second

// What replacing a replica takes besides the proof that its last place is lost: a round of
// decisions and its write, two heartbeats of the machine that gets it, and fetching its image.
const (
	roundAndWrite = 2 * time.Second
	fetchMost     = 8 * time.Second
	lookEvery     = 5 * time.Second
)

// replacedWithin is how long a service may lack a replica in peace though there is room.
func (c *checker) replacedWithin() time.Duration {
	o := &c.w.options
	leaseProvenOver := o.Lease + o.Lease/500 + time.Second
	return leaseProvenOver + roundAndWrite + 2*o.HeartbeatInterval*5/4 + fetchMost + lookEvery
}

// checkStarvation checks, again and again once all faults are over, that no job is left
// with tasks that wait though machines have room for them: arrays that have begun or not,
// whole gangs, and replicas of services, which are replaced sooner.
func (c *checker) checkStarvation() {
	for _, j := range c.w.sortedJobs() {
		if !c.couldStart(j) {
			delete(c.waiting, j)
			continue
		}
		since, known := c.waiting[j]
		if !known {
			c.waiting[j] = c.w.now
			continue
		}
		waited := c.w.now.Sub(since)
		switch {
		case j.spec.Shape == pipeline.Service && waited > c.replacedWithin():
			c.fail("not replaced: %s lacks a replica for %s though there is room: %+v", j.spec.Ref, waited, j.spec)
		case j.spec.Shape != pipeline.Service && waited > waitsAtMost:
			c.fail("left waiting: %s for %s though there is room: %+v", j.spec.Ref, waited, j.spec)
		}
	}
	c.w.after(lookEvery, c.checkStarvation)
}

// failuresTolerated is how many failures of its tasks a job can have had without being held
// back by the service.
const failuresTolerated = 3

// A machine on which a task failed once is tried again after failureForgotten at the
// latest; one with more failures may be taken for sick.
const (
	failureForgotten = 2 * time.Minute
	quarantinedAfter = 2
)

// progressed counts the start of a task: a job that had begun isn't left waiting.
func (c *checker) progressed(t *task) {
	present := 0
	for _, n := range c.presentByZone(t.job) {
		present += n
	}
	if present > 1 || len(t.job.done) > 0 {
		delete(c.waiting, t.job)
	}
}

// couldStart tells whether tasks of a job wait, all of a gang or some of any other, and
// there is room for them.
func (c *checker) couldStart(j *userJob) bool {
	s := &j.spec
	if !j.accepted || j.failsAlways || j.failures > failuresTolerated || j.cancelRequested || j.reportedPhase != pipeline.Active {
		return false
	}
	for _, p := range j.dependencies {
		if p.reportedPhase != pipeline.Done {
			return false
		}
	}
	present := c.presentByZone(j)
	placed := 0
	for _, n := range present {
		placed += n
	}
	need := 1
	if s.Shape == pipeline.Gang {
		need = s.Tasks
	}
	if s.Tasks-len(j.done)-placed < need {
		return false
	}
	cpus, gpus := c.teamUse(s.Team)
	if !c.w.teams[s.Team].Within(cpus+float64(need)*s.CPUs, gpus+float64(need)*s.GPUs) {
		return false
	}
	return c.fits(j, need, present)
}

// fits tells whether the machines have room for so many more tasks of a job, given how
// many are in which zone.
func (c *checker) fits(j *userJob, need int, present map[string]int) bool {
	s := &j.spec
	room, inOne := 0, 0
	for _, zone := range c.w.zones {
		if s.OneZone && len(present) > 0 && present[zone] == 0 {
			continue
		}
		here := 0
		for _, m := range c.w.sortedMachines() {
			if m.zone == zone && c.takes(m, s) {
				here += m.roomFor(s)
			}
		}
		if s.Spread {
			here = max(0, min(here, (s.Tasks+1)/2-present[zone]))
		}
		room, inOne = room+here, max(inOne, here)
	}
	if s.OneZone {
		return inOne >= need
	}
	return room >= need
}

// presentByZone counts the tasks of a job that are on machines, or being fetched there.
func (c *checker) presentByZone(j *userJob) map[string]int {
	out := map[string]int{}
	for _, m := range c.w.machines {
		for _, t := range m.tasks {
			if t.job == j && t.state != fleet.Exited {
				out[m.zone]++
			}
		}
	}
	return out
}

// teamUse is what of a team is on machines, or being fetched there.
func (c *checker) teamUse(team string) (cpus, gpus float64) {
	for _, m := range c.w.machines {
		for _, t := range m.tasks {
			if t.job.spec.Team == team && t.state != fleet.Exited {
				cpus, gpus = cpus+t.job.spec.CPUs, gpus+t.job.spec.GPUs
			}
		}
	}
	return cpus, gpus
}

// takes tells whether a machine is well, isn't cordoned, and a job may use it.
func (c *checker) takes(m *machine, s *pipeline.Spec) bool {
	well := !c.w.drainCordoned(m) && !c.w.now.Before(m.hungUntil) && m.isUp && !m.faulty && m.interruptionAt.IsZero() &&
		(m.failures == 0 || m.failures < quarantinedAfter && c.w.now.Sub(m.failedAt) > failureForgotten)
	return well && s.AllowsType(m.typ) && (s.Zone == "" || s.Zone == m.zone) && (!m.spot || s.Spot)
}

// roomFor is how many more tasks of a job a machine has room for.
func (m *machine) roomFor(s *pipeline.Spec) int {
	typ := m.w.catalog[m.typ]
	cpus, gpus, mem := typ.CPUs, typ.GPUs, typ.MemGB
	for _, t := range m.tasks {
		if o := &t.job.spec; t.state != fleet.Exited {
			cpus, gpus, mem = cpus-o.CPUs, gpus-o.GPUs, mem-o.MemGB
		}
	}
	n := s.Tasks
	for _, x := range [3][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.MemGB}} {
		if x[1] > 0 {
			n = min(n, int(max(0, x[0])/x[1]))
		}
	}
	return n
}

// runOf is how long a task of the job runs.
func (j *userJob) runOf(index int) time.Duration {
	if index < len(j.runs) {
		return j.runs[index]
	}
	return j.run
}
