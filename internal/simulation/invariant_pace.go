package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// boundedPace: while a new leader's pace is bounded, the starts of bulk work in a second don't exceed it by more
// than what may go at once.
//
// Deliberate fault: "a response with too many starts".
type boundedPace struct {
	w           *World
	seconds     int       // in which a leader's pace was bounded
	secondBegan time.Time // the present one of them
	starts      int       // of bulk work in it
	highestRate float64   // in it
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
		i.w.checker.fail("pace: %d starts of bulk work in a second, at most %g a second are allowed", i.starts, i.highestRate)
	}
}

// isBulk tells whether a job's starts are paced: those of urgent jobs aren't, nor those of jobs that others
// depend on, since a job inherits the urgency of its dependents.
func (*boundedPace) isBulk(j *userJob) bool {
	return j != nil && j.spec.Priority > pipeline.High && !j.hasDependents()
}

// hasDependents tells whether some job names this one as a dependency.
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
