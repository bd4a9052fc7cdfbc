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

// WritesPending tells whether a start or a job's end waits for a write.
func (e *Engine) WritesPending() bool {
	return e.startLog.pending() || e.jobWrites.pending() || e.drains.pending()
}

// Batch asks for the most urgent writes, at most `limit` puts and deletes: starts and
// jobs' ends, taking turns at going first (TestStartsAndEndsTakeTurns), then partial
// progress, and last what only tidies.
func (e *Engine) Batch(now time.Time, limit int) []Write {
	b := &batch{remaining: limit}
	e.drains.addWrites(now, b)
	due := e.dueJobWrites(now)
	e.jobEndsFirst = !e.jobEndsFirst
	if e.jobEndsFirst {
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
