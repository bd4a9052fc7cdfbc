package pipeline

import (
	"regexp"
	"slices"
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

// Priority orders jobs: those with a smaller value go first.
type Priority uint8

// Priorities, the most urgent first.
const (
	Production Priority = iota
	High
	Normal
	Low
)

// Spec is what a user has submitted; it never changes.
type Spec struct {
	Ref                string        `cbor:"ref"`
	Class              string        `cbor:"cl"`
	Team               string        `cbor:"tm"`
	Shape              Shape         `cbor:"sh"`
	Priority           Priority      `cbor:"pr"`
	Tasks              int           `cbor:"n"`
	CPUs               float64       `cbor:"c"` // of a task, as are GPUs and MemGB
	GPUs               float64       `cbor:"g"`
	MemGB              float64       `cbor:"m"`
	Image              string        `cbor:"im"`
	ImageGB            float64       `cbor:"ig"`
	Types              []string      `cbor:"ty"`           // machine types that it may run on; nil: any
	Zone               string        `cbor:"zo,omitempty"` // that it has to run in; empty: any
	OneZone            bool          `cbor:"oz,omitempty"` // all tasks have to run in the same zone
	Spread             bool          `cbor:"sp,omitempty"` // no zone may have more than half of the tasks, rounded up
	Spot               bool          `cbor:"so,omitempty"` // may run on spot instances
	Estimate           time.Duration `cbor:"es"`           // how long a task runs
	CheckpointInterval time.Duration `cbor:"ck,omitempty"` // 0: tasks don't save their progress
	CheckpointTime     time.Duration `cbor:"sv,omitempty"` // how long saving takes
	Deadline           time.Duration `cbor:"dl,omitempty"` // from the submission; 0: none
}

// AllowsType reports whether the job may run on a machine type.
func (s *Spec) AllowsType(machineType string) bool {
	return s.Types == nil || slices.Contains(s.Types, machineType)
}

var refForm = regexp.MustCompile(`^j-[0-9]{1,32}$`)

// ValidRef reports whether a text has the form of a job's reference.
func ValidRef(s string) bool { return refForm.MatchString(s) }
