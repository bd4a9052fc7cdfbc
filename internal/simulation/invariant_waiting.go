package simulation

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// nothingLeftWaiting: once all faults are over, no job has tasks that wait for long although
// machines have room for them. This covers arrays, whether any task has run or not, whole gangs,
// and replicas of services, which have a shorter bound.
//
// Deliberate faults: "controllers that don't know a higher limit", "controllers that don't know a higher limit,
// services".
type nothingLeftWaiting struct {
	w     *World
	since map[*userJob]time.Time // since when a job's waiting tasks have had room
}

// maxWaitWithRoom is how long an array or a gang may wait although there is room, once all faults
// are over.
const maxWaitWithRoom = 90 * time.Second

// Parts of maxReplacementTime. Replacing a replica takes, besides the proof that the machine's
// lease on the old one has expired, a scheduling round and its write, two heartbeats of the new
// machine, and fetching the image. checkInterval is how often jobs are checked.
const (
	roundAndWrite = 2 * time.Second
	maxFetchTime  = 8 * time.Second
	checkInterval = 5 * time.Second
)

// failuresTolerated is how many task failures a job may have had and still be expected to start
// without delay.
const failuresTolerated = 3

// A machine on which a task failed once is used again after maxFailureBackoff at the latest; one with
// quarantinedAfter failures may be quarantined.
const (
	maxFailureBackoff = 2 * time.Minute
	quarantinedAfter  = 2
)

// observe restarts the waiting time of a job when a task of it starts and the job had begun before:
// another of its tasks is present on a machine or has completed.
func (i *nothingLeftWaiting) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	j := started.task.job
	present := 0
	for _, n := range i.presentByZone(j) {
		present += n
	}
	if present > 1 || len(j.done) > 0 {
		delete(i.since, j)
	}
}

// maxReplacementTime is how long a service may lack a replica although there is room, once all
// faults are over.
func (i *nothingLeftWaiting) maxReplacementTime() time.Duration {
	o := &i.w.options
	leaseProvenOver := o.Lease + o.Lease/500 + time.Second
	return leaseProvenOver + roundAndWrite + 2*o.HeartbeatInterval*5/4 + maxFetchTime + checkInterval
}

// checkRepeatedly checks all jobs every checkInterval until the world ends. It is called once all
// faults are over.
func (i *nothingLeftWaiting) checkRepeatedly() {
	for _, j := range i.w.sortedJobs() {
		if !i.couldStart(j) {
			delete(i.since, j)
			continue
		}
		since, known := i.since[j]
		if !known {
			i.since[j] = i.w.now
			continue
		}
		waited := i.w.now.Sub(since)
		switch {
		case j.spec.Shape == pipeline.Service && waited > i.maxReplacementTime():
			i.w.checker.fail("not replaced: %s lacks a replica for %s though there is room: %+v", j.spec.Ref, waited, j.spec)
		case j.spec.Shape != pipeline.Service && waited > maxWaitWithRoom:
			i.w.checker.fail("left waiting: %s for %s though there is room: %+v", j.spec.Ref, waited, j.spec)
		}
	}
	i.w.after(checkInterval, i.checkRepeatedly)
}

// couldStart reports whether tasks of a job wait, all of a gang's or some of any other job's, and
// there is room for them.
func (i *nothingLeftWaiting) couldStart(j *userJob) bool {
	s := &j.spec
	open := j.accepted && !j.cancelRequested && j.reportedPhase == pipeline.Active
	if !open || j.failsAlways || j.failures > failuresTolerated {
		return false
	}
	for _, dependency := range j.dependencies {
		if dependency.reportedPhase != pipeline.Done {
			return false
		}
	}
	present := i.presentByZone(j)
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
	cpus, gpus := i.teamClaims(s.Team)
	if !i.w.teams[s.Team].Within(cpus+float64(need)*s.CPUs, gpus+float64(need)*s.GPUs) {
		return false
	}
	return i.fits(s, need, present)
}

// fits reports whether the machines have room for need more tasks of a job, given how many it has
// in each zone.
func (i *nothingLeftWaiting) fits(s *pipeline.Spec, need int, present map[string]int) bool {
	room, mostInOneZone := 0, 0
	for _, zone := range i.w.zones {
		if s.OneZone && len(present) > 0 && present[zone] == 0 {
			continue
		}
		here := 0
		for _, m := range i.w.sortedMachines() {
			if m.zone == zone && i.usable(m, s) {
				here += m.tasksThatFit(s)
			}
		}
		if s.Spread {
			here = max(0, min(here, (s.Tasks+1)/2-present[zone]))
		}
		room, mostInOneZone = room+here, max(mostInOneZone, here)
	}
	if s.OneZone {
		return mostInOneZone >= need
	}
	return room >= need
}

// presentByZone counts the tasks of a job by zone that are on machines or whose images are being
// fetched there.
func (i *nothingLeftWaiting) presentByZone(j *userJob) map[string]int {
	present := map[string]int{}
	for _, m := range i.w.machines {
		for _, t := range m.tasks {
			if t.job == j && t.state != fleet.Exited {
				present[m.zone]++
			}
		}
	}
	return present
}

// teamClaims sums the resources of a team's tasks that are on machines or whose images are being
// fetched there.
func (i *nothingLeftWaiting) teamClaims(team string) (cpus, gpus float64) {
	for _, m := range i.w.machines {
		for _, t := range m.tasks {
			if t.job.spec.Team == team && t.state != fleet.Exited {
				cpus, gpus = cpus+t.job.spec.CPUs, gpus+t.job.spec.GPUs
			}
		}
	}
	return cpus, gpus
}

// usable reports whether a machine is healthy, isn't cordoned or held back after failures, and is
// allowed for a job.
func (i *nothingLeftWaiting) usable(m *machine, s *pipeline.Spec) bool {
	healthy := m.isUp && !m.faulty && !i.w.now.Before(m.hungUntil) && m.interruptionAt.IsZero()
	if !healthy || i.w.checker.cordons.isCordoned(m) {
		return false
	}
	if m.failures >= quarantinedAfter || m.failures > 0 && i.w.now.Sub(m.failedAt) <= maxFailureBackoff {
		return false
	}
	return s.AllowsType(m.typ) && (s.Zone == "" || s.Zone == m.zone) && (!m.spot || s.Spot)
}

// tasksThatFit returns how many more tasks of a job a machine has room for.
func (m *machine) tasksThatFit(s *pipeline.Spec) int {
	typ := m.w.catalog[m.typ]
	cpus, gpus, mem := typ.CPUs, typ.GPUs, typ.MemGB
	for _, t := range m.tasks {
		if o := &t.job.spec; t.state != fleet.Exited {
			cpus, gpus, mem = cpus-o.CPUs, gpus-o.GPUs, mem-o.MemGB
		}
	}
	room := s.Tasks
	for _, resource := range []struct{ free, perTask float64 }{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.MemGB}} {
		if resource.perTask > 0 {
			room = min(room, int(max(0, resource.free)/resource.perTask))
		}
	}
	return room
}
