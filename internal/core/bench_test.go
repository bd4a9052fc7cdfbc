package core

import (
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// busyFleet returns a leader with this many full machines and a backlog of jobs, the current time,
// and the machines' last heartbeats.
func busyFleet(machines int) (*Engine, time.Time, []fleet.Heartbeat) {
	return busyFleetWith(testConfig(), machines)
}

// busyFleetWith is busyFleet with other settings.
func busyFleetWith(cfg Config, machines int) (*Engine, time.Time, []fleet.Heartbeat) {
	now := time.Unix(5000, 0)
	e := New(now, cfg, 2, Snapshot{})
	e.Step(now, testCatalog())
	heartbeats := make([]fleet.Heartbeat, machines)
	for i := range heartbeats {
		name := fmt.Sprintf("m-%06d", i)
		heartbeats[i] = heartbeatFrom(name, 1, 0)
	}
	send := func(i int) HeartbeatResponse {
		heartbeats[i].Sequence++
		return *e.Step(now, HeartbeatReceived{heartbeats[i]}).Response
	}
	for i := range heartbeats {
		send(i)
		heartbeats[i].FencingToken = 2 // the machine has now received the term's token
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
		for i := range heartbeats {
			for _, c := range send(i).Commands {
				if c.Kind == fleet.Start {
					heartbeats[i].Tasks = append(heartbeats[i].Tasks, running(c))
				}
			}
		}
	}
	return e, now, heartbeats
}

// Measures an unchanged heartbeat. Its cost should not depend on the size of the fleet.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{100, 500, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, now, heartbeats := busyFleet(n)
			for i := 0; b.Loop(); i++ {
				r := &heartbeats[i%n]
				r.Sequence++
				e.Step(now, HeartbeatReceived{*r})
				e.Batch(now, 30)
			}
		})
	}
}

// Measures ticks with and without a round of decisions. Without a round a tick should cost next to
// nothing; with a round its cost grows with the backlog.
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
