package pipeline

// Record is what the state service holds of a job that isn't over, under one key. Chunks of done ranges
// after the first one have keys of their own.
type Record struct {
	Spec        Spec  `cbor:"s"`
	SubmittedMS int64 `cbor:"at"`
	Phase       Phase `cbor:"p"`
	CancelledMS int64 `cbor:"ca,omitempty"`
	Done        []int `cbor:"d,omitempty"` // the first chunk of done ranges
	Restarts    []int `cbor:"r,omitempty"` // task, count, task, count, …

	// A job that depends on others names them in Dependencies or, if the list is too large, on
	// DependencyPages pages that are told from those of other lists by DependencyListSum. ReadyMS is
	// when the last of them was done, once the state service holds that all are.
	Dependencies      []string `cbor:"aw,omitempty"`
	DependencyPages   int      `cbor:"ap,omitempty"`
	DependencyListSum string   `cbor:"as,omitempty"`
	ReadyMS           int64    `cbor:"rd,omitempty"`
}

// Held reports whether the job waits for others, as far as the record says.
func (r *Record) Held() bool {
	return r.Phase == Active && r.ReadyMS == 0 && (len(r.Dependencies) > 0 || r.DependencyPages > 0)
}

// Final is what the state service keeps of a job that is over.
type Final struct {
	Phase Phase `cbor:"p"`
	Tasks int   `cbor:"n"`
	EndMS int64 `cbor:"e,omitempty"` // when it ended, if other jobs waited for it
}

// maxRestartPairs bounds the restart counts in a record. A task whose count is left out is retried more
// often after a takeover, which does no harm.
const maxRestartPairs = 100

// Upper bounds of the stored size, in the JSON form that the state service counts in: of a record
// without its texts and lists, and of a pair of a task and its restart count.
const (
	recordBytes  = 520
	restartBytes = 14
)

// textBytes bounds what a text takes in JSON with its quotes and comma. A byte that has to be escaped
// takes up to six.
func textBytes(s string) int {
	n := len(`"",`)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += len(`\u0000`)
		} else {
			n++
		}
	}
	return n
}

// Bytes bounds what a record takes in the state service without done ranges and restart counts.
func (r *Record) Bytes() int {
	s := &r.Spec
	n := recordBytes + textBytes(s.Ref) + textBytes(s.Class) + textBytes(s.Team) + textBytes(s.Image) + textBytes(s.Zone)
	for _, machineType := range s.Types {
		n += textBytes(machineType)
	}
	return n + DependencyBytes(r.Dependencies)
}

// DependencyBytes bounds what a list of jobs takes in the state service.
func DependencyBytes(refs []string) int {
	n := len("[]")
	for _, ref := range refs {
		n += textBytes(ref)
	}
	return n
}

// Record returns the job's record as it has to be written now. As many done ranges and restart counts
// are left out as is needed to keep it within a limit.
func (j *Job) Record(maxBytes int) Record {
	r := Record{Spec: j.Spec, SubmittedMS: j.Submitted.UnixMilli(), Phase: j.phase,
		DependencyPages: j.dependencies.pages, DependencyListSum: j.dependencies.listSum}
	switch j.phase {
	case Done:
		r.Phase = Active // that it is done is stored as the job's final entry, not in its record
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
	bytesLeft := maxBytes - r.Bytes()
	r.Done = TruncateRuns(j.DoneRuns(0), bytesLeft)
	for _, length := range r.Done {
		bytesLeft -= runBytes(length)
	}
	r.Restarts = j.restartPairs(min(maxRestartPairs, bytesLeft/restartBytes))
	return r
}

// restartPairs lists tasks that have restarted with their restart counts, no more than the limit.
func (j *Job) restartPairs(limit int) []int {
	var pairs []int
	for i := range j.Tasks {
		if n := j.Tasks[i].restarts; n > 0 && len(pairs) < 2*limit {
			pairs = append(pairs, i, int(n))
		}
	}
	return pairs
}

// FinalEntry returns what is stored of the job once it is over.
func (j *Job) FinalEntry() Final { return Final{Phase: j.phase, Tasks: len(j.Tasks)} }
