package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// boundedPace: while a new leader's pace is bounded, the starts of bulk work in a second don't
// exceed twice that rate plus two, which allows for the burst that may be sent at once.
//
// Deliberate fault: "a response with too many starts".
type boundedPace struct {
	w           *World
	seconds     int       // how many seconds were checked, that is, had a bounded pace
	secondBegan time.Time // when the current second began; zero: the pace isn't bounded
	starts      int       // of bulk work in the current second
	highestRate float64   // of the pace in the current second
}

func (i *boundedPace) observe(o observation) {
	stepped, ok := o.(engineStepped)
	if !ok || !i.w.options.Pace.Enabled {
		return
	}
	if response := stepped.effects.Response; response != nil && response.OK && !response.Hold {
		i.checkResponse(stepped.node, response)
	}
}

// checkResponse counts the starts of bulk work in a response and checks them against the pace.
func (i *boundedPace) checkResponse(n *node, response *core.HeartbeatResponse) {
	rate := n.engine.Status(n.local()).Recovery.Pace
	if rate == 0 {
		i.secondBegan = time.Time{}
		return
	}
	if i.secondBegan.IsZero() || i.w.now.Sub(i.secondBegan) >= time.Second {
		i.secondBegan, i.starts, i.highestRate = i.w.now, 0, rate
		i.seconds++
	}
	i.highestRate = max(i.highestRate, rate)
	for _, command := range response.Commands {
		if command.Kind == fleet.Start && i.isBulk(i.w.jobs[command.Ref]) {
			i.starts++
		}
	}
	if most := 2*i.highestRate + 2; float64(i.starts) > most {
		i.w.checker.fail("pace: %d starts of bulk work in a second, with a pace of %g a second", i.starts, i.highestRate)
	}
}

// isBulk reports whether a job's starts are paced. Those of urgent jobs aren't, nor those of jobs
// that others depend on, since a job inherits the urgency of its dependents.
func (*boundedPace) isBulk(j *userJob) bool {
	return j != nil && j.spec.Priority > pipeline.High && !j.hasDependents()
}

// hasDependents reports whether some job names this one as a dependency.
func (j *userJob) hasDependents() bool {
	for _, other := range j.w.jobs {
		for _, dependency := range other.dependencies {
			if dependency == j {
				return true
			}
		}
	}
	return false
}
