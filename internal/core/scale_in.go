package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/placement"
)

// scaleIn asks the cloud to release a machine; its answer proves that everything on the machine is
// gone.
func (e *Engine) scaleIn(now time.Time, m *fleet.Machine, reason ScaleInReason) {
	if m.ScaleInPending(now) {
		return
	}
	if e.moveMachine(now, m, fleet.ScalingIn) {
		e.log(LogScaleInRequested, logMachine(m), slog.String("type", m.Type), logReason(string(reason)), logActive(m))
	}
	m.ScaleInRequested()
	n := len(e.out.ScaleIn)
	if n == 0 || len(e.out.ScaleIn[n-1]) >= maxScaleIn {
		e.out.ScaleIn = append(e.out.ScaleIn, nil)
		n++
	}
	e.out.ScaleIn[n-1] = append(e.out.ScaleIn[n-1], m.Name)
}

// maxScaleIn is how many machines one request for release may name (PROTOCOL).
const maxScaleIn = 100

// recentClassWindow is how long after its latest job a class of jobs is expected to have more.
const recentClassWindow = 4 * time.Minute

// idleTimeoutUnused is how long an idle machine is kept that fits no recent class of jobs. Other
// idle machines are kept for idleTimeout plus the time that Weights.IdleDollars pay for; idleTimeout
// doesn't depend on the price, since any machine that is up saves a job the boot time. If the last
// job that fits came longer than idleTimeoutOld ago, they are kept for idleTimeoutOld at most.
const (
	idleTimeoutUnused = 10 * time.Second
	idleTimeout       = 10 * time.Second
	idleTimeoutOld    = 40 * time.Second
)

// scaleInIdle releases machines that have been idle too long.
func (e *Engine) scaleInIdle(now time.Time, demand []capacity.Demand) {
	if len(e.classes) == 0 || now.Sub(e.started) < 3*e.cfg.HeartbeatInterval || !e.recovery.Pacer().Unlimited() {
		return
	}
	for _, p := range e.capacity.free.Pools {
		if len(p.Slots) == 0 {
			continue
		}
		keep := e.idleTimeoutOf(now, p)
		for i := len(p.Slots) - 1; i >= 0; i-- {
			s := p.Slots[i]
			m := s.Machine
			if s.Future || m.HeartbeatExpected() || !m.Empty() || now.Sub(m.IdleSince()) <= keep {
				continue
			}
			if e.isReplacement(m) || neededByDemand(now, p, m, demand) {
				continue
			}
			e.scaleIn(now, m, ScaleInIdle)
		}
	}
}

// idleTimeoutOf returns how long idle machines of a pool are kept.
func (e *Engine) idleTimeoutOf(now time.Time, p *placement.Pool) time.Duration {
	last := e.lastMatchingArrival(now, p)
	if last.IsZero() {
		return idleTimeoutUnused
	}
	keep := idleTimeout + time.Duration(e.cfg.Weights.IdleDollars/max(p.Type.Price(p.Key.Spot), 0.01)*float64(time.Hour))
	if now.Sub(last) > idleTimeoutOld {
		keep = min(keep, idleTimeoutOld)
	}
	return keep
}

// neededByDemand reports whether waiting work could use the machine: a gang, say, that still lacks
// room for some of its tasks.
func neededByDemand(now time.Time, p *placement.Pool, m *fleet.Machine, demand []capacity.Demand) bool {
	for _, d := range demand {
		if p.Allowed(&d.Job.Spec) && !d.Job.Avoids(now, m.Name) {
			return true
		}
	}
	return false
}

// lastMatchingArrival returns when the latest job arrived whose class fits the pool's machines;
// zero if that is longer ago than recentClassWindow.
func (e *Engine) lastMatchingArrival(now time.Time, p *placement.Pool) time.Time {
	var last time.Time
	for _, c := range e.classes {
		if now.Sub(c.lastAt) < recentClassWindow && c.lastAt.After(last) && c.spec != nil && p.Allowed(c.spec) {
			last = c.lastAt
		}
	}
	return last
}

// ScaleInAnswered carries the outcome of a release. If OK, the cloud answered with 200: the machines
// and everything on them are gone. Otherwise the outcome isn't known, and the release is tried
// again.
type ScaleInAnswered struct {
	Machines []string
	OK       bool
}

func (r ScaleInAnswered) apply(e *Engine, now time.Time) {
	for _, name := range r.Machines {
		m := e.machines.get(name)
		if m == nil {
			continue
		}
		if !r.OK {
			m.ScaleInFailed(now.Add(time.Second))
			continue
		}
		e.removeMachine(now, m)
	}
}
