package drain

import (
	"cmp"
	"maps"
	"slices"
)

// Totals holds how many interruptions of a scope's jobs this leader knows of, by kind.
type Totals struct {
	Voluntary   int `json:"voluntary"`
	Involuntary int `json:"involuntary"`
}

// chargeIndex finds charges by task and by job.
type chargeIndex struct {
	byTask       map[TaskKey][]*Charge
	tasksByJob   map[string]map[int]bool
	finishedJobs map[string]bool // jobs with charges whose tasks can't be interrupted again
}

func newChargeIndex() chargeIndex {
	return chargeIndex{
		byTask:       map[TaskKey][]*Charge{},
		tasksByJob:   map[string]map[int]bool{},
		finishedJobs: map[string]bool{},
	}
}

func (x *chargeIndex) add(c *Charge) {
	x.byTask[c.TaskKey] = append(x.byTask[c.TaskKey], c)
	if x.tasksByJob[c.Job] == nil {
		x.tasksByJob[c.Job] = map[int]bool{}
	}
	x.tasksByJob[c.Job][c.Task] = true
}

func (x *chargeIndex) remove(c *Charge) {
	charges := slices.DeleteFunc(x.byTask[c.TaskKey], func(o *Charge) bool { return o == c })
	if len(charges) > 0 {
		x.byTask[c.TaskKey] = charges
		return
	}
	delete(x.byTask, c.TaskKey)
	delete(x.tasksByJob[c.Job], c.Task)
	if len(x.tasksByJob[c.Job]) == 0 {
		delete(x.tasksByJob, c.Job)
		delete(x.finishedJobs, c.Job)
	}
}

// find returns the charge of an attempt, or nil if it has none.
func (x *chargeIndex) find(task TaskKey, attempt uint64) *Charge {
	for _, c := range x.byTask[task] {
		if c.Attempt == attempt {
			return c
		}
	}
	return nil
}

// otherInterruptions counts the charges of a task's other attempts.
func (x *chargeIndex) otherInterruptions(t TaskAttempt) int {
	n := 0
	for _, c := range x.byTask[t.TaskKey] {
		if c.Attempt != t.Attempt {
			n++
		}
	}
	return n
}

// open lists the open charges, sorted by job, task and attempt.
func (x *chargeIndex) open() []*Charge {
	var out []*Charge
	for _, charges := range x.byTask {
		for _, c := range charges {
			if c.Open() {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Charge) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}

func (x *chargeIndex) jobs() []string { return slices.Sorted(maps.Keys(x.tasksByJob)) }

func (x *chargeIndex) tasks(job string) []int { return slices.Sorted(maps.Keys(x.tasksByJob[job])) }

// jobFinished records that the tasks of a job can't be interrupted again.
func (x *chargeIndex) jobFinished(job string) {
	if x.tasksByJob[job] != nil {
		x.finishedJobs[job] = true
	}
}
