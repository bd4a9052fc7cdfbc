package drain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Phase is the stage of a plan's life cycle.
type Phase uint8

// Phases of a plan. In the last three it is over; an expired plan can still be cancelled.
const (
	Running Phase = iota
	Paused
	Completed
	Cancelled
	Expired // its deadline has passed
)

var phaseNames = [...]string{"running", "paused", "completed", "cancelled", "expired"}

// String returns the phase's name as shown to operators.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether a plan in this phase is over.
func (p Phase) Final() bool { return p >= Completed }

// phaseTransitions lists, for each phase, the phases that may follow it.
var phaseTransitions = map[Phase][]Phase{
	Running: {Paused, Completed, Cancelled, Expired},
	Paused:  {Running, Cancelled, Expired},
	Expired: {Cancelled}, // which uncordons machines that stayed cordoned
}

// Selector says which machines a plan applies to: those that match all fields that are set.
type Selector struct {
	Machines []string `cbor:"m,omitempty" json:"machines,omitempty"`
	Type     string   `cbor:"t,omitempty" json:"type,omitempty"`
	Zone     string   `cbor:"z,omitempty" json:"zone,omitempty"`
	All      bool     `cbor:"a,omitempty" json:"all,omitempty"`
}

// Plan is an operator's request to empty machines and scale them in. Any controller may write a new
// one; the leader carries it out.
type Plan struct {
	// ID is chosen by the client, so that a repeated request changes nothing.
	ID       string   `cbor:"id" json:"id"`
	Selector Selector `cbor:"s" json:"selector"`
	// MaxAtOnce limits how many machines are being drained at a time.
	MaxAtOnce int `cbor:"n" json:"max_at_once"`
	// Surge limits how many replacements are created at a time before the machines that they
	// replace are empty.
	Surge     int   `cbor:"su" json:"surge"`
	CreatedMS int64 `cbor:"at" json:"created_ms"`
	// Deadline is how long after its creation the plan expires; 0: it doesn't expire.
	Deadline time.Duration `cbor:"dl,omitempty" json:"deadline,omitempty"`
	// KeepCordoned says that machines that aren't empty at the deadline stay cordoned.
	KeepCordoned bool  `cbor:"k,omitempty" json:"keep_cordoned,omitempty"`
	Phase        Phase `cbor:"p" json:"phase"`
	// Through is the last machine by name that the plan applies to. Machines with later names were
	// created after the plan, for example as replacements. The leader sets Through once it knows
	// all machines; until then it is empty and the plan applies to none.
	Through string `cbor:"th,omitempty" json:"through,omitempty"`
}

// Bounds of a plan's fields.
const (
	maxIDBytes  = 60
	maxNames    = 100 // keeps the plan within the smallest value limit that a state service may have
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

// MoveTo changes the plan's phase, or returns false if the present phase doesn't allow that. The
// phase of an existing plan is changed in no other way.
func (p *Plan) MoveTo(to Phase) bool {
	if !slices.Contains(phaseTransitions[p.Phase], to) {
		return false
	}
	p.Phase = to
	return true
}

// SameRequest reports whether two plans request the same, whatever their IDs and progress. A request
// with the ID of an existing plan is a repetition if it does, and else an error.
func (p *Plan) SameRequest(o *Plan) bool {
	return p.Selector.equal(&o.Selector) && p.MaxAtOnce == o.MaxAtOnce && p.Surge == o.Surge &&
		p.Deadline == o.Deadline && p.KeepCordoned == o.KeepCordoned
}

func (s *Selector) equal(o *Selector) bool {
	return slices.Equal(s.Machines, o.Machines) && s.Type == o.Type && s.Zone == o.Zone && s.All == o.All
}

// DeadlineAt returns the time of the plan's deadline, or the zero time if it has none.
func (p *Plan) DeadlineAt() time.Time {
	if p.Deadline == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.CreatedMS).Add(p.Deadline)
}

// MachineInfo holds the name of a machine and the attributes by which plans select it.
type MachineInfo struct{ Name, Type, Zone string }

// Selects reports whether the plan applies to a machine.
func (p *Plan) Selects(m MachineInfo) bool { return m.Name <= p.Through && p.Selector.matches(m) }

func (s *Selector) matches(m MachineInfo) bool {
	return (len(s.Machines) == 0 || slices.Contains(s.Machines, m.Name)) &&
		(s.Type == "" || s.Type == m.Type) &&
		(s.Zone == "" || s.Zone == m.Zone)
}
