package wire

// This file mirrors the users' interface (PROTOCOL: Users -> controller nodes).

import (
	"math"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
)

// Paths of the users' interface. A job's own path is RunsPath, a slash and the job's name.
const (
	RunsPath     = "/v2/runs"
	CancelSuffix = "/withdraw" // after a job's path
)

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

// submission is the body of POST /v2/runs. Its fields are pointers to tell an absent field from a zero.
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

// Bounds of a submission's fields. Amounts and durations in seconds are bounded so that sums of them, and
// their conversion to time.Duration, don't overflow or lose precision that matters.
const (
	maxAmount = 1e8
	maxText   = 200
)

// shapes are the protocol's words for the shapes of jobs.
var shapes = map[string]pipeline.Shape{"sweep": pipeline.Array, "ensemble": pipeline.Gang, "service": pipeline.Service}

// priorities are the protocol's words for priorities.
var priorities = map[string]pipeline.Priority{
	"production": pipeline.Production, "urgent": pipeline.High, "normal": pipeline.Normal, "idle": pipeline.Low,
}

// ParseSubmission decodes and checks a submission: the job, and the names of the jobs that have to be done
// before it. Every error is a codec.ErrMalformed.
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

// fieldReader reads the fields of a submission and keeps the first error, so that reading the fields needs no
// check after each of them.
type fieldReader struct{ err error }

func (f *fieldReader) note(err error) {
	if f.err == nil {
		f.err = err
	}
}

// identity reads the job's name, what it belongs to, and its shape and priority.
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

// resources reads the number of tasks and the resources that each of them takes.
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

// placement reads the constraints on the machines and zones of the tasks.
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

// times reads the estimated run time, the checkpoints and the deadline.
func (f *fieldReader) times(spec *pipeline.Spec, message *submission) {
	spec.Estimate = f.duration("guess_s", message.GuessS)
	spec.CheckpointInterval = f.duration("mark_s", message.MarkS)
	spec.CheckpointTime = f.duration("stash_s", message.StashS)
	if message.DueS != nil {
		spec.Deadline = f.duration("due_s", message.DueS)
	}
}

// present reports whether a field is there, and notes an error if it isn't.
func present[T any](f *fieldReader, name string, field *T) bool {
	if field == nil {
		f.note(malformed("%s is missing", name))
	}
	return field != nil
}

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

func (f *fieldReader) duration(name string, field *float64) time.Duration {
	return time.Duration(f.amount(name, field) * float64(time.Second))
}

// parseDependencies reads the names of the jobs that have to be done first, each once.
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

// RunState is the body of the answer to a submission that is accepted, and of GET /v2/runs/{id}.
type RunState struct {
	Ref     string `cbor:"ref"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// StatusOf is the status of a job in a phase, of whose tasks so many are running.
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

// RunStateOf is the RunState of a job, of whose tasks so many are done and running.
func RunStateOf(ref string, phase pipeline.Phase, done, running int) RunState {
	return RunState{Ref: ref, Status: StatusOf(phase, running), Done: done, Running: running}
}

// CancelResult is the body of the answer to POST /v2/runs/{id}/withdraw.
type CancelResult struct {
	Ref    string `cbor:"ref"`
	Status string `cbor:"status"`
}

// OverloadRefusal is the body of the answer to a submission that is refused under overload.
type OverloadRefusal struct {
	Error       string  `cbor:"error"`
	RetryAfterS float64 `cbor:"retry_after_s"`
}
