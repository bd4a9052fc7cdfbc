package core

import (
	"cmp"
	"slices"

	"gingertally/internal/core/pipeline"
)

// jobRegistry holds the jobs that aren't over, by name and in the order of compareJobs, and a
// cache of the final entries of jobs that are.
type jobRegistry struct {
	byRef   map[string]*pipeline.Job
	ordered []*pipeline.Job
	finals  map[string]pipeline.Final
}

// maxFinals bounds the number of cached final entries.
const maxFinals = 20_000

func newJobRegistry() jobRegistry {
	return jobRegistry{byRef: map[string]*pipeline.Job{}, finals: map[string]pipeline.Final{}}
}

// get returns a job that isn't over, or nil.
func (r *jobRegistry) get(ref string) *pipeline.Job { return r.byRef[ref] }

// inOrder returns the jobs that aren't over, by priority and then by submission time. Callers must
// not modify the slice.
func (r *jobRegistry) inOrder() []*pipeline.Job { return r.ordered }

// count returns the number of jobs that aren't over.
func (r *jobRegistry) count() int { return len(r.ordered) }

// add adds a job that isn't over.
func (r *jobRegistry) add(j *pipeline.Job) {
	r.byRef[j.Ref] = j
	at, _ := slices.BinarySearchFunc(r.ordered, j, compareJobs)
	r.ordered = slices.Insert(r.ordered, at, j)
}

// remove removes a job that is over.
func (r *jobRegistry) remove(j *pipeline.Job) {
	delete(r.byRef, j.Ref)
	if i := slices.Index(r.ordered, j); i >= 0 {
		r.ordered = slices.Delete(r.ordered, i, i+1)
	}
}

// final returns the final entry of a job that is over, if it is cached.
func (r *jobRegistry) final(ref string) (f pipeline.Final, known bool) {
	f, known = r.finals[ref]
	return f, known
}

// setFinal caches the final entry of a job.
func (r *jobRegistry) setFinal(ref string, f pipeline.Final) {
	if len(r.finals) >= maxFinals {
		clear(r.finals) // the store still holds them
	}
	r.finals[ref] = f
}

// compareJobs orders jobs by priority, then by submission time, then by name.
func compareJobs(a, b *pipeline.Job) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Submitted.Compare(b.Submitted), cmp.Compare(a.Ref, b.Ref))
}
