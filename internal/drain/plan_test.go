package drain

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// A plan that can't be carried out is rejected with an error that names the field, and one at the
// bounds is accepted. It guards against plans that select nothing, and against plans that don't fit a
// value of the state service.
func TestPlanCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Plan)
		field  string // that the error has to name; empty: the plan is accepted
	}{
		{"the least", func(*Plan) {}, ""},
		{"no id", func(p *Plan) { p.ID = "" }, "id"},
		{"the longest id", func(p *Plan) { p.ID = strings.Repeat("x", maxIDBytes) }, ""},
		{"an id that is too long", func(p *Plan) { p.ID = strings.Repeat("x", maxIDBytes+1) }, "id"},
		{"all kinds of characters in an id", func(p *Plan) { p.ID = "azAZ09-_." }, ""},
		{"a slash in an id", func(p *Plan) { p.ID = "a/b" }, "id"},
		{"nothing selected", func(p *Plan) { p.Selector = Selector{} }, "selector"},
		{"all of a zone", func(p *Plan) { p.Selector.Zone = "z" }, "selector"},
		{"a type in a zone", func(p *Plan) { p.Selector = Selector{Type: "t", Zone: "z"} }, ""},
		{"the most names", func(p *Plan) { p.Selector = Selector{Machines: make([]string, maxNames)} }, ""},
		{"too many names", func(p *Plan) { p.Selector = Selector{Machines: make([]string, maxNames+1)} }, "machines"},
		{"no machine at once", func(p *Plan) { p.MaxAtOnce = 0 }, "max_at_once"},
		{"too many machines at once", func(p *Plan) { p.MaxAtOnce = maxMachines + 1 }, "max_at_once"},
		{"a negative surge", func(p *Plan) { p.Surge = -1 }, "surge"},
		{"a negative deadline", func(p *Plan) { p.Deadline = -time.Second }, "deadline"},
		{"the latest deadline", func(p *Plan) { p.Deadline = maxDeadline }, ""},
		{"a deadline that is too late", func(p *Plan) { p.Deadline = maxDeadline + 1 }, "deadline"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := Plan{ID: "p", Selector: Selector{All: true}, MaxAtOnce: 1}
			c.change(&p)
			err := p.Check()
			switch {
			case c.field == "" && err != nil:
				t.Errorf("the plan is rejected: %v", err)
			case c.field != "" && (!errors.Is(err, ErrBadPlan) || !strings.HasPrefix(err.Error(), "bad plan: "+c.field+": ")):
				t.Errorf("error %v, expected one that names field %s", err, c.field)
			}
		})
	}
}
