package simulation

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// checker holds the rules of PROTOCOL against what happens.
type checker struct {
	w       *World
	on      map[string]map[*task]bool // tasks on machines, by name
	started int
	newest  uint64 // term of the leaders so far
	broken  error
	// attempts seen, to catch numbers used twice
	used map[string]*machine
	// starts that reached a machine after their job's user knew that it is cancelled
	startsCancelled   int
	waiting           map[*userJob]time.Time    // since when there was room, see checkStarvation
	preempted         map[string]bool           // tasks that are to stop for a job with a better claim
	preemptedAttempts map[string]bool           // the same by attempt: its start may arrive after the decision
	moves             int                       // of replicas by choice
	takenBack         int                       // tasks of borrowed jobs that were preempted
	newestAttempt     map[string]uint64         // of each task
	pacedSeconds      int                       // in which a term's pace was bounded
	pacedSince        time.Time                 // when the present one of them began
	pacedStarts       int                       // of bulk work in it
	pacedRate         float64                   // the highest pace in it
	moved             map[*userJob]map[int]bool // replicas stopped by choice and not running again
}

func newChecker(w *World) *checker {
	return &checker{w: w, on: map[string]map[*task]bool{}, used: map[string]*machine{}, waiting: map[*userJob]time.Time{}, moved: map[*userJob]map[int]bool{}, newestAttempt: map[string]uint64{}, preempted: map[string]bool{}, preemptedAttempts: map[string]bool{}}
}

func (c *checker) fail(format string, args ...any) {
	if c.broken == nil {
		c.broken = fmt.Errorf(format, args...)
	}
}

func taskName(t *task) string { return fleet.TaskID{Ref: t.job.spec.Ref, Task: t.index}.String() }

// taskStarted checks a task's start: ran_twice, wrong_place, quota, ran_cancelled.
func (c *checker) taskStarted(t *task) {
	c.started++
	c.progressed(t)
	key := taskName(t)
	for o := range c.on[key] {
		c.fail("ran_twice: %s starts on %s while on %s", key, t.m.name, o.m.name)
	}
	if m := c.used[taskKey(t.job.spec.Ref, t.index, t.attempt)]; m != nil {
		c.fail("attempt %d of %s used again", t.attempt, key)
	}
	c.used[taskKey(t.job.spec.Ref, t.index, t.attempt)] = t.m
	if c.on[key] == nil {
		c.on[key] = map[*task]bool{}
	}
	c.on[key][t] = true
	s := &t.job.spec
	if !s.AllowsType(t.m.typ) || (s.Zone != "" && s.Zone != t.m.zone) || (t.m.spot && !s.Spot) {
		c.fail("wrong_place: %s on %s (%s, %s, spot %v)", key, t.m.name, t.m.typ, t.m.zone, t.m.spot)
	}
	if !t.job.accepted && c.w.store.items["j/"+s.Ref] == nil && c.w.store.items["f/"+s.Ref] == nil {
		c.fail("%s starts, but its job isn't stored", key)
	}
	c.zones(t)
	c.quota(s.Team)
	for _, p := range t.job.dependencies {
		if f, over := c.final(p.spec.Ref); !over || f.Phase != pipeline.Done {
			c.fail("too_early: %s starts, and %s isn't stored as done", key, p.spec.Ref)
		}
	}
	c.goesOn(t, "starts")
}

func (c *checker) each(fn func(*task)) {
	for _, ts := range c.on {
		for t := range ts {
			fn(t)
		}
	}
}

func (c *checker) zones(t *task) {
	s := &t.job.spec
	here, other := 0, 0
	c.each(func(o *task) {
		if o.job == t.job {
			if o.m.zone == t.m.zone {
				here++
			} else {
				other++
			}
		}
	})
	if s.OneZone && other > 0 {
		c.fail("wrong_place: %s in %s while others are elsewhere", taskName(t), t.m.zone)
	}
	if s.Spread && here > (s.Tasks+1)/2 {
		c.fail("wrong_place: %d of %d tasks of %s in %s", here, s.Tasks, s.Ref, t.m.zone)
	}
}

