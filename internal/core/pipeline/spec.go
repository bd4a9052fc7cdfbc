package pipeline

import (
	"regexp"
	"time"
)

// Shape is the kind of a job.
type Shape uint8

// Shapes of jobs.
const (
	Array   Shape = iota // independent tasks
	Gang                 // all tasks at once or none
	Service              // replicas that run until cancelled
)

// Priority orders jobs; a smaller one goes first.
type Priority uint8

// Priorities, the most urgent first.
const (
	Production Priority = iota
	High
	Normal
	Low
)

// Spec is the description of a submitted job; it never changes.
type Spec struct {
	Ref                string        `cbor:"ref"`
	Class              string        `cbor:"cl"`
	Team               string        `cbor:"tm"`
	Shape              Shape         `cbor:"sh"`
	Priority           Priority      `cbor:"pr"`
	Tasks              int           `cbor:"n"`
	CPUs               float64       `cbor:"c"`
	GPUs               float64       `cbor:"g"`
	MemGB              float64       `cbor:"m"`
	Image              string        `cbor:"im"`
	ImageGB            float64       `cbor:"ig"`
	Types              []string      `cbor:"ty"` // nil: any
	Zone               string        `cbor:"zo,omitempty"`
	OneZone            bool          `cbor:"oz,omitempty"`
	Spread             bool          `cbor:"sp,omitempty"`
	Spot               bool          `cbor:"so,omitempty"`
	Estimate           time.Duration `cbor:"es"`
	CheckpointInterval time.Duration `cbor:"ck,omitempty"`
	CheckpointTime     time.Duration `cbor:"sv,omitempty"`
	Deadline           time.Duration `cbor:"dl,omitempty"`
}

// AllowsType tells whether the job may run on a machine type.
func (s *Spec) AllowsType(t string) bool {
	if s.Types == nil {
		return true
	}
	for _, x := range s.Types {
		if x == t {
			return true
		}
	}
	return false
}

var refForm = regexp.MustCompile(`^j-[0-9]{1,32}$`)

// ValidRef tells whether a text has the form of a job's reference.
func ValidRef(s string) bool { return refForm.MatchString(s) }
