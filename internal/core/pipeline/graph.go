package pipeline

import (
	"sort"
	"time"
)

// Graph is the dependency graph of the unfinished jobs. A change costs as much as it has
// edges: each job knows its open dependencies, and the graph knows each job's dependents.
// It is held against brute force by TestGraph (docs/design.md, safety argument 14).
type Graph struct {
	jobs       map[string]*Job          // that aren't over
	dependents map[string]map[*Job]bool // jobs that wait, by what they wait for
	unknown    map[string]bool          // dependencies of which nothing is known here
	lookups    []string                 // those of them that are to be looked up, in order
	// ExpectedDuration is how long a job is expected to take once it is ready.
	ExpectedDuration func(j *Job) time.Duration
}

// CriticalPath is the path from the end of a job to the end of the job with a deadline,
// among its direct and indirect dependents, that leaves it the least time.
type CriticalPath struct {
	Job    *Job          // the one with the deadline; nil: there is none
	Length time.Duration // expected, of the jobs on the path past the first
}

// EndBy is when the path's first job must have ended for the last one to end within so
// many times its deadline after its submission.
func (c CriticalPath) EndBy(times float64) time.Time {
	return c.Job.Submitted.Add(time.Duration(float64(c.Job.Deadline)*times) - c.Length)
}

// NewGraph makes an empty graph.
func NewGraph(duration func(j *Job) time.Duration) *Graph {
	return &Graph{jobs: map[string]*Job{}, dependents: map[string]map[*Job]bool{}, unknown: map[string]bool{}, ExpectedDuration: duration}
}

// Add takes in a job that isn't over. Jobs may come in any order.
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

// ToLookUp names dependencies of which nothing is known here, at most as many as the
// limit. None is named twice unless LookUpAgain says so.
func (g *Graph) ToLookUp(limit int) []string {
	var out []string
	for len(g.lookups) > 0 && len(out) < limit {
		ref := g.lookups[0]
		g.lookups = g.lookups[1:]
		if g.unknown[ref] {
			out = append(out, ref)
		}
	}
	return out
}

// LookUpAgain notes that the look-up of a dependency has failed.
func (g *Graph) LookUpAgain(ref string) {
	if g.unknown[ref] {
		g.lookups = append(g.lookups, ref)
	}
}

// OutcomesKnown tells whether it is known what has become of all direct and indirect
// dependencies of a job (docs/design.md, safety argument 15; TestNewLeaderAsks).
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

// HasDependents tells whether any job waits for this one.
func (g *Graph) HasDependents(ref string) bool { return len(g.dependents[ref]) > 0 }

// Dependents lists the jobs that wait for this one, by name.
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

// JobDone notes that the store holds that a job is done. It returns the jobs that this
// makes ready (TestStartsOnceTheParentIsStored).
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

// JobCancelled notes that a job is cancelled, and cancels its direct and indirect
// dependents, which it returns (docs/design.md, safety argument 15;
// TestCancelReachesAllAtOnce).
func (g *Graph) JobCancelled(ref string, at time.Time) (cancelled []*Job) {
	for refs := []string{ref}; len(refs) > 0; refs = refs[1:] {
		for _, j := range g.Dependents(refs[0]) {
			before := j.Dependencies()
			if j.CancelAsDependent(at) {
				cancelled = append(cancelled, j)
				refs = append(refs, j.Ref)
				g.RemoveDependencies(j, before)
			}
		}
		delete(g.dependents, refs[0])
		delete(g.unknown, refs[0])
	}
	return cancelled
}

// Remove takes out a job that is over.
func (g *Graph) Remove(j *Job) {
	if g.jobs[j.Ref] == j {
		delete(g.jobs, j.Ref)
	}
}

// RemoveDependencies notes that a job no longer waits for some others. Their urgency is
// what their remaining dependents give them.
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

// inheritUrgency gives a job the urgency and the critical path of one of its dependents,
// if these are tighter than its own. It tells whether that changed anything.
func (g *Graph) inheritUrgency(j, by *Job) (changed bool) {
	if by.Urgency < j.Urgency {
		j.Urgency, changed = by.Urgency, true
	}
	duration := g.ExpectedDuration(by)
	if by.Deadline > 0 {
		changed = j.takeTighterPath(CriticalPath{by, duration}) || changed
	}
	if path := by.CriticalPath; path.Job != nil {
		changed = j.takeTighterPath(CriticalPath{path.Job, path.Length + duration}) || changed
	}
	return changed
}

// takeTighterPath takes over a critical path that leaves less time than the present one.
func (j *Job) takeTighterPath(path CriticalPath) bool {
	if j.CriticalPath.Job != nil && !path.EndBy(1).Before(j.CriticalPath.EndBy(1)) {
		return false
	}
	j.CriticalPath = path
	return true
}

// propagateUrgency passes a job's urgency and critical path on to its direct and indirect
// dependencies.
func (g *Graph) propagateUrgency(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		for _, p := range next[0].Dependencies() {
			if b := g.jobs[p]; b != nil && g.inheritUrgency(b, next[0]) {
				next = append(next, b)
			}
		}
	}
}

// recomputeUrgency recomputes a job's urgency and critical path, and those of its
// dependencies where they change.
func (g *Graph) recomputeUrgency(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		b := next[0]
		urgency, path := b.Urgency, b.CriticalPath
		b.Urgency, b.CriticalPath = b.Priority, CriticalPath{}
		for _, c := range g.Dependents(b.Ref) {
			g.inheritUrgency(b, c)
		}
		if b.Urgency == urgency && b.CriticalPath == path {
			continue
		}
		for _, p := range b.Dependencies() {
			if a := g.jobs[p]; a != nil {
				next = append(next, a)
			}
		}
	}
}
