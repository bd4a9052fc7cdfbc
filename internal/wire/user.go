package wire

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"gingertally/internal/core/pipeline"
)

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

var refForm = regexp.MustCompile(`^j-[0-9]{1,32}$`)

// ValidRef tells whether s has the form of a job id.
func ValidRef(s string) bool { return refForm.MatchString(s) }

// submission mirrors the body of POST /v2/runs; pointers tell absent from zero.
type submission struct {
	Ref     *string   `cbor:"ref"`
	Class   *string   `cbor:"lot_kind"`
	Team    *string   `cbor:"owner"`
	Shape   *string   `cbor:"shape"`
	Urgency *string   `cbor:"urgency"`
	Lots    *uint64   `cbor:"lots"`
	VCPUs   *float64  `cbor:"vcpus"`
	Cards   *float64  `cbor:"cards"`
	MemGB   *float64  `cbor:"mem_gb"`
	Kit     *string   `cbor:"kit"`
	PullGB  *float64  `cbor:"pull_gb"`
	Builds  []*string `cbor:"builds"`
	Yard    *string   `cbor:"yard"`
	OneZone *bool     `cbor:"one_zone"`
	Apart   *bool     `cbor:"apart"`
	Loaners *bool     `cbor:"loaners"`
	GuessS  *float64  `cbor:"guess_s"`
	MarkS   *float64  `cbor:"mark_s"`
	StashS  *float64  `cbor:"stash_s"`
	DueS    *float64  `cbor:"due_s"`
	Awaits  Raw       `cbor:"awaits"`
}

// maxAmount bounds amounts and durations, so that sums and conversions to
// time.Duration stay exact enough.
const maxAmount = 1e8

func amount(name string, p *float64, positive bool) (float64, error) {
	if p == nil {
		return 0, fmt.Errorf("%w: %s is missing", ErrMalformed, name)
	}
	v := *p
	if math.IsNaN(v) || v < 0 || v > maxAmount || (positive && v == 0) {
		return 0, fmt.Errorf("%w: %s out of range", ErrMalformed, name)
	}
	return v, nil
}

