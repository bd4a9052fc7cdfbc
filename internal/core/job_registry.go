package core

import (
	"cmp"
	"slices"

	"gingertally/internal/core/pipeline"
)

// jobRegistry holds the jobs that aren't over, by name and in ready order, and the final
// entries of some that are.
type jobRegistry struct {
	byRef   map[string]*pipeline.Job
	ordered []*pipeline.Job
	finals  map[string]pipeline.Final
}

// maxFinals bounds the final entries kept at hand.
const maxFinals = 20_000

func newJobRegistry() jobRegistry {
	return jobRegistry{byRef: map[string]*pipeline.Job{}, finals: map[string]pipeline.Final{}}
}

// get returns a job that isn't over, or nil.
func (r *jobRegistry) get(ref string) *pipeline.Job { return r.byRef[ref] }

// inOrder lists the jobs that aren't over by priority, and within it by when they were
// submitted. The list is only to be read.
func (r *jobRegistry) inOrder() []*pipeline.Job { return r.ordered }

// count is how many jobs aren't over.
func (r *jobRegistry) count() int { return len(r.ordered) }

// add takes in a job.
func (r *jobRegistry) add(j *pipeline.Job) {
	r.byRef[j.Ref] = j
	at, _ := slices.BinarySearchFunc(r.ordered, j, compareReady)
	r.ordered = slices.Insert(r.ordered, at, j)
}

// remove forgets a job that is over.
func (r *jobRegistry) remove(j *pipeline.Job) {
	delete(r.byRef, j.Ref)
	if i := slices.Index(r.ordered, j); i >= 0 {
		r.ordered = slices.Delete(r.ordered, i, i+1)
	}
}

// final returns the final entry of a job that is over, if it is at hand.
func (r *jobRegistry) final(ref string) (f pipeline.Final, known bool) {
	f, known = r.finals[ref]
	return f, known
}

// setFinal keeps the final entry of a job at hand.
func (r *jobRegistry) setFinal(ref string, f pipeline.Final) {
	if len(r.finals) >= maxFinals {
		clear(r.finals) // the store still knows them
	}
	r.finals[ref] = f
}

// compareReady orders jobs by priority, and within it by when they were submitted.
func compareReady(a, b *pipeline.Job) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Submitted.Compare(b.Submitted), cmp.Compare(a.Ref, b.Ref))
}
