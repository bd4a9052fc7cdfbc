package wire

// This file mirrors the users' interface (PROTOCOL: Users -> controller nodes).

import (
	"math"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
)

// Paths of the users' interface. The path of a job is RunsPath, a slash and the job's ref.
const (
	RunsPath     = "/v2/runs"
	CancelSuffix = "/withdraw" // follows the path of a job
)

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

// submission is the body of POST /v2/runs. Its fields are pointers to distinguish an absent field
// from a zero value.
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

// Upper bounds of a submission's fields: of amounts and durations in seconds, and of texts in bytes.
// maxAmount keeps sums of amounts, and the conversion of seconds to time.Duration, from overflowing or
// losing precision that matters.
const (
	maxAmount = 1e8
	maxText   = 200
)

// shapes maps the protocol's words to the shapes of jobs.
var shapes = map[string]pipeline.Shape{"sweep": pipeline.Array, "ensemble": pipeline.Gang, "service": pipeline.Service}

// priorities maps the protocol's words to priorities.
var priorities = map[string]pipeline.Priority{
	"production": pipeline.Production, "urgent": pipeline.High, "normal": pipeline.Normal, "idle": pipeline.Low,
}

// ParseSubmission decodes and validates a submission. It returns the job's spec, and the refs of the
// jobs that have to be done before it, each once. Every error wraps codec.ErrMalformed.
func ParseSubmission(body []byte) (spec pipeline.Spec, dependencies []string, err error) {
	var message submission
	if err := unmarshalMap(body, &message); err != nil {
		return pipeline.Spec{}, nil, err
	}
	var fields fieldReader
	fields.identity(&spec, &message)
	fields.resources(&spec, &message)
	fields.placement(&spec, &message)
	fields.times(&spec, &message)
	dependencies, err = parseDependencies(message.Awaits)
	fields.note(err)
	if fields.err != nil {
		return pipeline.Spec{}, nil, fields.err
	}
	return spec, dependencies, nil
}

// fieldReader reads the fields of a submission and keeps the first error, so that callers needn't
// check for an error after each field.
type fieldReader struct{ err error }

// note keeps an error if it is the first.
func (f *fieldReader) note(err error) {
	if f.err == nil {
		f.err = err
	}
}

// identity reads the job's ref, class, team, image, shape and priority.
func (f *fieldReader) identity(spec *pipeline.Spec, message *submission) {
	spec.Ref = f.text("ref", message.Ref)
	if spec.Ref != "" && !pipeline.ValidRef(spec.Ref) {
		f.note(malformed("ref has not the form of a job id"))
	}
	spec.Class = f.text("lot_kind", message.Class)
	spec.Team = f.text("owner", message.Team)
	spec.Image = f.text("kit", message.Kit)
	var known bool
	if spec.Shape, known = shapes[f.text("shape", message.Shape)]; !known {
		f.note(malformed("shape is unknown"))
	}
	if spec.Priority, known = priorities[f.text("urgency", message.Urgency)]; !known {
		f.note(malformed("urgency is unknown"))
	}
}

// resources reads the number of tasks, the resources that each of them takes, and the image's size.
func (f *fieldReader) resources(spec *pipeline.Spec, message *submission) {
	if message.Lots == nil || *message.Lots == 0 || *message.Lots > MaxTasks {
		f.note(malformed("lots is missing or out of range"))
	} else {
		spec.Tasks = int(*message.Lots)
	}
	spec.CPUs = f.amount("vcpus", message.VCPUs)
	spec.GPUs = f.amount("cards", message.Cards)
	spec.MemGB = f.amount("mem_gb", message.MemGB)
	spec.ImageGB = f.amount("pull_gb", message.PullGB)
}

