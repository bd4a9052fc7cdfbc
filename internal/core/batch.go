package core

import "time"

// batch collects the writes of one transaction, up to a limit of puts and deletes.
type batch struct {
	writes    []Write
	remaining int // puts and deletes that may still be added
}

func (b *batch) add(w Write) {
	b.writes = append(b.writes, w)
	b.remaining -= w.ops()
}

func (b *batch) empty() bool { return len(b.writes) == 0 }

// batchState remembers what went first in the last batch, and how the last batch ended.
type batchState struct {
	jobEndsFirst bool // jobs' final entries went before starts in the last batch
	failing      bool // the last batch failed
}

// endsFirst reports whether jobs' final entries go before starts in the batch that is being made.
// It is called once for each batch and alternates.
func (t *batchState) endsFirst() bool {
	t.jobEndsFirst = !t.jobEndsFirst
	return t.jobEndsFirst
}

// finished notes whether a batch was written.
func (t *batchState) finished(ok bool) { t.failing = !ok }

// WritesPending reports whether starts, jobs or drains have changes that aren't written yet.
func (e *Engine) WritesPending() bool {
	return e.startLog.pending() || e.jobWrites.pending() || e.drains.pending()
}

// Batch returns the most urgent writes, at most `limit` puts and deletes: those of drains, then
// starts and jobs' final entries, which take turns at going first (TestStartsAndEndsTakeTurns),
// then the progress of unfinished jobs. Cleanup is added only if there is nothing else, and the
// image log comes last.
func (e *Engine) Batch(now time.Time, limit int) []Write {
	b := &batch{remaining: limit}
	e.drains.addWrites(now, b)
	due := e.jobWrites.due(now, e.cfg.ProgressInterval, e.writeNeed)
	if e.batches.endsFirst() {
		e.addJobEnds(now, b, due.ends)
		e.startLog.addWrites(b)
	} else {
		e.startLog.addWrites(b)
		e.addJobEnds(now, b, due.ends)
	}
	e.addProgress(b, due.progress)
	if b.empty() {
		e.jobWrites.addCleanup(b)
		e.startLog.addTrim(now, b)
	}
	e.images.addWrite(now, b)
	return b.writes
}