func text(name string, p *string) (string, error) {
	if p == nil {
		return "", fmt.Errorf("%w: %s is missing", ErrMalformed, name)
	}
	if *p == "" || len(*p) > 200 {
		return "", fmt.Errorf("%w: %s is empty or too long", ErrMalformed, name)
	}
	return *p, nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

var shapes = map[string]pipeline.Shape{"sweep": pipeline.Array, "ensemble": pipeline.Gang, "service": pipeline.Service}

var priorities = map[string]pipeline.Priority{
	"production": pipeline.Production, "urgent": pipeline.High, "normal": pipeline.Normal, "idle": pipeline.Low,
}

// parseAwaits reads the list of jobs that have to be done first, each named once.
func parseAwaits(v Raw) ([]string, error) {
	if len(v) == 0 {
		return nil, nil
	}
	var refs []*string
	if err := Unmarshal(v, &refs); err != nil {
		return nil, fmt.Errorf("%w: awaits is no list of job ids", ErrMalformed)
	}
	var out []string
	seen := make(map[string]bool, len(refs))
	for _, r := range refs {
		if r == nil {
			return nil, fmt.Errorf("%w: awaits is no list of job ids", ErrMalformed)
		}
		if !seen[*r] {
			seen[*r] = true
			out = append(out, *r)
		}
	}
	return out, nil
}

// ParseSubmission decodes and checks a submitted job, and which jobs have to be done
// before it. Every error is ErrMalformed.
func ParseSubmission(body []byte) (pipeline.Spec, []string, error) {
	var none pipeline.Spec
	if len(body) > MaxBody || !isMap(body) {
		return none, nil, fmt.Errorf("%w: not a map within the size limit", ErrMalformed)
	}
	var m submission
	if err := Unmarshal(body, &m); err != nil {
		return none, nil, err
	}
	var s pipeline.Spec
	var errs []error
	try := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	str := func(name string, p *string) string { v, err := text(name, p); try(err); return v }
	num := func(name string, p *float64, positive bool) float64 {
		v, err := amount(name, p, positive)
		try(err)
		return v
	}
	flag := func(name string, p *bool) bool {
		if p == nil {
			try(fmt.Errorf("%w: %s is missing", ErrMalformed, name))
			return false
		}
		return *p
	}
	s.Ref = str("ref", m.Ref)
	if s.Ref != "" && !ValidRef(s.Ref) {
		try(fmt.Errorf("%w: ref has not the form of a job id", ErrMalformed))
	}
	s.Class, s.Team, s.Image = str("lot_kind", m.Class), str("owner", m.Team), str("kit", m.Kit)
	var ok bool
	if s.Shape, ok = shapes[str("shape", m.Shape)]; !ok {
		try(fmt.Errorf("%w: shape is unknown", ErrMalformed))
	}
	if s.Priority, ok = priorities[str("urgency", m.Urgency)]; !ok {
		try(fmt.Errorf("%w: urgency is unknown", ErrMalformed))
	}
	if m.Lots == nil || *m.Lots == 0 || *m.Lots > MaxTasks {
		try(fmt.Errorf("%w: lots is missing or out of range", ErrMalformed))
	} else {
		s.Tasks = int(*m.Lots)
	}
	s.CPUs, s.GPUs, s.MemGB = num("vcpus", m.VCPUs, false), num("cards", m.Cards, false), num("mem_gb", m.MemGB, false)
	s.ImageGB = num("pull_gb", m.PullGB, false)
	for _, b := range m.Builds {
		s.Types = append(s.Types, str("builds", b))
	}
	if m.Builds != nil && len(m.Builds) == 0 {
		s.Types = []string{}
	}
	if m.Yard != nil {
		s.Zone = str("yard", m.Yard)
	}
	s.OneZone, s.Spread, s.Spot = flag("one_zone", m.OneZone), flag("apart", m.Apart), flag("loaners", m.Loaners)
	s.Estimate = seconds(num("guess_s", m.GuessS, false))
	s.Checkpoint = seconds(num("mark_s", m.MarkS, false))
	s.Save = seconds(num("stash_s", m.StashS, false))
	if m.DueS != nil {
		s.Deadline = seconds(num("due_s", m.DueS, false))
	}
	awaits, err := parseAwaits(m.Awaits)
	try(err)
	if len(errs) > 0 {
		return none, nil, errs[0]
	}
	return s, awaits, nil
}

// RunState is the answer to a user about a job.
type RunState struct {
	Ref     string `cbor:"ref"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// StatusOf names a job's phase for its user.
func StatusOf(p pipeline.Phase, running int) string {
	switch p {
	case pipeline.Done:
		return "done"
	case pipeline.Cancelled:
		return "aborted"
	}
	if running > 0 {
		return "running"
	}
	return "queued"
}

// State builds the answer to a user about a job.
func State(ref string, p pipeline.Phase, done, running int) RunState {
	return RunState{Ref: ref, Status: StatusOf(p, running), Done: done, Running: running}
}

// TaskName names one task of a job on the wire.
func TaskName(ref string, task int) string { return fmt.Sprintf("%s/%d", ref, task) }

// ParseTaskName splits a task's wire name.
func ParseTaskName(s string) (ref string, task int, err error) {
	ref, num, ok := strings.Cut(s, "/")
	if !ok || !ValidRef(ref) {
		return "", 0, fmt.Errorf("%w: task name %q", ErrMalformed, s)
	}
	if num == "" || len(num) > 9 || (len(num) > 1 && num[0] == '0') {
		return "", 0, fmt.Errorf("%w: task name %q", ErrMalformed, s)
	}
	for _, c := range num {
		if c < '0' || c > '9' {
			return "", 0, fmt.Errorf("%w: task name %q", ErrMalformed, s)
		}
		task = task*10 + int(c-'0')
	}
	return ref, task, nil
}
