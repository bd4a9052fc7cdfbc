package simulation

import (
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"

	"gingertally/internal/core"
	"gingertally/internal/drain"
)

// drainSeeds is how many worlds of each family TestDrainWorlds plays.
const drainSeeds = 12

// TestDrainWorlds plays worlds of every family in which operators drain machines while teams
// have budgets of every kind, with all troubles, and the warm standby on in every other one.
// Besides all rules, the budgets and cordons hold after every step.
func TestDrainWorlds(t *testing.T) {
	from := map[string]uint64{"peace": 1, "troubles": 1000, "many fall together": 3000, "pipelines": 5000, "short leases": 7000}
	notes := map[string]int{}
	for _, f := range families {
		for seed := range uint64(drainSeeds) {
			o := f.options(from[f.name] + seed)
			o.Draining, o.Standby = true, seed%2 == 0
			w := NewWorld(o)
			if err := w.Run(); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			for what, n := range w.drains.notes {
				notes[what] += n
			}
		}
	}
	for what, least := range map[string]int{"plans accepted": 100, "machines cordoned": 100, "machines released": 50, "interruptions by choice": 40, "interruptions of gangs": 5} {
		if notes[what] < least {
			t.Errorf("%s: %d, at least %d expected", what, notes[what], least)
		}
	}
	t.Log(notes)
}

// Each check of drains is seen to fail under a deliberate fault.
func TestDrainChecksSeeFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault drainFault
		says  string
	}{
		{"charges after the stop", drainFault{batch: chargeAfterTheStop}, "uncharged"},
		{"charges kept in memory", drainFault{commit: dropCharges}, "uncharged"},
		{"cordons forgotten at a takeover", drainFault{stored: func(s *drain.Stored) { s.Machines = nil }}, "cordoned"},
		{"a gang charged as one task", drainFault{commit: chargeOneTask}, "uncharged"},
		{"closed windows forgotten", drainFault{policy: withoutClosedWindows}, "closed"},
		{"budgets of tasks forgotten", drainFault{policy: withoutTaskBudgets}, "task budget"},
		{"budgets of windows forgotten", drainFault{policy: withoutWindowBudgets}, "window budget"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if !faultSeen(c.fault, c.says) {
				t.Error("no world shows the fault")
			}
		})
	}
}

// faultSeen tells whether a world with a deliberate fault breaks a rule.
func faultSeen(fault drainFault, says string) bool {
	for seed := range uint64(150) {
		o := options(1000+seed, true)
		if seed%2 == 0 {
			o = shortLeases(7000 + seed)
		}
		o.Draining, o.DrainFault = true, fault
		if err := NewWorld(o).Run(); err != nil && strings.Contains(err.Error(), says) {
			return true
		}
	}
	return false
}

// chargeDelay is how much too late charges are stored by chargeAfterTheStop.
const chargeDelay = 10 * time.Second

// chargeAfterTheStop has the leader go on as if its charges were stored; they are sent only
// after a while.
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
		n.w.after(chargeDelay, func() { _, _, _ = jobs.Apply(bg, term, charges) })
	}
	return rest
}

// dropCharges has the state service lose pages of charges.
func dropCharges(changes []statestore.Op) (out []statestore.Op) {
	for _, c := range changes {
		if c.Delete || !strings.HasPrefix(c.Key, chargePrefix) {
			out = append(out, c)
		}
	}
	return out
}

// chargeOneTask keeps of each job on a page of charges those of one task.
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

// changeBudgets is a policy with something changed in each budget.
func changeBudgets(p drain.Policy, change func(*drain.Budget)) drain.Policy {
	budgets := map[drain.Scope]drain.Budget{}
	for scope, b := range p.Budgets {
		change(&b)
		budgets[scope] = b
	}
	p.Budgets = budgets
	return p
}

func withoutClosedWindows(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.Closed = nil })
}

func withoutTaskBudgets(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.TaskInterruptions = drain.Unlimited })
}

func withoutWindowBudgets(p drain.Policy) drain.Policy {
	return changeBudgets(p, func(b *drain.Budget) { b.WindowInterruptions, b.Window = drain.Unlimited, 0 })
}
