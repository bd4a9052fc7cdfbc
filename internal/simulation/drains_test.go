package simulation

import (
	"context"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/statestore"
)

// drainSeeds is how many worlds of each family TestDrainWorlds plays.
const drainSeeds = 12

// TestDrainWorlds plays worlds of every family, with all their faults, in which operators drain
// machines while teams have random disruption budgets. The warm standby is on in every other world.
// Besides all other invariants, budgets and cordons are checked after every step.
func TestDrainWorlds(t *testing.T) {
	counts := eventCounts{}
	change := func(o Options, number int) Options {
		o.Drains, o.Standby = true, number%2 == 0
		return o
	}
	runFamilies(t, drainSeeds, change, func(w *World) { counts.addAll(w.drains.counts) })
	counts.requireAtLeast(t, eventCounts{
		"plans accepted": 100, "machines cordoned": 100, "machines released": 50, "interruptions by choice": 40,
		"interruptions of gangs": 5,
	})
	t.Log(counts)
}

// TestDrainChecksSeeFaults breaks each rule of drains with a deliberate fault, and expects the
// invariant for that rule to fail.
func TestDrainChecksSeeFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   deliberateDrainFault
		message string
	}{
		{"charges after the stop", deliberateDrainFault{batch: chargeAfterTheStop}, "uncharged"},
		{"charges kept in memory", deliberateDrainFault{commit: dropCharges}, "uncharged"},
		{"cordons forgotten at a takeover", deliberateDrainFault{stored: forgetCordons}, "cordoned"},
		{"a gang charged as one task", deliberateDrainFault{commit: chargeOneTask}, "uncharged"},
		{"closed windows forgotten", deliberateDrainFault{policy: withoutClosedWindows}, "closed"},
		{"budgets of tasks forgotten", deliberateDrainFault{policy: withoutTaskBudgets}, "task budget"},
		{"budgets of windows forgotten", deliberateDrainFault{policy: withoutWindowBudgets}, "window budget"},
		{"bounds on unavailable tasks forgotten", deliberateDrainFault{policy: withoutUnavailableBounds}, "unavailable"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if !faultSeen(c.fault, c.message) {
				t.Error("no world shows the fault")
			}
		})
	}
}

// faultSeen tells whether a deliberate fault makes any of 150 worlds fail with a violation that
// contains the message.
func faultSeen(fault deliberateDrainFault, message string) bool {
	for seed := range uint64(150) {
		o := randomOptions(1000+seed, true)
		if seed%2 == 0 {
			o = shortLeaseOptions(7000 + seed)
		}
		o.Drains, o.DrainFault = true, fault
		if err := NewWorld(o).Run(); err != nil && strings.Contains(err.Error(), message) {
			return true
		}
	}
	return false
}

// chargeDelay is how long after the stop chargeAfterTheStop has charges stored.
const chargeDelay = 10 * time.Second

// chargeAfterTheStop tells the leader that its charges are stored, so that it goes on to send the
// stops, but has them written only chargeDelay later.
func chargeAfterTheStop(n *node, batch []core.Write) []core.Write {
	var charges, rest []core.Write
	for _, w := range batch {
		if _, ok := w.(core.PutChargePage); ok {
			charges = append(charges, w)
		} else {
			rest = append(rest, w)
		}
	}
	if len(charges) > 0 {
		term, jobs := n.term, n.jobs
		n.step(core.WritesStarted{Batch: charges})
		n.step(core.WritesFinished{Batch: charges, OK: true, Revision: term.Revision})
		n.w.after(chargeDelay, func() { _, _ = jobs.Apply(context.Background(), term, charges) })
	}
	return rest
}

// dropCharges has the state service lose all pages of charges.
func dropCharges(changes []statestore.Op) (out []statestore.Op) {
	for _, c := range changes {
		if c.Delete || !strings.HasPrefix(c.Key, chargePrefix) {
			out = append(out, c)
		}
	}
	return out
}

// chargeOneTask keeps only the charges of the first task of each job on a page of charges.
func chargeOneTask(changes []statestore.Op) (out []statestore.Op) {
	for _, c := range changes {
		var record drain.ChargePage
		if !c.Delete && strings.HasPrefix(c.Key, chargePrefix) && codec.Unmarshal(c.Value, &record) == nil {
			for i := range record.Jobs {
				record.Jobs[i].Entries = record.Jobs[i].Entries[:1]
			}
			c.Value = codec.MustMarshal(record)
		}
		out = append(out, c)
	}
	return out
}

// changeBudgets returns a copy of a policy in which each budget is changed.
func changeBudgets(p drain.Policy, change func(*drain.Budget)) drain.Policy {
	budgets := map[drain.Scope]drain.Budget{}
	for scope, b := range p.Budgets {
		change(&b)
		budgets[scope] = b
	}
	p.Budgets = budgets
	return p
}

func forgetCordons(stored *drain.Stored) { stored.Machines = nil }

func withoutClosedWindows(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.Closed = nil })
}

func withoutTaskBudgets(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.TaskInterruptions = drain.Unlimited })
}

func withoutWindowBudgets(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.WindowInterruptions, b.Window = drain.Unlimited, 0 })
}

func withoutUnavailableBounds(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.MaxUnavailable = drain.Unlimited })
}
