package drain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Phase is where a plan is in its life.
type Phase uint8

// Phases of a plan. The last three are final.
const (
	Running Phase = iota
	Paused
	Completed
	Cancelled
	Expired // its deadline has passed
)

var phaseNames = [...]string{"running", "paused", "completed", "cancelled", "expired"}

// String returns the phase's name, as operators see it.
func (p Phase) String() string { return phaseNames[p] }

// Final tells whether a plan in this phase does nothing any more.
func (p Phase) Final() bool { return p >= Completed }

// phaseChanges are the phases that may follow each phase.
var phaseChanges = map[Phase][]Phase{
	Running: {Paused, Completed, Cancelled, Expired},
	Paused:  {Running, Cancelled, Expired},
	Expired: {Cancelled}, // which uncordons what was left
}

// Selector says which machines a plan is about. All that is set has to fit.
type Selector struct {
	Machines []string `cbor:"m,omitempty" json:"machines,omitempty"`
	Type     string   `cbor:"t,omitempty" json:"type,omitempty"`
	Zone     string   `cbor:"z,omitempty" json:"zone,omitempty"`
	All      bool     `cbor:"a,omitempty" json:"all,omitempty"`
}

// Plan is an operators' request to empty and release machines. Any controller writes it; the
// leader carries it out.
type Plan struct {
	ID           string        `cbor:"id" json:"id"` // chosen by who asks: a repeat changes nothing
	Selector     Selector      `cbor:"s" json:"selector"`
	MaxAtOnce    int           `cbor:"n" json:"max_at_once"` // machines cordoned at a time
	Surge        int           `cbor:"su" json:"surge"`      // replacements that may be rented ahead at a time
	CreatedMS    int64         `cbor:"at" json:"created_ms"`
	Deadline     time.Duration `cbor:"dl,omitempty" json:"deadline,omitempty"`     // from its creation; 0: none
	KeepCordoned bool          `cbor:"k,omitempty" json:"keep_cordoned,omitempty"` // at the deadline; else what is left is uncordoned
	Phase        Phase         `cbor:"p" json:"phase"`
	// Through is the last machine that the plan is about: those that came later are
	// replacements. The leader sets it when it takes the plan in; empty until then.
	Through string `cbor:"th,omitempty" json:"through,omitempty"`
}

// Bounds of a plan.
const (
	maxIDBytes   = 60
	maxNames     = 100 // that fit the smallest value beside the rest
	maxDeadline  = 90 * 24 * time.Hour
	maxSelection = 1_000_000
)

// ErrBadPlan says that a plan can't be carried out as it is.
var ErrBadPlan = errors.New("bad plan")

// Check tells what is wrong with a new plan.
func (p *Plan) Check() error {
	s := &p.Selector
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || strings.ContainsFunc(p.ID, notInID):
		return fmt.Errorf("%w: id: 1 to %d letters, digits, '-', '_' or '.'", ErrBadPlan, maxIDBytes)
	case !s.All && len(s.Machines) == 0 && s.Type == "" && s.Zone == "":
		return fmt.Errorf("%w: selector: machines, a type, a zone or all", ErrBadPlan)
	case s.All && (len(s.Machines) > 0 || s.Type != "" || s.Zone != ""):
		return fmt.Errorf("%w: selector: all goes with nothing else", ErrBadPlan)
	case len(s.Machines) > maxNames:
		return fmt.Errorf("%w: machines: %d names at the most; a type, a zone or all has no bound", ErrBadPlan, maxNames)
	case p.MaxAtOnce < 1 || p.MaxAtOnce > maxSelection:
		return fmt.Errorf("%w: max_at_once: 1 or more", ErrBadPlan)
	case p.Surge < 0 || p.Surge > maxSelection:
		return fmt.Errorf("%w: surge: 0 or more", ErrBadPlan)
	case p.Deadline < 0 || p.Deadline > maxDeadline:
		return fmt.Errorf("%w: deadline: up to %s", ErrBadPlan, maxDeadline)
	}
	return nil
}

func notInID(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}

// MoveTo is the one place where a plan changes phase; it returns false if nothing changes.
func (p *Plan) MoveTo(to Phase) bool {
	if !slices.Contains(phaseChanges[p.Phase], to) {
		return false
	}
	p.Phase = to
	return true
}

// Same tells whether two plans ask for the same.
func (p *Plan) Same(o *Plan) bool {
	return slices.Equal(p.Selector.Machines, o.Selector.Machines) && p.Selector.Type == o.Selector.Type &&
		p.Selector.Zone == o.Selector.Zone && p.Selector.All == o.Selector.All && p.MaxAtOnce == o.MaxAtOnce &&
		p.Surge == o.Surge && p.Deadline == o.Deadline && p.KeepCordoned == o.KeepCordoned
}

// End is the plan's deadline; zero if it has none.
func (p *Plan) End() time.Time {
	if p.Deadline == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.CreatedMS).Add(p.Deadline)
}

// MachineID is what a selector goes by.
type MachineID struct{ Name, Type, Zone string }

// Selects tells whether a plan is about a machine.
func (p *Plan) Selects(m MachineID) bool {
	s := &p.Selector
	if m.Name > p.Through {
		return false
	}
	return (len(s.Machines) == 0 || slices.Contains(s.Machines, m.Name)) && (s.Type == "" || s.Type == m.Type) && (s.Zone == "" || s.Zone == m.Zone)
}
