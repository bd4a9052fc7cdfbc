package pipeline

import (
	"sort"
	"time"
)

// Graph is which unfinished jobs wait for which. Its work follows the edges that
// change: each job that waits counts the jobs before it that are open, and each
// job that is waited for knows those after it.
type Graph struct {
	jobs       map[string]*Job          // that aren't over
	dependents map[string]map[*Job]bool // jobs that wait, by what they wait for
	unknown    map[string]bool          // jobs waited for of which nothing is known here
	lookups    []string                 // the same in the order in which they came up
	// ExpectedDuration is how long a job is expected to take once it is let go.
	ExpectedDuration func(j *Job) time.Duration
}

// CriticalPath is a job with a deadline, at the end of a line of jobs, and how long the
// line takes from the end of a job on it.
type CriticalPath struct {
	Job    *Job
	Length time.Duration
}

// By is when the line must have come so far for its last job to be done so many
// times its deadline after its submission.
func (l CriticalPath) EndBy(times float64) time.Time {
	return l.Job.Submitted.Add(time.Duration(float64(l.Job.Deadline)*times) - l.Length)
}

// NewGraph makes an empty graph.
func NewGraph(duration func(j *Job) time.Duration) *Graph {
	return &Graph{jobs: map[string]*Job{}, dependents: map[string]map[*Job]bool{}, unknown: map[string]bool{}, ExpectedDuration: duration}
}

// Add takes in a job that isn't over, in any order.
func (g *Graph) Add(j *Job) {
	g.jobs[j.Ref] = j
	delete(g.unknown, j.Ref)
	for _, c := range g.Dependents(j.Ref) {
		g.inheritUrgency(j, c)
	}
	for _, p := range j.Dependencies() {
		if g.dependents[p] == nil {
			g.dependents[p] = map[*Job]bool{}
		}
		g.dependents[p][j] = true
		if g.jobs[p] == nil && !g.unknown[p] {
			g.unknown[p] = true
			g.lookups = append(g.lookups, p)
		}
	}
	g.propagateUrgency(j)
}

// ToLookUp names jobs that are waited for and of which nothing is known here, at most
// so many; those named aren't named again unless LookUpAgain says so.
func (g *Graph) ToLookUp(most int) []string {
	var out []string
	for len(g.lookups) > 0 && len(out) < most {
		ref := g.lookups[0]
		g.lookups = g.lookups[1:]
		if g.unknown[ref] {
			out = append(out, ref)
		}
	}
	return out
}

// LookUpAgain notes that nothing could be learnt of a job.
func (g *Graph) LookUpAgain(ref string) {
	if g.unknown[ref] {
		g.lookups = append(g.lookups, ref)
	}
}

// OutcomesKnown tells whether it is known of all jobs that one needs, directly or through
// others, what has become of them.
func (g *Graph) OutcomesKnown(j *Job) bool {
	if len(g.unknown) == 0 {
		return true
	}
	seen := map[string]bool{}
	for next := j.Dependencies(); len(next) > 0; next = next[1:] {
		ref := next[0]
		if g.unknown[ref] {
			return false
		}
		if b := g.jobs[ref]; b != nil && !seen[ref] {
			seen[ref] = true
			next = append(next, b.Dependencies()...)
		}
	}
	return true
}

// HasDependents tells whether any job waits for one.
func (g *Graph) HasDependents(ref string) bool { return len(g.dependents[ref]) > 0 }

// Dependents lists the jobs that wait for one.
func (g *Graph) Dependents(ref string) []*Job {
	set := g.dependents[ref]
	if len(set) == 0 {
		return nil
	}
	out := make([]*Job, 0, len(set))
	for j := range set {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Ref < out[k].Ref })
	return out
}

// JobDone notes that the store holds that a job is done, and returns those that this
// lets go.
func (g *Graph) JobDone(ref string, at time.Time) (ready []*Job) {
	for _, j := range g.Dependents(ref) {
		if j.DependencyDone(ref, at) {
			ready = append(ready, j)
		}
	}
	delete(g.dependents, ref)
	delete(g.unknown, ref)
	return ready
}

// JobCancelled notes that a job is cancelled, and cancels all that need it, through
// any depth; it returns them.
func (g *Graph) JobCancelled(ref string, at time.Time) (doomed []*Job) {
	for refs := []string{ref}; len(refs) > 0; refs = refs[1:] {
		for _, j := range g.Dependents(refs[0]) {
			before := j.Dependencies()
			if j.CancelAsDependent(at) {
				doomed = append(doomed, j)
				refs = append(refs, j.Ref)
				g.RemoveDependencies(j, before)
			}
		}
		delete(g.dependents, refs[0])
		delete(g.unknown, refs[0])
	}
	return doomed
}

// Remove takes out a job that is over.
func (g *Graph) Remove(j *Job) {
	if g.jobs[j.Ref] == j {
		delete(g.jobs, j.Ref)
	}
}

// RemoveDependencies notes that a job no longer waits for some others: those are as pressing as
// what is left makes them.
func (g *Graph) RemoveDependencies(j *Job, dependencies []string) {
	for _, p := range dependencies {
		delete(g.dependents[p], j)
		if len(g.dependents[p]) == 0 {
			delete(g.dependents, p)
			delete(g.unknown, p)
		}
		if b := g.jobs[p]; b != nil && !b.Over() {
			g.recomputeUrgency(b)
		}
	}
}

// inheritUrgency makes a job as pressing as one that waits for it, if it isn't already; it
// tells whether that changed anything.
func (g *Graph) inheritUrgency(j, by *Job) bool {
	changed := false
	if by.Urgency < j.Urgency {
		j.Urgency, changed = by.Urgency, true
	}
	stage := g.ExpectedDuration(by)
	if by.Deadline > 0 {
		changed = j.takeTighterPath(CriticalPath{by, stage}) || changed
	}
	if l := by.CriticalPath; l.Job != nil {
		changed = j.takeTighterPath(CriticalPath{l.Job, l.Length + stage}) || changed
	}
	return changed
}

func (j *Job) takeTighterPath(l CriticalPath) bool {
	if j.CriticalPath.Job != nil && !l.EndBy(1).Before(j.CriticalPath.EndBy(1)) {
		return false
	}
	j.CriticalPath = l
	return true
}

// propagateUrgency passes on to the jobs before one, as far as they go, what makes it pressing.
func (g *Graph) propagateUrgency(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		for _, p := range next[0].Dependencies() {
			if b := g.jobs[p]; b != nil && g.inheritUrgency(b, next[0]) {
				next = append(next, b)
			}
		}
	}
}

// recomputeUrgency finds out anew what makes a job pressing, and those before it.
func (g *Graph) recomputeUrgency(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		b := next[0]
		urgency, last := b.Urgency, b.CriticalPath
		b.Urgency, b.CriticalPath = b.Priority, CriticalPath{}
		for _, c := range g.Dependents(b.Ref) {
			g.inheritUrgency(b, c)
		}
		if b.Urgency == urgency && b.CriticalPath == last {
			continue
		}
		for _, p := range b.Dependencies() {
			if a := g.jobs[p]; a != nil {
				next = append(next, a)
			}
		}
	}
}
