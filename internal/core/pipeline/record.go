package pipeline

import "strconv"

// Record is what the state service holds of a job that isn't over, under one
// key. Done ranges past the first chunk have keys of their own.
type Record struct {
	Spec        Spec  `cbor:"s"`
	SubmittedMS int64 `cbor:"at"`
	Phase       Phase `cbor:"p"`
	CancelledMS int64 `cbor:"ca,omitempty"`
	Done        []int `cbor:"d,omitempty"`
	Restarts    []int `cbor:"r,omitempty"` // task, count, task, count, …
	// Of a job that names others: the jobs, here or, if that would be too large, on
	// so many pages of their own, and, once the store holds that all are done, when
	// the last one was.
	Dependencies      []string `cbor:"aw,omitempty"`
	DependencyPages   int      `cbor:"ap,omitempty"`
	DependencyListSum string   `cbor:"as,omitempty"` // tells the pages of one list from those of another
	ReadyMS           int64    `cbor:"rd,omitempty"`
}

// Held tells whether the job of the record waits for others, as far as it says.
func (r *Record) Held() bool {
	return r.Phase == Active && r.ReadyMS == 0 && (len(r.Dependencies) > 0 || r.DependencyPages > 0)
}

// Final is what the state service keeps of a job that is over.
type Final struct {
	Phase Phase `cbor:"p"`
	Tasks int   `cbor:"n"`
	EndMS int64 `cbor:"e,omitempty"` // when, if jobs were waiting for it
}

// maxRestartPairs bounds the restart counts kept in a record. Losing the rest
// only makes a task be retried more often.
const maxRestartPairs = 100

// How many bytes a record takes besides its texts and lists at the most, and a
// pair of restart counts, in the JSON form that the state service counts in.
const (
	recordBytes  = 520
	restartBytes = 14
)

// textBytes bounds what a text takes in JSON, where a byte may become six.
func textBytes(s string) int {
	n := 3
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += 6
		} else {
			n++
		}
	}
	return n
}

// Bytes bounds what a record takes in the store with its lists left out.
func (r *Record) Bytes() int {
	s := &r.Spec
	n := recordBytes + textBytes(s.Ref) + textBytes(s.Class) + textBytes(s.Team) + textBytes(s.Image) + textBytes(s.Zone)
	for _, t := range s.Types {
		n += textBytes(t)
	}
	return n + DependencyBytes(r.Dependencies)
}

// DependencyBytes bounds what a list of jobs takes in the store.
func DependencyBytes(refs []string) int {
	n := 2
	for _, a := range refs {
		n += textBytes(a)
	}
	return n
}

// Record returns the job's record as it should now be written, in no more than so
// many bytes.
func (j *Job) Record(most int) Record {
	r := Record{Spec: j.Spec, SubmittedMS: j.Submitted.UnixMilli(), Phase: j.phase,
		DependencyPages: j.dependencies.pages, DependencyListSum: j.dependencies.listSum}
	switch j.phase {
	case Done:
		r.Phase = Active // done is written as the job's final entry only
	case Held:
		r.Phase = Active
		if r.DependencyPages == 0 {
			r.Dependencies = j.dependencies.refs
		}
	}
	if j.phase != Held && j.Since.After(j.Submitted) || j.phase == Active && r.DependencyPages > 0 {
		r.ReadyMS = j.Since.UnixMilli()
	}
	if !j.CancelAt.IsZero() {
		r.CancelledMS = j.CancelAt.UnixMilli()
	}
	left := most - r.Bytes()
	r.Done = FitRuns(j.Chunk(0), left)
	for _, n := range r.Done {
		left -= len(strconv.Itoa(n)) + 1
	}
	pairs := min(maxRestartPairs, left/restartBytes)
	for i := range j.Tasks {
		if n := j.Tasks[i].restarts; n > 0 && len(r.Restarts) < 2*pairs {
			r.Restarts = append(r.Restarts, i, int(n))
		}
	}
	return r
}

// FinalEntry returns what stays of the job once it is over.
func (j *Job) FinalEntry() Final { return Final{Phase: j.phase, Tasks: len(j.Tasks)} }
