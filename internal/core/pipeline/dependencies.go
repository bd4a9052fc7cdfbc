package pipeline

import "time"

// dependencies are the jobs that a job depends on.
type dependencies struct {
	refs    []string        // while the job is held
	open    map[string]bool // those of refs that aren't known to be done
	listSum string          // names the list in the store, if it has pages of its own
	pages   int             // how many of them
}

// loadDependencies takes over what a record says of a job's dependencies.
func (j *Job) loadDependencies(r *Record) {
	d := &j.dependencies
	d.pages, d.listSum = r.DependencyPages, r.DependencyListSum
	if !r.Held() {
		return
	}
	j.phase, j.storedPhase = Held, Held
	d.open = map[string]bool{}
	for _, ref := range r.Dependencies {
		if !d.open[ref] {
			d.open[ref] = true
			d.refs = append(d.refs, ref)
		}
	}
}

// Dependencies lists the jobs that the job waits for and that aren't known to be done.
func (j *Job) Dependencies() []string {
	out := make([]string, 0, len(j.dependencies.open))
	for _, p := range j.dependencies.refs {
		if j.dependencies.open[p] {
			out = append(out, p)
		}
	}
	return out
}

// DependencyPages names the pages of the list of dependencies that it was submitted with;
// there are none if the list fits its record.
func (j *Job) DependencyPages() (sum string, pages int) {
	return j.dependencies.listSum, j.dependencies.pages
}

// DependencyDone notes that the store holds that a dependency is done, and since when. It
// tells whether that was the last one, so that the job is ready.
func (j *Job) DependencyDone(ref string, at time.Time) (ready bool) {
	if !j.dependencies.open[ref] {
		return false
	}
	delete(j.dependencies.open, ref)
	if at.After(j.Since) {
		j.Since = at
	}
	if len(j.dependencies.open) > 0 || !j.setPhase(Active) {
		return false
	}
	j.done.dirty[0] = true // so that the next leader needn't ask again
	return true
}

// CancelAsDependent cancels a job that waits for one that is cancelled. No task of it has
// ever been started (docs/design.md, safety argument 15).
func (j *Job) CancelAsDependent(at time.Time) bool {
	if j.phase != Held || !j.setPhase(Cancelled) {
		return false
	}
	j.CancelAt = at
	return true
}
