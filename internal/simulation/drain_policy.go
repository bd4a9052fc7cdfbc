package simulation

import (
	"time"

	"gingertally/internal/drain"
)

// drainSkew bounds how far the controllers' clocks may be off in worlds with drains.
const drainSkew = 250 * time.Millisecond

// randomPolicy returns a policy with random disruption budgets for the teams.
func (d *drainOperators) randomPolicy() *drain.Policy {
	p := &drain.Policy{
		Budgets:    map[drain.Scope]drain.Budget{},
		FinishWait: d.between(2*time.Second, 20*time.Second),
		Skew:       drainSkew,
	}
	for _, team := range []string{"red", "blue", "amber"} {
		b := drain.NewBudget()
		switch d.rng.IntN(4) {
		case 0:
			b.TaskInterruptions = d.rng.IntN(2)
		case 1:
			b.WindowInterruptions, b.Window = 1+d.rng.IntN(5), d.between(20*time.Second, 60*time.Second)
		case 2:
			b.TaskInterruptions, b.MaxUnavailable = 1, 1+d.rng.IntN(2)
		}
		if d.rng.IntN(2) == 0 {
			b.Closed = d.randomWindows()
		}
		p.Budgets[drain.Scope{Team: team}] = b
	}
	if d.rng.IntN(3) == 0 {
		b := drain.NewBudget()
		b.WindowInterruptions, b.Window = 2, 30*time.Second
		p.Budgets[drain.Scope{Team: "red", Class: "c"}] = b
	}
	return p
}

// randomWindows returns closed windows of 10 to 25 seconds that begin at random times within
// Options.Length.
func (d *drainOperators) randomWindows() []drain.ClosedWindow {
	var out []drain.ClosedWindow
	for at := d.between(0, 40*time.Second); at < d.w.options.Length; at += d.between(30*time.Second, 60*time.Second) {
		from := d.w.start.Add(at).In(time.UTC)
		day := time.Date(from.Year(), from.Month(), from.Day(), 0, 0, 0, 0, time.UTC)
		begin := from.Sub(day).Truncate(time.Second)
		length := d.between(10*time.Second, 25*time.Second).Truncate(time.Second)
		w := drain.ClosedWindow{From: begin, To: begin + length, Location: time.UTC}
		for i := range w.Days {
			w.Days[i] = true
		}
		out = append(out, w)
	}
	return out
}

// nodePolicy returns the policy that the controllers use, altered if a deliberate fault asks for
// it.
func (d *drainOperators) nodePolicy() *drain.Policy {
	if d.fault.policy == nil {
		return d.policy
	}
	p := d.fault.policy(*d.policy)
	return &p
}
