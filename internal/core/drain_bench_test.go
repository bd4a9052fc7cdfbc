package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
)

// BenchmarkDrain measures a tick with its round, and a heartbeat, in a full fleet: with drains off,
// with drains on, and with all machines in a plan and a tenth of them cordoned. The plan runs under
// budgets that let little go, and without budgets.
func BenchmarkDrain(b *testing.B) {
	for _, machines := range []int{500, 4000} {
		for _, mode := range []string{"off", "on", "plan of all", "plan of all, no budgets"} {
			b.Run(fmt.Sprintf("tick/%d/%s", machines, mode), func(b *testing.B) {
				e, now, _ := drainedFleet(machines, mode)
				for b.Loop() {
					now = now.Add(100 * time.Millisecond)
					e.Step(now, Tick{})
				}
			})
			b.Run(fmt.Sprintf("report/%d/%s", machines, mode), func(b *testing.B) {
				e, now, heartbeats := drainedFleet(machines, mode)
				for i := 0; b.Loop(); i++ {
					r := &heartbeats[i%machines]
					r.Sequence++
					e.Step(now, HeartbeatReceived{*r})
				}
			})
		}
	}
}

// drainedFleet returns an engine with a full fleet in one of the modes of BenchmarkDrain, the time
// that it has reached, and a heartbeat of each machine.
func drainedFleet(machines int, mode string) (*Engine, time.Time, []fleet.Heartbeat) {
	cfg := testConfig()
	switch mode {
	case "off":
	case "plan of all, no budgets":
		cfg = drainTestConfig(nil)
		cfg.Drain.FinishWait = 0
	default:
		hourly := budgetWith(func(b *drain.Budget) { b.WindowInterruptions, b.Window = 1, time.Hour })
		cfg = drainTestConfig(map[drain.Scope]drain.Budget{{Team: "t"}: hourly})
	}
	e, now, heartbeats := busyFleetWith(cfg, machines)
	if strings.HasPrefix(mode, "plan of all") {
		plan := drain.Plan{
			ID: "all", Selector: drain.Selector{All: true}, MaxAtOnce: machines / 10,
			Through: "m-999999", CreatedMS: now.UnixMilli(),
		}
		e.Step(now, DrainPlanStored{drain.StoredPlan{Plan: plan, Version: 1}})
		e.Step(now, InstancesListed{})
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			e.Step(now, Tick{})
			batch := e.Batch(now, 30)
			e.Step(now, WritesStarted{batch})
			e.Step(now, WritesFinished{Batch: batch, OK: true, Revision: 100})
		}
	}
	return e, now, heartbeats
}
