package pipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// graphModel is a graph with the jobs that are added to it one by one. It computes by brute force
// what the graph should say of them.
type graphModel struct {
	t            *testing.T
	g            *Graph
	jobs         []*Job  // in the order of their submission
	dependencies [][]int // by job: the jobs before it that it depends on
	known        []bool  // by job: whether it was added to the graph
}

// estimate is the expected duration of a job in these tests.
func estimate(j *Job) time.Duration { return j.Estimate }

// dependsOn reports whether one job depends on another, directly or through others that were added.
func (m *graphModel) dependsOn(job, other int) bool {
	for _, k := range m.dependencies[job] {
		if k == other || m.known[k] && m.dependsOn(k, other) {
			return true
		}
	}
	return false
}

// longestPath returns the expected time from the end of one job to the end of another that depends on
// it, along the longest path over jobs that aren't over; negative if there is no path.
func (m *graphModel) longestPath(from, to int) time.Duration {
	best := time.Duration(-1)
	for _, k := range m.dependencies[to] {
		if m.jobs[to].Over() {
			continue
		}
		length := time.Duration(0)
		if k != from {
			if !m.known[k] {
				continue
			}
			if length = m.longestPath(from, k); length < 0 {
				continue
			}
		}
		best = max(best, length+m.jobs[to].Estimate)
	}
	return best
}

// check compares each job that was added with what the model expects.
func (m *graphModel) check(cancelled, done map[int]bool) {
	for i, j := range m.jobs {
		if !m.known[i] {
			continue
		}
		want := m.phaseOf(i, cancelled, done)
		if j.Phase() != want && !j.Over() || want == Cancelled && j.Phase() != Cancelled {
			m.t.Fatalf("%s is in phase %d, want %d", j.Ref, j.Phase(), want)
		}
		if j.Over() {
			continue
		}
		urgency, endBy := m.wantedUrgency(i)
		if j.Urgency != urgency {
			m.t.Fatalf("%s has urgency %d, want %d", j.Ref, j.Urgency, urgency)
		}
		if have := j.CriticalPath; endBy.IsZero() != (have.Job == nil) || have.Job != nil && !have.EndBy(1).Equal(endBy) {
			m.t.Fatalf("%s must end by %v, want %v", j.Ref, have, endBy)
		}
	}
}

// phaseOf returns the phase that a job has to be in, unless it is already over.
func (m *graphModel) phaseOf(i int, cancelled, done map[int]bool) Phase {
	for k := range m.jobs[:i] {
		if m.dependsOn(i, k) && cancelled[k] {
			return Cancelled
		}
	}
	for _, k := range m.dependencies[i] {
		if !done[k] {
			return Held
		}
	}
	return Active
}

// wantedUrgency returns a job's urgency, and when it has to end for its dependents' deadlines; zero if
// none has a deadline.
func (m *graphModel) wantedUrgency(i int) (urgency Priority, endBy time.Time) {
	urgency = m.jobs[i].Priority
	for k := i + 1; k < len(m.jobs); k++ {
		c := m.jobs[k]
		if !m.known[k] || c.Over() || !m.dependsOn(k, i) {
			continue
		}
		urgency = min(urgency, c.Priority)
		length := m.longestPath(i, k)
		if c.Deadline == 0 || length < 0 {
			continue
		}
		if at := c.Submitted.Add(c.Deadline - length); endBy.IsZero() || at.Before(endBy) {
			endBy = at
		}
	}
	return urgency, endBy
}

