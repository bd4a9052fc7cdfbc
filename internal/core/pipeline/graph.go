package pipeline

import (
	"slices"
	"strings"
	"time"
)

// Graph is the dependency graph of the jobs that aren't over. Each job has its open dependencies,
// and the graph has each job's dependents, so that the cost of a change is proportional to the
// number of edges that it affects (docs/design.md, safety argument 14).
type Graph struct {
	jobs       map[string]*Job          // those that aren't over, by reference
	dependents map[string]map[*Job]bool // by the reference of the job they wait for; it may not be in jobs
	unknown    map[string]bool          // dependencies that weren't added and aren't known to be over
	lookups    []string                 // those of unknown that have to be looked up, in order
	// ExpectedDuration returns how long a job is expected to take once it is ready.
	ExpectedDuration func(j *Job) time.Duration
}

// NewGraph returns an empty graph.
func NewGraph(duration func(j *Job) time.Duration) *Graph {
	return &Graph{
		jobs:             map[string]*Job{},
		dependents:       map[string]map[*Job]bool{},
		unknown:          map[string]bool{},
		ExpectedDuration: duration,
	}
}

// Add adds a job that isn't over. Jobs may be added in any order.
func (g *Graph) Add(j *Job) {
	g.jobs[j.Ref] = j
	delete(g.unknown, j.Ref)
	for _, dependent := range g.Dependents(j.Ref) {
		g.inheritUrgency(j, dependent)
	}
	for _, ref := range j.Dependencies() {
		if g.dependents[ref] == nil {
			g.dependents[ref] = map[*Job]bool{}
		}
		g.dependents[ref][j] = true
		if g.jobs[ref] == nil && !g.unknown[ref] {
			g.unknown[ref] = true
			g.lookups = append(g.lookups, ref)
		}
	}
	g.propagateUrgency(j)
}

// ToLookUp returns up to limit dependencies of which it isn't known whether they are over, and removes
// them from the queue of look-ups. Each is returned once, and again only after LookUpAgain.
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

// LookUpAgain queues the look-up of a dependency again, after it has failed.
func (g *Graph) LookUpAgain(ref string) {
	if g.unknown[ref] {
		g.lookups = append(g.lookups, ref)
	}
}

// OutcomesKnown reports whether for each direct or indirect dependency of a job it is known whether
// it is over (docs/design.md, safety argument 15; TestNewLeaderAsks).
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
		if dependency := g.jobs[ref]; dependency != nil && !seen[ref] {
			seen[ref] = true
			next = append(next, dependency.Dependencies()...)
		}
	}
	return true
}

// HasDependents reports whether any job waits for this one.
func (g *Graph) HasDependents(ref string) bool { return len(g.dependents[ref]) > 0 }

// Dependents lists the jobs that wait for this one, sorted by reference.
func (g *Graph) Dependents(ref string) []*Job {
	set := g.dependents[ref]
	if len(set) == 0 {
		return nil
	}
	out := make([]*Job, 0, len(set))
	for j := range set {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return strings.Compare(a.Ref, b.Ref) })
	return out
}

// JobDone records that a job is done according to the state service. It returns the dependents that
// become ready thereby (TestStartsOnceTheParentIsStored).
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

// JobCancelled records that a job is cancelled. It cancels the job's direct and indirect dependents
// and returns them (docs/design.md, safety argument 15; TestCancelReachesAllAtOnce).
func (g *Graph) JobCancelled(ref string, at time.Time) (cancelled []*Job) {
	for refs := []string{ref}; len(refs) > 0; refs = refs[1:] {
		for _, j := range g.Dependents(refs[0]) {
			dependencies := j.Dependencies() // read before the cancellation, which clears them
			if j.CancelAsDependent(at) {
				cancelled = append(cancelled, j)
				refs = append(refs, j.Ref)
				g.RemoveDependencies(j, dependencies)
			}
		}
		delete(g.dependents, refs[0])
		delete(g.unknown, refs[0])
	}
	return cancelled
}

// Remove removes a job that is over from the graph.
func (g *Graph) Remove(j *Job) {
	if g.jobs[j.Ref] == j {
		delete(g.jobs, j.Ref)
	}
}

// RemoveDependencies removes the edges from a job to some of its dependencies, and recomputes the
// urgency of those from their remaining dependents.
func (g *Graph) RemoveDependencies(j *Job, dependencies []string) {
	for _, ref := range dependencies {
		delete(g.dependents[ref], j)
		if len(g.dependents[ref]) == 0 {
			delete(g.dependents, ref)
			delete(g.unknown, ref)
		}
		if dependency := g.jobs[ref]; dependency != nil && !dependency.Over() {
			g.recomputeUrgency(dependency)
		}
	}
}
