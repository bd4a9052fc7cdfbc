package core

import (
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// busyFleet is a leader with so many machines, all of them full, and a backlog.
func busyFleet(machines int) (*Engine, time.Time, []fleet.Heartbeat) {
	return busyFleetWith(testConfig(), machines)
}

func busyFleetWith(cfg Config, machines int) (*Engine, time.Time, []fleet.Heartbeat) {
	now := time.Unix(5000, 0)
	e := New(now, cfg, 2, Snapshot{})
	e.Step(now, testCatalog())
	reports := make([]fleet.Heartbeat, machines)
	for i := range reports {
		name := fmt.Sprintf("m-%06d", i)
		reports[i] = heartbeatFrom(name, 1, 0)
	}
	hear := func(i int) HeartbeatResponse {
		reports[i].Sequence++
		return *e.Step(now, HeartbeatReceived{reports[i]}).Response
	}
	for i := range reports {
		hear(i)
		reports[i].FencingToken = 2 // which it now has been given
	}
	jobs := machines*8/40 + 30
	for i := range jobs {
		j := job(fmt.Sprintf("j-%06d", i), 40)
		j.Record.SubmittedMS = now.UnixMilli()
		if i%7 == 0 {
			j.Record.Spec.Shape, j.Record.Spec.Tasks, j.Record.Spec.CPUs = pipeline.Gang, 12, 6
		}
		e.Step(now, JobStored{j})
	}
	now = now.Add(10 * time.Second)
	for range 50 {
		now = now.Add(time.Second)
		e.Step(now, Tick{})
		for batch := e.Batch(now, 30); len(batch) > 0; batch = e.Batch(now, 30) {
			e.Step(now, WritesStarted{batch})
			e.Step(now, WritesFinished{Batch: batch, OK: true, Revision: 100})
		}
		for i := range reports {
			for _, c := range hear(i).Commands {
				if c.Kind == fleet.Start {
					reports[i].Tasks = append(reports[i].Tasks, running(c))
				}
			}
		}
	}
	return e, now, reports
}

// An unchanged heartbeat costs the same in a large fleet as in a small one.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{100, 500, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, now, reports := busyFleet(n)
			for i := 0; b.Loop(); i++ {
				r := &reports[i%n]
				r.Sequence++
				e.Step(now, HeartbeatReceived{*r})
				e.Batch(now, 30)
			}
		})
	}
}

// A tick without news costs next to nothing; one that runs a round and a plan
// follows the backlog.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{100, 500, 2000, 4000} {
		for _, news := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/news=%v", n, news), func(b *testing.B) {
				e, now, _ := busyFleet(n)
				for b.Loop() {
					if news {
						now = now.Add(10 * time.Millisecond)
						e.rounds.request()
					}
					e.Step(now, Tick{})
				}
			})
		}
	}
}
