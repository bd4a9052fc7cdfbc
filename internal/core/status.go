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

// Status is a leader's state as an operator wants to see it.
type Status struct {
	Term     uint64
	Settled  bool // past the takeover: whatever is proven free may be used
	Pools    []PoolStatus
	Waiting  []WaitingJob // the first of them, in ready order
	Waits    int          // how many wait in all
	Active   int          // jobs that aren't over
	Unstored int          // starts that wait for the state service
	Recovery recovery.Status
	Starts   []StartWait   // how long jobs waited for their first start in this term
	Drains   *drain.Status `json:",omitempty"` // operators' drains; nil: off
}

// PoolStatus counts the machines that are alike.
type PoolStatus struct {
	Type, Zone string
	Spot       bool
	States     map[string]int // machines by state
	Draining   int
	Attempts   int // what may be on them
}

// WaitingJob is a job with tasks that wait, and why they do.
type WaitingJob struct {
	Ref, Class, Team string
	Waiting, Tasks   int
	Since            time.Duration
	Reason           string
}

// statusJobs is how many waiting jobs a status names.
const statusJobs = 200

// Reasons for which tasks wait.
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

// Status tells of machines and of jobs that wait.
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

// addWaiting adds the jobs with tasks that wait for room, in the order of priority.
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
			Tasks: len(j.Tasks), Since: now.Sub(j.Since), Reason: e.reason(now, j, s.Settled)})
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

// waitsForText says which dependencies a job waits for.
func waitsForText(refs []string) string {
	if more := len(refs) - maxNamedDependencies; more > 0 {
		return fmt.Sprintf("waits for %s and %d more", strings.Join(refs[:maxNamedDependencies], ", "), more)
	}
	return "waits for " + strings.Join(refs, ", ")
}

// maxNamedDependencies is how many jobs are named that one waits for.
const maxNamedDependencies = 5

// reason is why a job's waiting tasks wait.
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
