package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
	"gingertally/internal/recovery"
)

// Status is a leader's state, as shown to operators.
type Status struct {
	Term     uint64
	Settled  bool // the takeover has progressed so far that tasks may be placed
	Pools    []PoolStatus
	Waiting  []WaitingJob // at most statusJobs of them, in order of priority
	Waits    int          // number of all waiting jobs
	Active   int          // jobs that aren't over
	Unstored int          // starts that aren't on a page of the start log yet, and so not stored
	Recovery recovery.Status
	Starts   []StartWait   // how long jobs waited for their first start in this term
	Drains   *drain.Status `json:",omitempty"` // operators' drains; nil if drains are off
}

// PoolStatus counts the machines of one pool: those of a type in a zone, spot or not.
type PoolStatus struct {
	Type, Zone string
	Spot       bool
	States     map[string]int // machines by state
	Draining   int
	Attempts   int // attempts that may be on these machines
}

// WaitingJob is a job with waiting tasks, and the reason why they wait.
type WaitingJob struct {
	Ref, Class, Team string
	Waiting, Tasks   int
	Since            time.Duration
	Reason           string
}

// statusJobs bounds the number of waiting jobs that a status lists.
const statusJobs = 200

// Reasons why tasks wait.
const (
	ReasonTakeover   = "a new leader is still hearing the machines"
	ReasonPause      = "a pause after bad exits"
	ReasonFails      = "it fails on machine after machine and goes last"
	ReasonQuota      = "its team's limit"
	ReasonOldGang    = "an earlier attempt of the gang isn't proven gone"
	ReasonRequested  = "no room; machines are asked for or boot"
	ReasonRefused    = "no room; the cloud has no more machines for it"
	ReasonNoCapacity = "no room"
)

// Status returns the engine's current status.
func (e *Engine) Status(now time.Time) Status {
	s := Status{
		Term: e.numbers.term, Settled: e.settled(now),
		Pools: e.poolStatus(), Active: e.jobs.count(), Unstored: e.startLog.unstored(),
		Starts: e.waits.list(), Recovery: e.recovery.Status(now), Drains: e.DrainStatus(now),
	}
	e.addWaiting(now, &s)
	e.addHeld(now, &s)
	return s
}

// poolStatus counts the machines of each pool.
func (e *Engine) poolStatus() []PoolStatus {
	pools := map[fleet.PoolKey]*PoolStatus{}
	for m := range e.machines.all() {
		p := pools[m.PoolKey]
		if p == nil {
			p = &PoolStatus{Type: m.Type, Zone: m.Zone, Spot: m.Spot, States: map[string]int{}}
			pools[m.PoolKey] = p
		}
		p.States[m.State().String()]++
		p.Attempts += m.ActiveAttempts()
		if m.Draining() {
			p.Draining++
		}
	}
	var out []PoolStatus
	for _, k := range slices.SortedFunc(maps.Keys(pools), fleet.PoolKey.Compare) {
		out = append(out, *pools[k])
	}
	return out
}

// addWaiting adds the jobs with tasks that wait for capacity, in order of priority.
func (e *Engine) addWaiting(now time.Time, s *Status) {
	seen := map[string]bool{}
	for _, t := range e.priorityOrder(now) {
		j := t.Job
		if seen[j.Ref] {
			continue
		}
		seen[j.Ref] = true
		if s.Waits++; s.Waits > statusJobs {
			continue
		}
		s.Waiting = append(s.Waiting, WaitingJob{Ref: j.Ref, Class: j.Class, Team: j.Team, Waiting: j.Count(pipeline.Waiting),
			Tasks: len(j.Tasks), Since: now.Sub(j.ReadyAt), Reason: e.reason(now, j, s.Settled)})
	}
}

// addHeld adds the jobs that wait for their dependencies.
func (e *Engine) addHeld(now time.Time, s *Status) {
	for _, j := range e.jobs.inOrder() {
		if j.Phase() != pipeline.Held {
			continue
		}
		if s.Waits++; s.Waits <= statusJobs {
			s.Waiting = append(s.Waiting, WaitingJob{Ref: j.Ref, Class: j.Class, Team: j.Team, Waiting: len(j.Tasks),
				Tasks: len(j.Tasks), Since: now.Sub(j.Submitted), Reason: waitsForText(j.Dependencies())})
		}
	}
}

// waitsForText returns the reason of a job that waits for dependencies.
func waitsForText(refs []string) string {
	if more := len(refs) - maxNamedDependencies; more > 0 {
		return fmt.Sprintf("waits for %s and %d more", strings.Join(refs[:maxNamedDependencies], ", "), more)
	}
	return "waits for " + strings.Join(refs, ", ")
}

// maxNamedDependencies bounds the number of dependencies that a reason names.
const maxNamedDependencies = 5

// reason returns why a job's waiting tasks wait.
func (e *Engine) reason(now time.Time, j *pipeline.Job, settled bool) string {
	u, team := e.usage.ofTeam(j.Team), e.cfg.Teams[j.Team]
	n := 1.0
	if j.Shape == pipeline.Gang {
		n = float64(len(j.Tasks))
	}
	switch {
	case !settled:
		return ReasonTakeover
	case j.FailsRepeatedly(e.cfg.RestartLimit):
		return ReasonFails
	case j.NextWaiting(now, 0) < 0:
		return ReasonPause
	case j.Shape == pipeline.Gang && e.usage.ofJob(j.Ref).active() > 0:
		return ReasonOldGang
	case !team.Within(u.CPUs+n*j.CPUs, u.GPUs+n*j.GPUs):
		return ReasonQuota
	}
	for m := range e.machines.all() {
		t := e.catalog[m.Type]
		if m.State() == fleet.Booting && t != nil && t.Fits(&j.Spec) && j.AllowsType(m.Type) {
			return ReasonRequested
		}
	}
	switch outlook := e.plan.Outlook(now, &j.Spec, e.catalog); {
	case outlook.Requested:
		return ReasonRequested
	case outlook.AllRefused:
		return ReasonRefused
	}
	return ReasonNoCapacity
}
