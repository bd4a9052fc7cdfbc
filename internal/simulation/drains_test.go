package simulation

import (
	"strings"
	"testing"
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
		says  []string
	}{
		{"charges after the stop", chargesAfterTheStop, []string{"uncharged"}},
		{"charges kept in memory", chargesKeptInMemory, []string{"uncharged"}},
		{"cordons forgotten at a takeover", cordonsForgotten, []string{"cordoned"}},
		{"a gang charged as one task", gangsChargedAsOneTask, []string{"uncharged"}},
		{"closed windows forgotten", closedWindowsForgotten, []string{"closed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !faultSeen(c.fault, c.says) {
				t.Error("no world shows the fault")
			}
		})
	}
}

// faultSeen tells whether a world with a deliberate fault breaks one of some rules.
func faultSeen(fault drainFault, says []string) bool {
	for seed := range uint64(80) {
		o := options(1000+seed, true)
		if seed%2 == 0 {
			o = shortLeases(7000 + seed)
		}
		o.Draining, o.DrainFault = true, fault
		err := NewWorld(o).Run()
		for _, text := range says {
			if err != nil && strings.Contains(err.Error(), text) {
				return true
			}
		}
	}
	return false
}
