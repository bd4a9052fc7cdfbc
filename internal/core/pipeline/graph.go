package pipeline

import (
	"sort"
	"time"
)

// Graph is which unfinished jobs wait for which. Its work follows the edges that
// change: each job that waits counts the jobs before it that are open, and each
// job that is waited for knows those after it.
type Graph struct {
	jobs  map[string]*Job          // that aren't over
	after map[string]map[*Job]bool // jobs that wait, by what they wait for
	ask   map[string]bool          // jobs waited for of which nothing is known here
	queue []string                 // the same in the order in which they came up
	// Stage is how long a job is expected to take once it is let go.
	Stage func(j *Job) time.Duration
}

// Last is a job with a deadline, at the end of a line of jobs, and how long the
// line takes from the end of a job on it.
type Last struct {
	Job  *Job
	Path time.Duration
}

// By is when the line must have come so far for its last job to be done so many
// times its deadline after its submission.
func (l Last) By(times float64) time.Time {
	return l.Job.Submitted.Add(time.Duration(float64(l.Job.Deadline)*times) - l.Path)
}

// NewGraph makes an empty graph.
func NewGraph(stage func(j *Job) time.Duration) *Graph {
	return &Graph{jobs: map[string]*Job{}, after: map[string]map[*Job]bool{}, ask: map[string]bool{}, Stage: stage}
}

// Add takes in a job that isn't over, in any order.
func (g *Graph) Add(j *Job) {
	g.jobs[j.Ref] = j
	delete(g.ask, j.Ref)
	for _, c := range g.After(j.Ref) {
		g.press(j, c)
	}
	for _, p := range j.Awaits() {
		if g.after[p] == nil {
			g.after[p] = map[*Job]bool{}
		}
		g.after[p][j] = true
		if g.jobs[p] == nil && !g.ask[p] {
			g.ask[p] = true
			g.queue = append(g.queue, p)
		}
	}
	g.pressOn(j)
}

// Ask names jobs that are waited for and of which nothing is known here, at most
// so many; those named aren't named again unless AskAgain says so.
func (g *Graph) Ask(most int) []string {
	var out []string
	for len(g.queue) > 0 && len(out) < most {
		ref := g.queue[0]
		g.queue = g.queue[1:]
		if g.ask[ref] {
			out = append(out, ref)
		}
	}
	return out
}

// AskAgain notes that nothing could be learnt of a job.
func (g *Graph) AskAgain(ref string) {
	if g.ask[ref] {
		g.queue = append(g.queue, ref)
	}
}

// Sure tells whether it is known of all jobs that one needs, directly or through
// others, what has become of them.
func (g *Graph) Sure(j *Job) bool {
	if len(g.ask) == 0 {
		return true
	}
	seen := map[string]bool{}
	for next := j.Awaits(); len(next) > 0; next = next[1:] {
		ref := next[0]
		if g.ask[ref] {
			return false
		}
		if b := g.jobs[ref]; b != nil && !seen[ref] {
			seen[ref] = true
			next = append(next, b.Awaits()...)
		}
	}
	return true
}

// Awaited tells whether any job waits for one.
func (g *Graph) Awaited(ref string) bool { return len(g.after[ref]) > 0 }

// After lists the jobs that wait for one.
func (g *Graph) After(ref string) []*Job {
	set := g.after[ref]
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

// Done notes that the store holds that a job is done, and returns those that this
// lets go.
func (g *Graph) Done(ref string, at time.Time) (ready []*Job) {
	for _, j := range g.After(ref) {
		if j.Met(ref, at) {
			ready = append(ready, j)
		}
	}
	delete(g.after, ref)
	delete(g.ask, ref)
	return ready
}

// Cancelled notes that a job is cancelled, and cancels all that need it, through
// any depth; it returns them.
func (g *Graph) Cancelled(ref string, at time.Time) (doomed []*Job) {
	for refs := []string{ref}; len(refs) > 0; refs = refs[1:] {
		for _, j := range g.After(refs[0]) {
			before := j.Awaits()
			if j.Doom(at) {
				doomed = append(doomed, j)
				refs = append(refs, j.Ref)
				g.Leave(j, before)
			}
		}
		delete(g.after, refs[0])
		delete(g.ask, refs[0])
	}
	return doomed
}

// Remove takes out a job that is over.
func (g *Graph) Remove(j *Job) {
	if g.jobs[j.Ref] == j {
		delete(g.jobs, j.Ref)
	}
}

// Leave notes that a job no longer waits for some others: those are as pressing as
// what is left makes them.
func (g *Graph) Leave(j *Job, awaits []string) {
	for _, p := range awaits {
		delete(g.after[p], j)
		if len(g.after[p]) == 0 {
			delete(g.after, p)
			delete(g.ask, p)
		}
		if b := g.jobs[p]; b != nil && !b.Over() {
			g.ease(b)
		}
	}
}

// press makes a job as pressing as one that waits for it, if it isn't already; it
// tells whether that changed anything.
func (g *Graph) press(j, by *Job) bool {
	changed := false
	if by.Urgency < j.Urgency {
		j.Urgency, changed = by.Urgency, true
	}
	stage := g.Stage(by)
	if by.Deadline > 0 {
		changed = j.takeLast(Last{by, stage}) || changed
	}
	if l := by.Last; l.Job != nil {
		changed = j.takeLast(Last{l.Job, l.Path + stage}) || changed
	}
	return changed
}

func (j *Job) takeLast(l Last) bool {
	if j.Last.Job != nil && !l.By(1).Before(j.Last.By(1)) {
		return false
	}
	j.Last = l
	return true
}

// pressOn passes on to the jobs before one, as far as they go, what makes it pressing.
func (g *Graph) pressOn(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		for _, p := range next[0].Awaits() {
			if b := g.jobs[p]; b != nil && g.press(b, next[0]) {
				next = append(next, b)
			}
		}
	}
}

// ease finds out anew what makes a job pressing, and those before it.
func (g *Graph) ease(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		b := next[0]
		urgency, last := b.Urgency, b.Last
		b.Urgency, b.Last = b.Priority, Last{}
		for _, c := range g.After(b.Ref) {
			g.press(b, c)
		}
		if b.Urgency == urgency && b.Last == last {
			continue
		}
		for _, p := range b.Awaits() {
			if a := g.jobs[p]; a != nil {
				next = append(next, a)
			}
		}
	}
}
