package pipeline

import "time"

// CriticalPath leads from a job to one of its direct and indirect dependents: of those with a
// deadline, to the one whose deadline leaves the job the least time.
type CriticalPath struct {
	Job    *Job          // the dependent with the deadline; nil: there is none
	Length time.Duration // total expected duration of the jobs on the path after the first one
}

// EndBy returns when the path's first job has to end for the last one to end within the given
// multiple of its deadline.
func (c CriticalPath) EndBy(times float64) time.Time {
	return c.Job.Submitted.Add(time.Duration(float64(c.Job.Deadline)*times) - c.Length)
}

// inheritUrgency passes the urgency and the critical path of a dependent on to a job, where they are
// more urgent than the job's own. It returns whether that changed anything.
func (g *Graph) inheritUrgency(j, dependent *Job) (changed bool) {
	if dependent.Urgency < j.Urgency {
		j.Urgency, changed = dependent.Urgency, true
	}
	duration := g.ExpectedDuration(dependent)
	if dependent.Deadline > 0 {
		changed = j.takeTighterPath(CriticalPath{dependent, duration}) || changed
	}
	if path := dependent.CriticalPath; path.Job != nil {
		changed = j.takeTighterPath(CriticalPath{path.Job, path.Length + duration}) || changed
	}
	return changed
}

// takeTighterPath makes a path the critical path if it leaves less time than the present one, and
// returns whether it did.
func (j *Job) takeTighterPath(path CriticalPath) bool {
	if j.CriticalPath.Job != nil && !path.EndBy(1).Before(j.CriticalPath.EndBy(1)) {
		return false
	}
	j.CriticalPath = path
	return true
}

// propagateUrgency passes a job's urgency and critical path on to its direct and indirect dependencies,
// as far as that changes theirs.
func (g *Graph) propagateUrgency(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		for _, ref := range next[0].Dependencies() {
			if dependency := g.jobs[ref]; dependency != nil && g.inheritUrgency(dependency, next[0]) {
				next = append(next, dependency)
			}
		}
	}
}

// recomputeUrgency recomputes a job's urgency and critical path from its dependents. Where they change,
// it goes on with the job's dependencies.
func (g *Graph) recomputeUrgency(j *Job) {
	for next := []*Job{j}; len(next) > 0; next = next[1:] {
		current := next[0]
		urgency, path := current.Urgency, current.CriticalPath
		current.Urgency, current.CriticalPath = current.Priority, CriticalPath{}
		for _, dependent := range g.Dependents(current.Ref) {
			g.inheritUrgency(current, dependent)
		}
		if current.Urgency == urgency && current.CriticalPath == path {
			continue
		}
		for _, ref := range current.Dependencies() {
			if dependency := g.jobs[ref]; dependency != nil {
				next = append(next, dependency)
			}
		}
	}
}
