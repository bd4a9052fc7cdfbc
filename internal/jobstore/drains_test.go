package jobstore

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/drain"
)

// Pages of drains and the largest plan, with the longest numbers, fit the lowest limit for a value
// that any deployment has, which the state service applies to the JSON form. A page that exceeds it
// would be rejected, and a new leader wouldn't know of its cordons or charges.
func TestDrainValuesFit(t *testing.T) {
	const limit = 4000 // what the daemon uses of a limit of 4 KiB
	now := time.Unix(1_800_000_000, 0)
	pages := 0
	newName := func() string { pages++; return fmt.Sprintf("1-%d", pages) }
	policy := &drain.Policy{}
	plan := drain.Plan{
		ID: "replace-all", Selector: drain.Selector{All: true},
		MaxAtOnce: 1000, Through: "m-999999", CreatedMS: now.UnixMilli(),
	}
	stored := drain.Stored{Plans: []drain.StoredPlan{{Plan: plan, Version: 1}}}
	c := drain.NewCoordinator(now, policy, stored, newName, func() int { return limit })
	for i := range 300 {
		name := fmt.Sprintf("m-%06d", i)
		c.MachineAdded(drain.MachineInfo{Name: name})
		c.Cordon(now, name, plan.ID)
		task := drain.TaskKey{Job: fmt.Sprintf("j-%06d", i), Task: 99_999}
		c.Ledger.Charge(now, "collect-ops", "script-read", task, math.MaxUint64, drain.Involuntary)
		c.Ledger.AttemptGone(now, task, math.MaxUint64)
	}
	var values []any
	for _, w := range c.MachinePageWrites(math.MaxInt) {
		values = append(values, w.Record)
	}
	for _, w := range c.Ledger.Writes(now, math.MaxInt) {
		values = append(values, w.Record)
	}
	if len(values) < 10 || len(values) > 20 {
		t.Errorf("300 machines and charges take %d pages", len(values))
	}
	for i := range 100 {
		plan.Selector.Machines = append(plan.Selector.Machines, fmt.Sprintf("m-%06d", i))
	}
	for _, value := range append(values, plan) {
		if size, err := codec.JSONSize(codec.MustMarshal(value)); err != nil || size > limit {
			t.Errorf("%T takes %d bytes, want at most %d (%v)", value, size, limit, err)
		}
	}
}
