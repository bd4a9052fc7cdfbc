package core

import "time"

// batch collects writes for one transaction, up to a limit of puts and deletes.
type batch struct {
	writes    []Write
	remaining int // puts and deletes that may be added
}

func (b *batch) add(w Write) {
	b.writes = append(b.writes, w)
	b.remaining -= w.ops()
}

func (b *batch) empty() bool { return len(b.writes) == 0 }

// batchTurns is whose turn it is in the next batch, and how the last one ended.
type batchTurns struct {
	jobEndsFirst bool
	failing      bool // the last batch wasn't written
}

// endsFirst reports whether the ends of jobs go before starts in the batch that is being made;
// they take turns.
func (t *batchTurns) endsFirst() bool {
	t.jobEndsFirst = !t.jobEndsFirst
	return t.jobEndsFirst
}

// finished notes how a batch has ended.
func (t *batchTurns) finished(ok bool) { t.failing = !ok }

// WritesPending reports whether a start or a job's end waits for a write.
func (e *Engine) WritesPending() bool {
	return e.startLog.pending() || e.jobWrites.pending() || e.drains.pending()
}

// Batch asks for the most urgent writes, at most `limit` puts and deletes: starts and
// jobs' ends, taking turns at going first (TestStartsAndEndsTakeTurns), then partial
// progress, and last what only tidies.
func (e *Engine) Batch(now time.Time, limit int) []Write {
	b := &batch{remaining: limit}
	e.drains.addWrites(now, b)
	due := e.jobWrites.due(now, e.cfg.BatchInterval, e.writeNeed)
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
