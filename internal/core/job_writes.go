package core

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// jobWrites is what the store doesn't hold yet of jobs, and what it still holds of jobs
// that are over.
type jobWrites struct {
	changed   map[*pipeline.Job]int // jobs with something that may have to be written, in order of change
	changes   int                   // counts the changes
	lastWrite map[string]time.Time  // when a job's record was last written, or until when it isn't tried again
	cleanup   []Write               // deletes of further keys of jobs that are over
}

func newJobWrites() jobWrites {
	return jobWrites{changed: map[*pipeline.Job]int{}, lastWrite: map[string]time.Time{}}
}

// jobChanged notes that something of a job may have to be written.
func (w *jobWrites) jobChanged(j *pipeline.Job) {
	if _, known := w.changed[j]; !known {
		w.changes++
		w.changed[j] = w.changes
	}
}

// jobOver notes that the store holds a job's final entry. Its further keys are deleted
// when there is nothing else to write.
func (w *jobWrites) jobOver(j *pipeline.Job) {
	delete(w.changed, j)
	delete(w.lastWrite, j.Ref)
	for c := 1; c*pipeline.ChunkTasks < len(j.Tasks); c++ {
		w.cleanup = append(w.cleanup, DeleteDoneRanges{Ref: j.Ref, Chunk: c})
	}
	sum, pages := j.DependencyPages()
	for i := range pages {
		w.cleanup = append(w.cleanup, DeleteDependencyPage{Ref: j.Ref, ListSum: sum, Page: i})
	}
}

// pending reports whether anything of a job waits for a write.
func (w *jobWrites) pending() bool { return len(w.changed) > 0 }

// addCleanup adds deletes of keys of jobs that are over.
func (w *jobWrites) addCleanup(b *batch) {
	for _, key := range w.cleanup {
		if b.remaining > 0 {
			b.add(key)
		}
	}
}

// cleanedUp notes that a key of a job that is over is deleted.
func (w *jobWrites) cleanedUp(key Write) {
	if i := slices.Index(w.cleanup, key); i >= 0 {
		w.cleanup = slices.Delete(w.cleanup, i, i+1)
	}
}

// jobWriteNeed is what is to be written of a job that has changed.
type jobWriteNeed uint8

const (
	needsNothing  jobWriteNeed = iota
	needsLater                 // something, but not now
	needsProgress              // its record, with partial progress
	needsEnd                   // its final entry, in place of the record
)

// dueJobs are the jobs of which something is to be written now.
type dueJobs struct {
	ends     []*pipeline.Job // final entries, in place of records
	progress []*pipeline.Job // records with partial progress
}

// due are the jobs that are over, and those of which progress is due to be written, in the order
// in which they are to be written. Needs tells what is to be written of a job.
func (w *jobWrites) due(now time.Time, interval time.Duration, needs func(*pipeline.Job) jobWriteNeed) dueJobs {
	var due dueJobs
	for j := range w.changed {
		switch needs(j) {
		case needsNothing:
			delete(w.changed, j)
		case needsEnd:
			if !w.lastWrite[j.Ref].After(now) { // else it was refused
				due.ends = append(due.ends, j)
			}
		case needsProgress:
			if now.Sub(w.lastWrite[j.Ref]) >= interval {
				due.progress = append(due.progress, j)
			}
		case needsLater:
		}
	}
	w.sortEnds(due.ends)
	w.sortProgress(due.progress)
	return due
}

// recordWritten notes that a job's record is on its way.
func (w *jobWrites) recordWritten(ref string, now time.Time) { w.lastWrite[ref] = now }

// pause has nothing of a job written for a while.
func (w *jobWrites) pause(ref string, until time.Time) { w.lastWrite[ref] = until }

// sortEnds puts those jobs first that are cancelled with others: their users are told
// nothing until that is written, and can't be told for long that they wait (docs/design.md,
// safety argument 15; TestCancelledWithOthersAreWrittenFirst). Of the others, what has
// waited longest comes first.
func (w *jobWrites) sortEnds(ends []*pipeline.Job) {
	slices.SortFunc(ends, func(a, b *pipeline.Job) int {
		if cancelledWithOthers(a) != cancelledWithOthers(b) {
			return -falseFirst(cancelledWithOthers(a))
		}
		return cmp.Compare(w.changed[a], w.changed[b])
	})
}

// sortProgress puts the job first whose record was written longest ago.
func (w *jobWrites) sortProgress(progress []*pipeline.Job) {
	slices.SortFunc(progress, func(a, b *pipeline.Job) int {
		return cmp.Or(w.lastWrite[a.Ref].Compare(w.lastWrite[b.Ref]), cmp.Compare(w.changed[a], w.changed[b]))
	})
}

// cancelledWithOthers reports whether a job is cancelled with one of its dependencies, and
// the store doesn't hold that yet.
func cancelledWithOthers(j *pipeline.Job) bool {
	return j.Phase() == pipeline.Cancelled && j.StoredPhase() != pipeline.Cancelled
}

// writeNeed is what is to be written of a job.
func (e *Engine) writeNeed(j *pipeline.Job) jobWriteNeed {
	switch {
	case e.over(j):
		return needsEnd
	case j.Over() || !j.NeedsWrite():
		return needsNothing
	case e.cancellations.inTransaction(j.Ref):
		return needsLater // a new version of the record would only be in the cancellation's way
	case !j.RecordFits(e.cfg.MaxValueBytes):
		return needsLater // only its end is written; until then its workers keep its results
	}
	return needsProgress
}

// over reports whether a job's final entry can take the place of its record: all
// done, or cancelled with nothing left on any machine.
func (e *Engine) over(j *pipeline.Job) bool {
	switch j.Phase() {
	case pipeline.Done:
		return true
	case pipeline.Cancelled:
		return e.usage.ofJob(j.Ref).active() == 0
	}
	return false
}

// addJobEnds adds final entries that take the place of jobs' records.
func (e *Engine) addJobEnds(now time.Time, b *batch, ends []*pipeline.Job) {
	for _, j := range ends {
		f := j.FinalEntry()
		if e.graph.HasDependents(j.Ref) {
			f.EndMS = now.UnixMilli()
		}
		w := PutFinal{Ref: j.Ref, Version: j.Version, Final: f}
		if w.ops() > b.remaining {
			return
		}
		b.add(w)
	}
}

// addProgress adds records with partial progress, and done ranges that have changed.
func (e *Engine) addProgress(b *batch, progress []*pipeline.Job) {
	limit := e.cfg.MaxValueBytes
	for _, j := range progress {
		if b.remaining <= 0 {
			return
		}
		b.add(PutJob{Ref: j.Ref, Version: j.Version, Record: j.Record(limit)})
		chunks := j.DirtyChunks()
		slices.Sort(chunks)
		for _, c := range chunks {
			if c > 0 && b.remaining > 0 {
				b.add(PutDoneRanges{Ref: j.Ref, Chunk: c, Runs: pipeline.TruncateRuns(j.DoneRuns(c), limit)})
			}
		}
	}
}

// forgetStoredResults lets workers forget results that the store now holds (docs/design.md,
// safety argument 7; TestForgetOnlyAfterWritten).
func (e *Engine) forgetStoredResults(j *pipeline.Job) {
	for a := range e.usage.ofJob(j.Ref).results {
		if j.StoredPhase() == pipeline.Done || j.StoredPhase() == pipeline.Cancelled || j.ResultStored(a.Task) {
			a.ExitHandled = true
			e.usage.removeResult(a)
		}
	}
	e.forgetUsage(j.Ref)
}
