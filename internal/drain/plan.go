package drain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Phase says where a plan is in its life.
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

// Final reports whether a plan in this phase is over.
func (p Phase) Final() bool { return p >= Completed }

// phaseChanges lists the phases that may follow each phase.
var phaseChanges = map[Phase][]Phase{
	Running: {Paused, Completed, Cancelled, Expired},
	Paused:  {Running, Cancelled, Expired},
	Expired: {Cancelled}, // which uncordons what was left
}

// Selector says which machines a plan applies to: those that fit all fields that are set.
type Selector struct {
	Machines []string `cbor:"m,omitempty" json:"machines,omitempty"`
	Type     string   `cbor:"t,omitempty" json:"type,omitempty"`
	Zone     string   `cbor:"z,omitempty" json:"zone,omitempty"`
	All      bool     `cbor:"a,omitempty" json:"all,omitempty"`
}

// Plan is an operators' request to empty machines and scale them in. Any controller may write a new
// one; the leader carries it out.
type Plan struct {
	// ID is chosen by the client, so that a repeated request changes nothing.
	ID       string   `cbor:"id" json:"id"`
	Selector Selector `cbor:"s" json:"selector"`
	// MaxAtOnce limits how many machines are cordoned at a time.
	MaxAtOnce int `cbor:"n" json:"max_at_once"`
	// Surge limits how many replacements are created ahead at a time.
	Surge     int   `cbor:"su" json:"surge"`
	CreatedMS int64 `cbor:"at" json:"created_ms"`
	// Deadline is the time from the plan's creation after which it expires; 0: it doesn't.
	Deadline time.Duration `cbor:"dl,omitempty" json:"deadline,omitempty"`
	// KeepCordoned says that machines which aren't empty at the deadline stay cordoned.
	KeepCordoned bool  `cbor:"k,omitempty" json:"keep_cordoned,omitempty"`
	Phase        Phase `cbor:"p" json:"phase"`
	// Through is the last machine by name that the plan applies to. Machines that came later are
	// replacements. The leader sets it when it takes the plan in; until then it is empty.
	Through string `cbor:"th,omitempty" json:"through,omitempty"`
}

// Bounds of a plan.
const (
	maxIDBytes  = 60
	maxNames    = 100 // so that the plan fits the smallest value that the state service may allow
	maxDeadline = 90 * 24 * time.Hour
	maxMachines = 1_000_000 // more than any deployment has
)

// ErrBadPlan is wrapped by the errors of Plan.Check.
var ErrBadPlan = errors.New("bad plan")

// Check returns an error that says what is wrong with a new plan. It wraps ErrBadPlan.
func (p *Plan) Check() error {
	s := &p.Selector
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || strings.ContainsFunc(p.ID, isForbiddenInID):
		return fmt.Errorf("%w: id: 1 to %d letters, digits, '-', '_' or '.'", ErrBadPlan, maxIDBytes)
	case !s.All && len(s.Machines) == 0 && s.Type == "" && s.Zone == "":
		return fmt.Errorf("%w: selector: machines, a type, a zone or all", ErrBadPlan)
	case s.All && (len(s.Machines) > 0 || s.Type != "" || s.Zone != ""):
		return fmt.Errorf("%w: selector: all goes with nothing else", ErrBadPlan)
	case len(s.Machines) > maxNames:
		return fmt.Errorf("%w: machines: %d names at the most; a type, a zone or all has no bound", ErrBadPlan, maxNames)
	case p.MaxAtOnce < 1 || p.MaxAtOnce > maxMachines:
		return fmt.Errorf("%w: max_at_once: 1 or more", ErrBadPlan)
	case p.Surge < 0 || p.Surge > maxMachines:
		return fmt.Errorf("%w: surge: 0 or more", ErrBadPlan)
	case p.Deadline < 0 || p.Deadline > maxDeadline:
		return fmt.Errorf("%w: deadline: up to %s", ErrBadPlan, maxDeadline)
	}
	return nil
}

func isForbiddenInID(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}

// MoveTo changes the plan's phase, unless the present phase doesn't allow that; then it returns
// false. No other function changes it.
func (p *Plan) MoveTo(to Phase) bool {
	if !slices.Contains(phaseChanges[p.Phase], to) {
		return false
	}
	p.Phase = to
	return true
}

// SameRequest reports whether two plans request the same. A repeated request with the same ID has to.
func (p *Plan) SameRequest(o *Plan) bool {
	return p.Selector.same(&o.Selector) && p.MaxAtOnce == o.MaxAtOnce && p.Surge == o.Surge &&
		p.Deadline == o.Deadline && p.KeepCordoned == o.KeepCordoned
}

func (s *Selector) same(o *Selector) bool {
	return slices.Equal(s.Machines, o.Machines) && s.Type == o.Type && s.Zone == o.Zone && s.All == o.All
}

// DeadlineAt returns the moment of the plan's deadline; zero if it has none.
func (p *Plan) DeadlineAt() time.Time {
	if p.Deadline == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.CreatedMS).Add(p.Deadline)
}

// MachineID is what a selector knows of a machine.
type MachineID struct{ Name, Type, Zone string }

// Selects reports whether the plan applies to a machine.
func (p *Plan) Selects(m MachineID) bool { return m.Name <= p.Through && p.Selector.fits(m) }

func (s *Selector) fits(m MachineID) bool {
	return (len(s.Machines) == 0 || slices.Contains(s.Machines, m.Name)) &&
		(s.Type == "" || s.Type == m.Type) &&
		(s.Zone == "" || s.Zone == m.Zone)
}
