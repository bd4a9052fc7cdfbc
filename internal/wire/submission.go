package wire

import (
	"fmt"
	"math"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// submission mirrors the body of POST /v2/runs; pointers tell absent from zero.
type submission struct {
	Ref     *string          `cbor:"ref"`
	Class   *string          `cbor:"lot_kind"`
	Team    *string          `cbor:"owner"`
	Shape   *string          `cbor:"shape"`
	Urgency *string          `cbor:"urgency"`
	Lots    *uint64          `cbor:"lots"`
	VCPUs   *float64         `cbor:"vcpus"`
	Cards   *float64         `cbor:"cards"`
	MemGB   *float64         `cbor:"mem_gb"`
	Kit     *string          `cbor:"kit"`
	PullGB  *float64         `cbor:"pull_gb"`
	Builds  []*string        `cbor:"builds"`
	Yard    *string          `cbor:"yard"`
	OneZone *bool            `cbor:"one_zone"`
	Apart   *bool            `cbor:"apart"`
	Loaners *bool            `cbor:"loaners"`
	GuessS  *float64         `cbor:"guess_s"`
	MarkS   *float64         `cbor:"mark_s"`
	StashS  *float64         `cbor:"stash_s"`
	DueS    *float64         `cbor:"due_s"`
	Awaits  codec.RawMessage `cbor:"awaits"`
}

// Bounds of a submission's fields. Amounts and durations are bounded so that sums and
// conversions to time.Duration stay exact enough.
const (
	maxAmount = 1e8
	maxText   = 200
)

// shapes are the users' words for the shapes of jobs.
var shapes = map[string]pipeline.Shape{"sweep": pipeline.Array, "ensemble": pipeline.Gang, "service": pipeline.Service}

// priorities are the users' words for priorities.
var priorities = map[string]pipeline.Priority{
	"production": pipeline.Production, "urgent": pipeline.High, "normal": pipeline.Normal, "idle": pipeline.Low,
}

// ParseSubmission decodes and checks a submitted job, and which jobs have to be done
// before it. Every error is a codec.ErrMalformed.
func ParseSubmission(body []byte) (pipeline.Spec, []string, error) {
	if len(body) > MaxBody || !codec.IsMap(body) {
		return pipeline.Spec{}, nil, fmt.Errorf("%w: not a map within the size limit", codec.ErrMalformed)
	}
	var message submission
	if err := codec.Unmarshal(body, &message); err != nil {
		return pipeline.Spec{}, nil, err
	}
	var fields fieldReader
	var spec pipeline.Spec
	fields.identity(&spec, &message)
	fields.resources(&spec, &message)
	fields.placement(&spec, &message)
	fields.times(&spec, &message)
	dependencies, err := parseDependencies(message.Awaits)
	fields.note(err)
	if fields.err != nil {
		return pipeline.Spec{}, nil, fields.err
	}
	return spec, dependencies, nil
}

// fieldReader reads the fields of a submission, and keeps the first error.
type fieldReader struct{ err error }

func (f *fieldReader) note(err error) {
	if f.err == nil {
		f.err = err
	}
}

// identity reads what the job is called and of which kind it is.
func (f *fieldReader) identity(spec *pipeline.Spec, message *submission) {
	spec.Ref = f.text("ref", message.Ref)
	if spec.Ref != "" && !pipeline.ValidRef(spec.Ref) {
		f.note(fmt.Errorf("%w: ref has not the form of a job id", codec.ErrMalformed))
	}
	spec.Class = f.text("lot_kind", message.Class)
	spec.Team = f.text("owner", message.Team)
	spec.Image = f.text("kit", message.Kit)
	var known bool
	if spec.Shape, known = shapes[f.text("shape", message.Shape)]; !known {
		f.note(fmt.Errorf("%w: shape is unknown", codec.ErrMalformed))
	}
	if spec.Priority, known = priorities[f.text("urgency", message.Urgency)]; !known {
		f.note(fmt.Errorf("%w: urgency is unknown", codec.ErrMalformed))
	}
}

// resources reads how many tasks there are, and what each of them takes.
func (f *fieldReader) resources(spec *pipeline.Spec, message *submission) {
	if message.Lots == nil || *message.Lots == 0 || *message.Lots > MaxTasks {
		f.note(fmt.Errorf("%w: lots is missing or out of range", codec.ErrMalformed))
	} else {
		spec.Tasks = int(*message.Lots)
	}
	spec.CPUs = f.amount("vcpus", message.VCPUs)
	spec.GPUs = f.amount("cards", message.Cards)
	spec.MemGB = f.amount("mem_gb", message.MemGB)
	spec.ImageGB = f.amount("pull_gb", message.PullGB)
}

// placement reads where the tasks may run.
func (f *fieldReader) placement(spec *pipeline.Spec, message *submission) {
	for _, build := range message.Builds {
		spec.Types = append(spec.Types, f.text("builds", build))
	}
	if message.Builds != nil && len(message.Builds) == 0 {
		spec.Types = []string{} // none is allowed, while nil allows all
	}
	if message.Yard != nil {
		spec.Zone = f.text("yard", message.Yard)
	}
	spec.OneZone = f.flag("one_zone", message.OneZone)
	spec.Spread = f.flag("apart", message.Apart)
	spec.Spot = f.flag("loaners", message.Loaners)
}

// times reads how long the tasks run, and when they have to be done.
func (f *fieldReader) times(spec *pipeline.Spec, message *submission) {
	spec.Estimate = f.duration("guess_s", message.GuessS)
	spec.CheckpointInterval = f.duration("mark_s", message.MarkS)
	spec.CheckpointTime = f.duration("stash_s", message.StashS)
	if message.DueS != nil {
		spec.Deadline = f.duration("due_s", message.DueS)
	}
}

// present notes an error if a field is missing.
func present[T any](f *fieldReader, name string, field *T) bool {
	if field == nil {
		f.note(fmt.Errorf("%w: %s is missing", codec.ErrMalformed, name))
	}
	return field != nil
}

func (f *fieldReader) text(name string, field *string) string {
	if !present(f, name, field) {
		return ""
	}
	if *field == "" || len(*field) > maxText {
		f.note(fmt.Errorf("%w: %s is empty or too long", codec.ErrMalformed, name))
		return ""
	}
	return *field
}

func (f *fieldReader) amount(name string, field *float64) float64 {
	if !present(f, name, field) {
		return 0
	}
	if math.IsNaN(*field) || *field < 0 || *field > maxAmount {
		f.note(fmt.Errorf("%w: %s out of range", codec.ErrMalformed, name))
		return 0
	}
	return *field
}

func (f *fieldReader) flag(name string, field *bool) bool {
	return present(f, name, field) && *field
}

func (f *fieldReader) duration(name string, field *float64) time.Duration {
	return time.Duration(f.amount(name, field) * float64(time.Second))
}

// parseDependencies reads the list of jobs that have to be done first, each named once.
func parseDependencies(value codec.RawMessage) ([]string, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var refs []*string
	if err := codec.Unmarshal(value, &refs); err != nil {
		return nil, fmt.Errorf("%w: awaits is no list of job ids", codec.ErrMalformed)
	}
	var out []string
	seen := make(map[string]bool, len(refs))
	for _, ref := range refs {
		if ref == nil {
			return nil, fmt.Errorf("%w: awaits is no list of job ids", codec.ErrMalformed)
		}
		if !seen[*ref] {
			seen[*ref] = true
			out = append(out, *ref)
		}
	}
	return out, nil
}