func (c *checker) quota(team string) {
	var cpus, gpus float64
	c.each(func(o *task) {
		if o.job.spec.Team == team {
			cpus, gpus = cpus+o.job.spec.CPUs, gpus+o.job.spec.GPUs
		}
	})
	if !c.w.teams[team].Within(cpus, gpus) {
		c.fail("quota: %s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// leaders checks after each event that no two nodes may act at once, and none of an
// earlier term than one that could before.
func (c *checker) leaders() {
	var who *node
	for _, n := range c.w.nodes {
		switch {
		case !n.holdsLease():
		case who != nil:
			c.fail("two leaders: %s of term %d and %s of term %d", who.name, who.term.Number, n.name, n.term.Number)
		case n.term.Number < c.newest:
			c.fail("leader of the past: %s acts in term %d after term %d", n.name, n.term.Number, c.newest)
		default:
			who, c.newest = n, n.term.Number
		}
	}
}

func (c *checker) left(t *task) { delete(c.on[taskName(t)], t) }

// stored looks at each change to the store: a job over is never taken back.
func (c *checker) stored(changes []statestore.Op) {
	for _, ch := range changes {
		ref, ok := strings.CutPrefix(ch.Key, "f/")
		if !ok || ch.Delete {
			continue
		}
		f, _ := c.final(ref)
		j := c.w.jobs[ref]
		switch {
		case j == nil:
		case f.Phase == pipeline.Done && len(j.done) != j.spec.Tasks:
			c.fail("not_done: %s is stored as done with %d of %d tasks", ref, len(j.done), j.spec.Tasks)
		case f.Phase == pipeline.Cancelled && !j.mayBeCancelled():
			c.fail("went_back: %s is stored as cancelled, and nobody has asked for it", ref)
		}
	}
}

// final reads a job's final entry.
func (c *checker) final(ref string) (f pipeline.Final, over bool) {
	it := c.w.store.items["f/"+ref]
	if it == nil {
		return f, false
	}
	if err := codec.Unmarshal(it.value, &f); err != nil {
		c.fail("final entry of %s: %v", ref, err)
	}
	return f, true
}

// mayBeCancelled tells whether somebody has asked to cancel a job or one that it needs.
func (j *userJob) mayBeCancelled() bool {
	if j.cancelRequested {
		return true
	}
	for _, p := range j.dependencies {
		if p.mayBeCancelled() {
			return true
		}
	}
	return false
}

// orphan is a job that a job needs and whose user has known for too long that it
// is cancelled for the job still to be waiting.
func (c *checker) orphan(j *userJob, since time.Time) *userJob {
	for _, p := range j.dependencies {
		if p.reportedPhase == pipeline.Cancelled {
			from := p.cancelReportedAt
			if since.After(from) {
				from = since
			}
			if c.w.now.Sub(from) > c.w.options.CancelWithin {
				return p
			}
		}
		if o := c.orphan(p, since); o != nil {
			return o
		}
	}
	return nil
}

// told checks an answer to a user: forgotten, invented, not_done, went_back.
func (c *checker) told(j *userJob, v core.JobView, known bool) {
	ref := j.spec.Ref
	switch {
	case !known:
		c.fail("forgotten: %s", ref)
	case v.Phase == pipeline.Done && len(j.done) != j.spec.Tasks:
		c.fail("not_done: %s has %d of %d tasks", ref, len(j.done), j.spec.Tasks)
	case j.reportedPhase != pipeline.Active && v.Phase != j.reportedPhase:
		c.fail("went_back: %s from %v to %v", ref, j.reportedPhase, v.Phase)
	case v.Phase == pipeline.Cancelled && !j.mayBeCancelled():
		c.fail("went_back: %s cancelled by nobody", ref)
	}
	if v.Phase == pipeline.Active && len(j.dependencies) > 0 {
		if p := c.orphan(j, j.acceptedAt); p != nil {
			c.fail("orphaned: %s still waits, and %s has been cancelled since %s", ref, p.spec.Ref, p.cancelReportedAt.Sub(c.w.start))
		}
	}
	if v.Phase == pipeline.Cancelled && j.reportedPhase != pipeline.Cancelled {
		j.cancelReportedAt = c.w.now
		c.w.script.cancellationConfirmed(j)
		c.w.after(c.w.options.CancelWithin, func() {
			c.each(func(t *task) {
				if t.job == j {
					c.fail("ran_cancelled: %s is on %s", taskName(t), t.m.name)
				}
			})
		})
	}
	if j.reportedPhase != v.Phase {
		j.reportedAt = c.w.now
	}
	j.reportedPhase = v.Phase
}

// rememberedWithin is how long all questions about a job may fail once all
// faults are over.
const rememberedWithin = 75 * time.Second

// remembered checks, at a question about a job, that some are answered.
func (c *checker) remembered(j *userJob) {
	from := c.w.faultsEndedAt
	if j.lastAnsweredAt.After(from) {
		from = j.lastAnsweredAt
	}
	if !c.w.faultsEndedAt.IsZero() && c.w.now.Sub(from) > rememberedWithin {
		c.fail("forgotten: no question about %s was answered for %s", j.spec.Ref, c.w.now.Sub(from))
	}
}

// atEnd checks that after the drain nothing accepted was left undone.
func (c *checker) atEnd() error {
	if c.started == 0 {
		return errors.New("nothing_ran")
	}
	for _, j := range c.w.sortedJobs() {
		if (c.w.options.Jobs > 0 || c.w.options.ShortLease) && j.accepted && !j.failsAlways && j.reportedPhase == pipeline.Active && j.spec.Shape != pipeline.Service {
			return fmt.Errorf("seed %d: job %s never came to an end: %+v", c.w.options.Seed, j.spec.Ref, j.spec)
		}
	}
	return nil
}