// In whatever order jobs are added, end and are cancelled: a job is ready if and only if all its
// dependencies are done, is cancelled if a direct or indirect dependency is, and is as urgent as the
// most urgent one among itself and its dependents. Guards against jobs that start too early or
// never, and against urgent jobs that wait for dependencies with a low urgency.
func TestGraph(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := 2 + rng.IntN(12)
		m := &graphModel{t: t, g: NewGraph(estimate), known: make([]bool, n)}
		for i := range n {
			var dependencies []int
			var refs []string
			for k := range i {
				if rng.IntN(3) == 0 {
					dependencies, refs = append(dependencies, k), append(refs, m.jobs[k].Ref)
				}
			}
			s := Spec{Ref: fmt.Sprintf("j-%d", i), Tasks: 1, Priority: Priority(rng.IntN(4)),
				Estimate: time.Duration(1+rng.IntN(60)) * time.Second}
			if rng.IntN(3) == 0 {
				s.Deadline = time.Duration(1+rng.IntN(200)) * time.Second
			}
			j, err := NewJob(Record{Spec: s, SubmittedMS: int64(1+rng.IntN(100)) * 1000, Dependencies: refs}, 1, nil)
			if err != nil {
				t.Fatal(err)
			}
			m.jobs, m.dependencies = append(m.jobs, j), append(m.dependencies, dependencies)
		}
		cancelled, done := map[int]bool{}, map[int]bool{}
		for _, i := range rng.Perm(n) { // a snapshot may have them in any order
			m.g.Add(m.jobs[i])
			m.known[i] = true
			m.check(cancelled, done)
		}
		for range 3 * n {
			i := rng.IntN(n)
			j := m.jobs[i]
			switch {
			case j.Over():
			case rng.IntN(6) == 0:
				dependencies := j.Dependencies()
				j.Cancel(time.Unix(1, 0))
				m.g.RemoveDependencies(j, dependencies)
				cancelled[i] = true
				m.g.JobCancelled(j.Ref, time.Unix(1, 0))
			case j.Phase() == Active:
				j.Finish(0)
				j.CompleteIfDone()
				done[i] = true
				m.g.JobDone(j.Ref, time.Time{})
				m.g.Remove(j)
			}
			m.check(cancelled, done)
		}
	}
}

// Each unknown dependency is looked up once, and again only if the look-up has failed. Guards against
// dependents that wait forever, and against endless requests.
func TestLookUpOnce(t *testing.T) {
	g := NewGraph(estimate)
	for i, refs := range [][]string{nil, {"j-0", "j-8"}, {"j-8", "j-9"}} {
		j, err := NewJob(Record{Spec: Spec{Ref: fmt.Sprintf("j-%d", i), Tasks: 1}, Dependencies: refs}, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		g.Add(j)
	}
	if a, b := g.ToLookUp(1), g.ToLookUp(9); len(a) != 1 || a[0] != "j-8" || len(b) != 1 || b[0] != "j-9" {
		t.Fatalf("looked up %v, %v", a, b)
	}
	g.LookUpAgain("j-9")
	g.JobDone("j-9", time.Time{})
	g.LookUpAgain("j-8")
	if a := g.ToLookUp(9); len(a) != 1 || a[0] != "j-8" {
		t.Fatalf("looked up again %v", a)
	}
}

// A job counts as ready since the end of its last dependency, also for a new leader, which reads that
// from the record. Guards against objectives that include the time in which a job was held.
func TestTimesBeginWithTheLastEnd(t *testing.T) {
	dependencies := []string{"j-2", "j-3", "j-2"}
	j, err := NewJob(Record{Spec: Spec{Ref: "j-1", Tasks: 2}, SubmittedMS: 5000, Dependencies: dependencies}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	first, second := j.DependencyDone("j-2", time.UnixMilli(9000)), j.DependencyDone("j-2", time.UnixMilli(9000))
	if first || second || !j.DependencyDone("j-3", time.UnixMilli(7000)) {
		t.Fatal("ready at the wrong moment")
	}
	again, err := NewJob(j.Record(4000), 2, nil)
	if err != nil || again.Phase() != Active || again.ReadyAt.UnixMilli() != 9000 || again.Submitted.UnixMilli() != 5000 {
		t.Fatalf("%+v, %v", again, err)
	}
}
