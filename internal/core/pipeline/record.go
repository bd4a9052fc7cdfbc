package pipeline

// Record is what the state service stores of a job that isn't over, under one key. Chunks of done
// ranges after the first one, and lists of dependencies that are too large, have keys of their own.
type Record struct {
	Spec        Spec  `cbor:"s"`
	SubmittedMS int64 `cbor:"at"`
	Phase       Phase `cbor:"p"`
	CancelledMS int64 `cbor:"ca,omitempty"`
	Done        []int `cbor:"d,omitempty"` // the first chunk of done ranges
	Restarts    []int `cbor:"r,omitempty"` // pairs of a task and its restart count

	// A job that depends on others lists them in Dependencies or, if the list is too large, on as many
	// pages as DependencyPages says. DependencyListHash distinguishes those pages from the pages of
	// other lists. ReadyMS is when the last dependency was done, once all are done according to the
	// state service.
	Dependencies       []string `cbor:"aw,omitempty"`
	DependencyPages    int      `cbor:"ap,omitempty"`
	DependencyListHash string   `cbor:"as,omitempty"`
	ReadyMS            int64    `cbor:"rd,omitempty"`
}

// Held reports whether the job waits for others according to the record.
func (r *Record) Held() bool {
	return r.Phase == Active && r.ReadyMS == 0 && (len(r.Dependencies) > 0 || r.DependencyPages > 0)
}

// Final is what the state service keeps of a job that is over.
type Final struct {
	Phase Phase `cbor:"p"`
	Tasks int   `cbor:"n"`
	EndMS int64 `cbor:"e,omitempty"` // when it ended, if other jobs waited for it
}

// maxRestartPairs bounds the number of restart counts in a record. A task whose count is left out is
// retried more often after a takeover, which does no harm.
const maxRestartPairs = 100

// Upper bounds of sizes in bytes, in the JSON form by which the state service counts them: of a record
// without its texts and lists, and of a pair of a task and its restart count.
const (
	recordBytes  = 520
	restartBytes = 14
)

// textBytes returns an upper bound of the size of a text in JSON, with its quotes and a comma. A byte
// that is escaped takes up to six bytes.
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

// Bytes returns an upper bound of the record's size in the state service without done ranges and
// restart counts.
func (r *Record) Bytes() int {
	s := &r.Spec
	n := recordBytes + textBytes(s.Ref) + textBytes(s.Class) + textBytes(s.Team) + textBytes(s.Image) + textBytes(s.Zone)
	for _, machineType := range s.Types {
		n += textBytes(machineType)
	}
	return n + DependencyBytes(r.Dependencies)
}

// DependencyBytes returns an upper bound of the size of a list of dependencies in the state service.
func DependencyBytes(refs []string) int {
	n := len("[]")
	for _, ref := range refs {
		n += textBytes(ref)
	}
	return n
}

// Record returns the job's record as it has to be written now. Done ranges and restart counts that
// don't fit in maxBytes are left out.
func (j *Job) Record(maxBytes int) Record {
	r := Record{Spec: j.Spec, SubmittedMS: j.Submitted.UnixMilli(), Phase: j.phase,
		DependencyPages: j.dependencies.pages, DependencyListHash: j.dependencies.listHash}
	switch j.phase {
	case Done:
		r.Phase = Active // Done is stored in the job's final entry, not in its record
	case Held:
		r.Phase = Active
		if r.DependencyPages == 0 {
			r.Dependencies = j.dependencies.refs
		}
	}
	if j.phase != Held && j.ReadyAt.After(j.Submitted) || j.phase == Active && r.DependencyPages > 0 {
		r.ReadyMS = j.ReadyAt.UnixMilli()
	}
	if !j.CancelledAt.IsZero() {
		r.CancelledMS = j.CancelledAt.UnixMilli()
	}
	bytesLeft := maxBytes - r.Bytes()
	r.Done = TruncateRuns(j.DoneRuns(0), bytesLeft)
	for _, length := range r.Done {
		bytesLeft -= runBytes(length)
	}
	r.Restarts = j.restartPairs(min(maxRestartPairs, bytesLeft/restartBytes))
	return r
}

// restartPairs returns pairs of a task and its restart count, for the first tasks that have restarted
// and for no more than limit of them.
func (j *Job) restartPairs(limit int) []int {
	var pairs []int
	for i := range j.Tasks {
		if n := j.Tasks[i].restarts; n > 0 && len(pairs) < 2*limit {
			pairs = append(pairs, i, int(n))
		}
	}
	return pairs
}

// FinalEntry returns the entry that is stored for the job once it is over.
func (j *Job) FinalEntry() Final { return Final{Phase: j.phase, Tasks: len(j.Tasks)} }
