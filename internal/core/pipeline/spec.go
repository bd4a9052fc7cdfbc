package pipeline

import (
	"regexp"
	"slices"
	"time"
)

// Shape says how the tasks of a job belong together.
type Shape uint8

// Shapes of jobs.
const (
	Array   Shape = iota // independent tasks
	Gang                 // tasks that run all at the same time or not at all
	Service              // replicas that run until the job is cancelled
)

// Priority orders jobs: those with a smaller value are more urgent.
type Priority uint8

// Priorities, the most urgent first.
const (
	Production Priority = iota
	High
	Normal
	Low
)

// Spec describes a job as its user has submitted it. It never changes.
type Spec struct {
	Ref                string        `cbor:"ref"`
	Class              string        `cbor:"cl"`
	Team               string        `cbor:"tm"`
	Shape              Shape         `cbor:"sh"`
	Priority           Priority      `cbor:"pr"`
	Tasks              int           `cbor:"n"`
	CPUs               float64       `cbor:"c"` // per task, as are GPUs and MemGB
	GPUs               float64       `cbor:"g"`
	MemGB              float64       `cbor:"m"`
	Image              string        `cbor:"im"`
	ImageGB            float64       `cbor:"ig"`
	Types              []string      `cbor:"ty"`           // machine types that it may run on; nil: any
	Zone               string        `cbor:"zo,omitempty"` // in which it has to run; empty: any
	OneZone            bool          `cbor:"oz,omitempty"` // all tasks have to run in the same zone
	Spread             bool          `cbor:"sp,omitempty"` // no zone may have more than half of the tasks, rounded up
	Spot               bool          `cbor:"so,omitempty"` // may run on spot instances
	Estimate           time.Duration `cbor:"es"`           // expected run time of a task
	CheckpointInterval time.Duration `cbor:"ck,omitempty"` // 0: tasks don't save their progress
	CheckpointTime     time.Duration `cbor:"sv,omitempty"` // how long a checkpoint takes
	Deadline           time.Duration `cbor:"dl,omitempty"` // from the submission; 0: none
}

// AllowsType reports whether the job may run on a machine type.
func (s *Spec) AllowsType(machineType string) bool {
	return s.Types == nil || slices.Contains(s.Types, machineType)
}

var refForm = regexp.MustCompile(`^j-[0-9]{1,32}$`)

// ValidRef reports whether a text has the form of a job's reference.
func ValidRef(s string) bool { return refForm.MatchString(s) }
