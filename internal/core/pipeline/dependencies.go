package pipeline

import "time"

// dependencies are the jobs that a job depends on.
type dependencies struct {
	refs    []string        // in the order of the record; nil once the job isn't held any more
	open    map[string]bool // those of refs that aren't known to be done
	listSum string          // names the list's pages in the state service, if it has any
	pages   int             // how many pages
}

// restoreDependencies takes over what a record says of a job's dependencies.
func (j *Job) restoreDependencies(r *Record) {
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

// Dependencies lists the jobs that this one waits for: those that aren't known to be done.
func (j *Job) Dependencies() []string {
	out := make([]string, 0, len(j.dependencies.open))
	for _, ref := range j.dependencies.refs {
		if j.dependencies.open[ref] {
			out = append(out, ref)
		}
	}
	return out
}

// DependencyPages returns what names the pages with the dependencies that the job was submitted with,
// and how many there are: none if the list fits the job's record.
func (j *Job) DependencyPages() (sum string, pages int) {
	return j.dependencies.listSum, j.dependencies.pages
}

// DependencyDone notes that the state service holds that a dependency is done, and since when. It
// returns whether that was the last one, so that the job is ready.
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
	j.done.dirty[0] = true // the record is written, so that the next leader needn't look them up again
	return true
}

// CancelAsDependent cancels a job since one that it waits for is cancelled, and returns whether it did.
// No task of it has ever been started (docs/design.md, safety argument 15).
func (j *Job) CancelAsDependent(at time.Time) bool {
	if j.phase != Held || !j.setPhase(Cancelled) {
		return false
	}
	j.CancelAt = at
	return true
}
