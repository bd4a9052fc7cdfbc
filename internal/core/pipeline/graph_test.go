package pipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// lineOf is a graph in the making, with what is known of it by brute force.
type lineOf struct {
	t     *testing.T
	g     *Graph
	jobs  []*Job // as submitted; each waits for some before it
	needs [][]int
	known []bool // taken in by the graph
}

func stage(j *Job) time.Duration { return j.Estimate }

// needed tells whether one job needs another, directly or through others that are
// known by now.
func (l *lineOf) needed(by, of int) bool {
	for _, k := range l.needs[by] {
		if k == of || l.known[k] && l.needed(k, of) {
			return true
		}
	}
	return false
}

// longest is the longest way from the end of one job to the end of another that
// needs it, over jobs that aren't over.
func (l *lineOf) longest(from, to int) time.Duration {
	best := time.Duration(-1)
	for _, k := range l.needs[to] {
		if l.jobs[to].Over() {
			continue
		}
		way := time.Duration(0)
		if k != from {
			if !l.known[k] {
				continue
			}
			if way = l.longest(from, k); way < 0 {
				continue
			}
		}
		best = max(best, way+l.jobs[to].Estimate)
	}
	return best
}

// check compares every job with what brute force says of it.
func (l *lineOf) check(cancelled, done map[int]bool) {
	for i, j := range l.jobs {
		if !l.known[i] {
			continue
		}
		want := l.phaseOf(i, cancelled, done)
		if j.Phase() != want && !j.Over() || want == Cancelled && j.Phase() != Cancelled {
			l.t.Fatalf("%s is in phase %d, want %d", j.Ref, j.Phase(), want)
		}
		if j.Over() {
			continue
		}
		urgency, by := l.wantedOf(i)
		if j.Urgency != urgency {
			l.t.Fatalf("%s has urgency %d, want %d", j.Ref, j.Urgency, urgency)
		}
		if have := j.CriticalPath; by.IsZero() != (have.Job == nil) || have.Job != nil && !have.EndBy(1).Equal(by) {
			l.t.Fatalf("%s must end by %v, want %v", j.Ref, have, by)
		}
	}
}

// phaseOf is the phase that a job has to be in, unless it is over.
func (l *lineOf) phaseOf(i int, cancelled, done map[int]bool) Phase {
	for k := range l.jobs[:i] {
		if l.needed(i, k) && cancelled[k] {
			return Cancelled
		}
	}
	for _, k := range l.needs[i] {
		if !done[k] {
			return Held
		}
	}
	return Active
}

// wantedOf is how urgent a job is for its dependents' sake, and when it has to end for them.
func (l *lineOf) wantedOf(i int) (urgency Priority, by time.Time) {
	urgency = l.jobs[i].Priority
	for k := i + 1; k < len(l.jobs); k++ {
		c := l.jobs[k]
		if !l.known[k] || c.Over() || !l.needed(k, i) {
			continue
		}
		urgency = min(urgency, c.Priority)
		way := l.longest(i, k)
		if c.Deadline == 0 || way < 0 {
			continue
		}
		if at := c.Submitted.Add(c.Deadline - way); by.IsZero() || at.Before(by) {
			by = at
		}
	}
	return urgency, by
}

// TestGraph: whatever the order in which jobs come, end and are cancelled, a job is
// ready exactly when all its dependencies are done, is cancelled exactly when one of them
// is, and is as urgent as its most urgent dependent.
func TestGraph(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := 2 + rng.IntN(12)
		l := &lineOf{t: t, g: NewGraph(stage), known: make([]bool, n)}
		for i := range n {
			var needs []int
			var refs []string
			for k := range i {
				if rng.IntN(3) == 0 {
					needs, refs = append(needs, k), append(refs, l.jobs[k].Ref)
				}
			}
			s := Spec{Ref: fmt.Sprintf("j-%d", i), Tasks: 1, Priority: Priority(rng.IntN(4)), Estimate: time.Duration(1+rng.IntN(60)) * time.Second}
			if rng.IntN(3) == 0 {
				s.Deadline = time.Duration(1+rng.IntN(200)) * time.Second
			}
			j, err := NewJob(Record{Spec: s, SubmittedMS: int64(1+rng.IntN(100)) * 1000, Dependencies: refs}, 1, nil)
			if err != nil {
				t.Fatal(err)
			}
			l.jobs, l.needs = append(l.jobs, j), append(l.needs, needs)
		}
		cancelled, done := map[int]bool{}, map[int]bool{}
		for _, i := range rng.Perm(n) { // as a snapshot may bring them
			l.g.Add(l.jobs[i])
			l.known[i] = true
			l.check(cancelled, done)
		}
		for range 3 * n {
			i := rng.IntN(n)
			j := l.jobs[i]
			switch {
			case j.Over():
			case rng.IntN(6) == 0:
				dependencies := j.Dependencies()
				j.Cancel(time.Unix(1, 0))
				l.g.RemoveDependencies(j, dependencies)
				cancelled[i] = true
				l.g.JobCancelled(j.Ref, time.Unix(1, 0))
			case j.Phase() == Active:
				j.Finish(0)
				j.CompleteIfDone()
				done[i] = true
				l.g.JobDone(j.Ref, time.Time{})
				l.g.Remove(j)
			}
			l.check(cancelled, done)
		}
	}
}

// TestAskOnce: of the jobs waited for, those are asked about of which nothing is
// known, each once, and again only if nothing could be learnt.
func TestAskOnce(t *testing.T) {
	g := NewGraph(stage)
	for i, refs := range [][]string{nil, {"j-0", "j-8"}, {"j-8", "j-9"}} {
		j, err := NewJob(Record{Spec: Spec{Ref: fmt.Sprintf("j-%d", i), Tasks: 1}, Dependencies: refs}, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		g.Add(j)
	}
	if a, b := g.ToLookUp(1), g.ToLookUp(9); len(a) != 1 || a[0] != "j-8" || len(b) != 1 || b[0] != "j-9" {
		t.Fatalf("asked for %v, %v", a, b)
	}
	g.LookUpAgain("j-9")
	g.JobDone("j-9", time.Time{})
	g.LookUpAgain("j-8")
	if a := g.ToLookUp(9); len(a) != 1 || a[0] != "j-8" {
		t.Fatalf("asked again for %v", a)
	}
}

// The moment at which the last job before it ended is when a job's times begin,
// and the next leader reads it from its record.
func TestTimesBeginWithTheLastEnd(t *testing.T) {
	j, err := NewJob(Record{Spec: Spec{Ref: "j-1", Tasks: 2}, SubmittedMS: 5000, Dependencies: []string{"j-2", "j-3", "j-2"}}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	first, second := j.DependencyDone("j-2", time.UnixMilli(9000)), j.DependencyDone("j-2", time.UnixMilli(9000))
	if first || second || !j.DependencyDone("j-3", time.UnixMilli(7000)) {
		t.Fatal("ready at the wrong moment")
	}
	again, err := NewJob(j.Record(4000), 2, nil)
	if err != nil || again.Phase() != Active || again.Since.UnixMilli() != 9000 || again.Submitted.UnixMilli() != 5000 {
		t.Fatalf("%+v, %v", again, err)
	}
}
