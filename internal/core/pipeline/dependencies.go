package pipeline

import "time"

// dependencies holds the jobs that a job depends on.
type dependencies struct {
	refs     []string        // in the order of the record; nil once the job is no longer held
	open     map[string]bool // the refs that aren't known to be done
	listHash string          // identifies the list's pages in the state service, if it has any
	pages    int             // number of those pages
}

// restoreDependencies restores a job's dependencies from its record, without duplicates. A job that
// still waits for some of them becomes held.
func (j *Job) restoreDependencies(r *Record) {
	d := &j.dependencies
	d.pages, d.listHash = r.DependencyPages, r.DependencyListHash
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

// Dependencies lists the references of the jobs that this one waits for: its dependencies that
// aren't known to be done.
func (j *Job) Dependencies() []string {
	out := make([]string, 0, len(j.dependencies.open))
	for _, ref := range j.dependencies.refs {
		if j.dependencies.open[ref] {
			out = append(out, ref)
		}
	}
	return out
}

// DependencyPages returns the hash that identifies the pages with the dependencies that the job was
// submitted with, and the number of those pages, which is 0 if the list fits the job's record.
func (j *Job) DependencyPages() (hash string, pages int) {
	return j.dependencies.listHash, j.dependencies.pages
}

// DependencyDone records that a dependency is done, and since when, according to the state service.
// It returns whether that was the last open dependency, so that the job is now ready.
func (j *Job) DependencyDone(ref string, at time.Time) (ready bool) {
	if !j.dependencies.open[ref] {
		return false
	}
	delete(j.dependencies.open, ref)
	if at.After(j.ReadyAt) {
		j.ReadyAt = at
	}
	if len(j.dependencies.open) > 0 || !j.setPhase(Active) {
		return false
	}
	j.done.dirty[0] = true // so that the record is written, and the next leader needn't look them up again
	return true
}

// CancelAsDependent cancels a held job because one of its dependencies is cancelled, and returns
// whether it did. No task of a held job has ever been started (docs/design.md, safety argument 15).
func (j *Job) CancelAsDependent(at time.Time) bool {
	if j.phase != Held || !j.setPhase(Cancelled) {
		return false
	}
	j.CancelledAt = at
	return true
}
