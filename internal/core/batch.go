package core

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// WriteKind says what a write is about.
type WriteKind uint8

// Kinds of writes.
const (
	WritePage        WriteKind = iota // a page of the start log
	DropPage                          // a page on which nothing is left
	WriteJob                          // a job's record
	WriteChunk                        // further done ranges of a job
	WriteFinal                        // a job's final entry, in place of its record
	DropChunk                         // done ranges of a job that is over
	WriteImages                       // a page of the image log
	DropImages                        // one that speaks of no machine any more
	DropDependencies                  // a page of a long list of dependencies
	WriteCharges                      // a page of the drains' charges
	DropCharges                       // one that counts nowhere any more
	WriteCordons                      // a page with the states of machines in drains
	DropCordons                       // one that names no machine any more
)

// Write is one change to the store. Its condition is Version (0: the key
// doesn't exist); chunks are covered by the version of their job's record.
type Write struct {
	Kind    WriteKind
	Name    string // job or page
	Chunk   int
	Sum     string // which list a page of dependencies belongs to
	Version uint64
	Page    fleet.StartLogRecord
	Job     pipeline.Record
	Final   pipeline.Final
	Runs    []int
	Images  fleet.ImageRecord
	Charges drain.ChargePage
	Cordons drain.MachinePage
}

// changes is how many puts and drops the write makes.
func (w *Write) changes() int {
	if w.Kind == WriteFinal {
		return 2 // puts the final entry and drops the record
	}
	return 1
}

// batch collects writes for one transaction, up to a limit of puts and drops.
type batch struct {
	writes    []Write
	remaining int // puts and drops that may be added
}

func (b *batch) add(w Write) {
	b.writes = append(b.writes, w)
	b.remaining -= w.changes()
}

func (b *batch) empty() bool { return len(b.writes) == 0 }

// WritesPending tells whether a start or a job's end waits for a write.
func (e *Engine) WritesPending() bool {
	return e.startLog.pending() || e.jobWrites.pending() || e.drains.pending()
}

// Batch asks for the most urgent writes, at most `limit` puts and drops: starts and
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