// placement reads the constraints on the machine types and zones that the tasks may run in, and whether
// they may run on spot instances.
func (f *fieldReader) placement(spec *pipeline.Spec, message *submission) {
	for _, build := range message.Builds {
		spec.Types = append(spec.Types, f.text("builds", build))
	}
	if message.Builds != nil && len(message.Builds) == 0 {
		spec.Types = []string{} // allows no type, whereas nil allows all
	}
	if message.Yard != nil {
		spec.Zone = f.text("yard", message.Yard)
	}
	spec.OneZone = f.flag("one_zone", message.OneZone)
	spec.Spread = f.flag("apart", message.Apart)
	spec.Spot = f.flag("loaners", message.Loaners)
}

// times reads the estimated run time, the interval and duration of checkpoints, and the deadline.
func (f *fieldReader) times(spec *pipeline.Spec, message *submission) {
	spec.Estimate = f.duration("guess_s", message.GuessS)
	spec.CheckpointInterval = f.duration("mark_s", message.MarkS)
	spec.CheckpointTime = f.duration("stash_s", message.StashS)
	if message.DueS != nil {
		spec.Deadline = f.duration("due_s", message.DueS)
	}
}

// present reports whether a field is present, and notes an error if it isn't.
func present[T any](f *fieldReader, name string, field *T) bool {
	if field == nil {
		f.note(malformed("%s is missing", name))
	}
	return field != nil
}

// text returns a field that has to be a text of 1 to maxText bytes; empty after an error.
func (f *fieldReader) text(name string, field *string) string {
	if !present(f, name, field) {
		return ""
	}
	if *field == "" || len(*field) > maxText {
		f.note(malformed("%s is empty or too long", name))
		return ""
	}
	return *field
}

// amount returns a field that has to be a number from 0 to maxAmount; 0 after an error.
func (f *fieldReader) amount(name string, field *float64) float64 {
	if !present(f, name, field) {
		return 0
	}
	if math.IsNaN(*field) || *field < 0 || *field > maxAmount {
		f.note(malformed("%s out of range", name))
		return 0
	}
	return *field
}

func (f *fieldReader) flag(name string, field *bool) bool {
	return present(f, name, field) && *field
}

// duration returns a field that has to be a number of seconds from 0 to maxAmount; 0 after an error.
func (f *fieldReader) duration(name string, field *float64) time.Duration {
	return time.Duration(f.amount(name, field) * float64(time.Second))
}

// parseDependencies returns the refs of the jobs that have to be done first, without duplicates.
func parseDependencies(value codec.RawMessage) ([]string, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var refs []*string
	if err := codec.Unmarshal(value, &refs); err != nil {
		return nil, malformed("awaits is no list of job ids")
	}
	var out []string
	seen := make(map[string]bool, len(refs))
	for _, ref := range refs {
		if ref == nil {
			return nil, malformed("awaits is no list of job ids")
		}
		if !seen[*ref] {
			seen[*ref] = true
			out = append(out, *ref)
		}
	}
	return out, nil
}

// Statuses of a job, in the protocol's words.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "aborted"
)

// RunState is the body of the responses to an accepted submission and to GET /v2/runs/{id}: a job's
// status and how many of its tasks are done and running.
type RunState struct {
	Ref     string `cbor:"ref"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// StatusOf returns the status of a job in the given phase with the given number of running tasks.
func StatusOf(phase pipeline.Phase, running int) string {
	switch phase {
	case pipeline.Done:
		return StatusDone
	case pipeline.Cancelled:
		return StatusCancelled
	}
	if running > 0 {
		return StatusRunning
	}
	return StatusQueued
}

// RunStateOf returns the RunState of a job in the given phase with the given numbers of done and
// running tasks.
func RunStateOf(ref string, phase pipeline.Phase, done, running int) RunState {
	return RunState{Ref: ref, Status: StatusOf(phase, running), Done: done, Running: running}
}

// CancelResult is the body of the response to POST /v2/runs/{id}/withdraw.
type CancelResult struct {
	Ref    string `cbor:"ref"`
	Status string `cbor:"status"`
}

// OverloadRefusal is the body of the response to a submission that is refused under overload.
type OverloadRefusal struct {
	Error       string  `cbor:"error"`
	RetryAfterS float64 `cbor:"retry_after_s"`
}
