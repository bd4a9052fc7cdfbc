package core

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// jobWrites tracks what the store doesn't hold yet of jobs, and what it still holds of jobs that
// are over.
type jobWrites struct {
	changed   map[*pipeline.Job]int // jobs that may have something to write, with their place in the order of changes
	changes   int                   // place of the latest change in that order
	lastWrite map[string]time.Time  // when a job's record was last written, or until when its writes are paused
	cleanup   []Write               // deletes of the remaining keys of jobs that are over
}

func newJobWrites() jobWrites {
	return jobWrites{changed: map[*pipeline.Job]int{}, lastWrite: map[string]time.Time{}}
}

// jobChanged records that a job may have something to write.
func (w *jobWrites) jobChanged(j *pipeline.Job) {
	if _, known := w.changed[j]; !known {
		w.changes++
		w.changed[j] = w.changes
	}
}

// jobOver records that the store holds a job's final entry. The job's remaining keys are deleted when
// there is nothing else to write.
func (w *jobWrites) jobOver(j *pipeline.Job) {
	delete(w.changed, j)
	delete(w.lastWrite, j.Ref)
	for c := 1; c*pipeline.ChunkTasks < len(j.Tasks); c++ {
		w.cleanup = append(w.cleanup, DeleteDoneRanges{Ref: j.Ref, Chunk: c})
	}
	hash, pages := j.DependencyPages()
	for i := range pages {
		w.cleanup = append(w.cleanup, DeleteDependencyPage{Ref: j.Ref, ListHash: hash, Page: i})
	}
}

// pending reports whether any job may have something to write.
func (w *jobWrites) pending() bool { return len(w.changed) > 0 }

// addCleanup adds deletes of the remaining keys of jobs that are over.
func (w *jobWrites) addCleanup(b *batch) {
	for _, key := range w.cleanup {
		if b.remaining > 0 {
			b.add(key)
		}
	}
}

// cleanedUp records that a key of a job that is over has been deleted.
func (w *jobWrites) cleanedUp(key Write) {
	if i := slices.Index(w.cleanup, key); i >= 0 {
		w.cleanup = slices.Delete(w.cleanup, i, i+1)
	}
}

// jobWriteNeed says what has to be written of a job that has changed.
type jobWriteNeed uint8

const (
	needsNothing  jobWriteNeed = iota
	needsLater                 // something, but not now
	needsProgress              // its record, with partial progress
	needsEnd                   // its final entry, in place of the record
)

// dueJobs holds the jobs of which something has to be written now.
type dueJobs struct {
	ends     []*pipeline.Job // final entries, in place of records
	progress []*pipeline.Job // records with partial progress
}

// due returns the jobs that are over and those whose progress is due to be written, each in the
// order in which they are to be written. The function needs returns what has to be written of a
// job; a job that needs nothing is forgotten until it changes again.
func (w *jobWrites) due(now time.Time, interval time.Duration, needs func(*pipeline.Job) jobWriteNeed) dueJobs {
	var due dueJobs
	for j := range w.changed {
		switch needs(j) {
		case needsNothing:
			delete(w.changed, j)
		case needsEnd:
			if !w.lastWrite[j.Ref].After(now) { // otherwise it was rejected and has to pause
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

// recordWriteStarted records that a job's record is being written.
func (w *jobWrites) recordWriteStarted(ref string, now time.Time) { w.lastWrite[ref] = now }

// pause holds writes of a job back until a time.
func (w *jobWrites) pause(ref string, until time.Time) { w.lastWrite[ref] = until }

// sortEnds puts the jobs first that were cancelled with a dependency. Until that is written, their
// users aren't told of it, and they mustn't be told for long that the jobs still wait
// (docs/design.md, safety argument 15; TestCancelledWithOthersAreWrittenFirst). The others follow,
// the one that changed first ahead.
func (w *jobWrites) sortEnds(ends []*pipeline.Job) {
	slices.SortFunc(ends, func(a, b *pipeline.Job) int {
		if cancelledWithDependency(a) != cancelledWithDependency(b) {
			return -falseFirst(cancelledWithDependency(a))
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

// cancelledWithDependency reports whether a job was cancelled with one of its dependencies and the
// store doesn't hold that yet.
func cancelledWithDependency(j *pipeline.Job) bool {
	return j.Phase() == pipeline.Cancelled && j.StoredPhase() != pipeline.Cancelled
}

// writeNeed returns what has to be written of a job.
func (e *Engine) writeNeed(j *pipeline.Job) jobWriteNeed {
	switch {
	case e.readyForFinalEntry(j):
		return needsEnd
	case j.Over() || !j.NeedsWrite():
		return needsNothing
	case e.cancellations.inTransaction(j.Ref):
		return needsLater // a new version of the record would only conflict with the cancellation
	case !j.RecordFits(e.cfg.MaxValueBytes):
		return needsLater // only its final entry is written; until then its workers keep its results
	}
	return needsProgress
}

// readyForFinalEntry reports whether a job's final entry can take the place of its record: all its
// tasks are done, or it is cancelled and nothing of it is left on any machine.
func (e *Engine) readyForFinalEntry(j *pipeline.Job) bool {
	switch j.Phase() {
	case pipeline.Done:
		return true
	case pipeline.Cancelled:
		return e.usage.ofJob(j.Ref).active() == 0
	}
	return false
}

// addJobEnds adds the final entries that take the place of jobs' records.
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

// addProgress adds records with partial progress, and the chunks of done ranges that have changed.
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

// forgetStoredResults lets workers forget the results that the store now holds (docs/design.md,
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
