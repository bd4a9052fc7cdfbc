package core

import (
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
)

// PutJob writes a job's record.
type PutJob struct {
	Ref     string
	Version uint64
	Record  pipeline.Record
}

// Kind implements Write.
func (PutJob) Kind() string { return "put job" }

// Target implements Write.
func (w PutJob) Target() string { return w.Ref }

// JobRef implements Write.
func (w PutJob) JobRef() string { return w.Ref }

// Encode implements Write.
func (w PutJob) Encode(encoder WriteEncoder) error { return encoder.PutJob(w) }

func (PutJob) ops() int { return 1 }

func (w PutJob) started(e *Engine, now time.Time) {
	if j := e.jobs.get(w.Ref); j != nil {
		j.MarkWriting(0, w.Record.Done)
		e.jobWrites.recordWriteStarted(j.Ref, now)
	}
}

func (w PutJob) succeeded(e *Engine, _ time.Time, revision uint64) {
	if j := e.jobs.get(w.Ref); j != nil {
		j.Version = revision
		e.forgetStoredResults(j)
	}
}

func (w PutJob) failed(e *Engine, _ map[string]uint64) { e.rewriteChunk(w.Ref, 0) }

func (w PutJob) rejected(e *Engine, now time.Time) { e.jobWriteRejected(now, w, w.Ref) }

// PutDoneRanges writes a chunk of a job's done ranges that isn't part of its record. It goes with a
// write of the record, whose version guards both.
type PutDoneRanges struct {
	Ref   string
	Chunk int
	Runs  []int
}

// Kind implements Write.
func (PutDoneRanges) Kind() string { return "put done ranges" }

// Target implements Write.
func (w PutDoneRanges) Target() string { return chunkTarget(w.Ref, w.Chunk) }

// JobRef implements Write.
func (PutDoneRanges) JobRef() string { return "" }

// Encode implements Write.
func (w PutDoneRanges) Encode(encoder WriteEncoder) error { return encoder.PutDoneRanges(w) }

func (PutDoneRanges) ops() int { return 1 }

func (w PutDoneRanges) started(e *Engine, _ time.Time) {
	if j := e.jobs.get(w.Ref); j != nil {
		j.MarkWriting(w.Chunk, w.Runs)
	}
}

func (w PutDoneRanges) succeeded(e *Engine, _ time.Time, _ uint64) {
	if j := e.jobs.get(w.Ref); j != nil {
		e.forgetStoredResults(j)
	}
}

func (w PutDoneRanges) failed(e *Engine, _ map[string]uint64) { e.rewriteChunk(w.Ref, w.Chunk) }

func (w PutDoneRanges) rejected(e *Engine, now time.Time) { e.jobWriteRejected(now, w, w.Ref) }

// PutFinal writes a job's final entry and deletes its record.
type PutFinal struct {
	Ref     string
	Version uint64 // of the record
	Final   pipeline.Final
}

// Kind implements Write.
func (PutFinal) Kind() string { return "put final entry" }

// Target implements Write.
func (w PutFinal) Target() string { return w.Ref }

// JobRef implements Write.
func (w PutFinal) JobRef() string { return w.Ref }

// Encode implements Write.
func (w PutFinal) Encode(encoder WriteEncoder) error { return encoder.PutFinal(w) }

func (PutFinal) ops() int { return 2 } // puts the final entry and deletes the record

func (PutFinal) started(_ *Engine, _ time.Time) {}

func (w PutFinal) succeeded(e *Engine, now time.Time, _ uint64) { e.finished(now, w.Ref, w.Final) }

func (PutFinal) failed(_ *Engine, _ map[string]uint64) {}

func (w PutFinal) rejected(e *Engine, now time.Time) { e.jobWriteRejected(now, w, w.Ref) }

// DeleteDoneRanges deletes a chunk of done ranges of a job that is over.
type DeleteDoneRanges struct {
	Ref   string
	Chunk int
}

// Kind implements Write.
func (DeleteDoneRanges) Kind() string { return "delete done ranges" }

// Target implements Write.
func (w DeleteDoneRanges) Target() string { return chunkTarget(w.Ref, w.Chunk) }

// JobRef implements Write.
func (DeleteDoneRanges) JobRef() string { return "" }

// Encode implements Write.
func (w DeleteDoneRanges) Encode(encoder WriteEncoder) error { return encoder.DeleteDoneRanges(w) }

func (DeleteDoneRanges) ops() int { return 1 }

func (DeleteDoneRanges) started(_ *Engine, _ time.Time) {}

func (w DeleteDoneRanges) succeeded(e *Engine, _ time.Time, _ uint64) { e.jobWrites.cleanedUp(w) }

func (DeleteDoneRanges) failed(_ *Engine, _ map[string]uint64) {}

func (DeleteDoneRanges) rejected(_ *Engine, _ time.Time) {}

// DeleteDependencyPage deletes a page of the list of dependencies of a job that is over.
type DeleteDependencyPage struct {
	Ref      string
	ListHash string // of the list that the page belongs to
	Page     int
}

// Kind implements Write.
func (DeleteDependencyPage) Kind() string { return "delete dependency page" }

// Target implements Write.
func (w DeleteDependencyPage) Target() string { return chunkTarget(w.Ref, w.Page) }

// JobRef implements Write.
func (DeleteDependencyPage) JobRef() string { return "" }

// Encode implements Write.
func (w DeleteDependencyPage) Encode(encoder WriteEncoder) error {
	return encoder.DeleteDependencyPage(w)
}

func (DeleteDependencyPage) ops() int { return 1 }

func (DeleteDependencyPage) started(_ *Engine, _ time.Time) {}

func (w DeleteDependencyPage) succeeded(e *Engine, _ time.Time, _ uint64) { e.jobWrites.cleanedUp(w) }

func (DeleteDependencyPage) failed(_ *Engine, _ map[string]uint64) {}

func (DeleteDependencyPage) rejected(_ *Engine, _ time.Time) {}

// chunkTarget returns the name of a chunk or page of a job for the log.
func chunkTarget(ref string, chunk int) string { return fmt.Sprintf("%s/%d", ref, chunk) }

// rewriteChunk requests another write of a chunk of a job's done ranges; chunk 0 is part of the
// job's record.
func (e *Engine) rewriteChunk(ref string, chunk int) {
	if j := e.jobs.get(ref); j != nil {
		j.MarkDirty(chunk)
		e.jobWrites.jobChanged(j)
	}
}

// jobWriteRejected requests that a rejected write of a job is tried again after a pause. By then the
// size limit of values is lower.
func (e *Engine) jobWriteRejected(now time.Time, w Write, ref string) {
	w.failed(e, nil)
	e.jobWrites.pause(ref, now.Add(rejectedRetryDelay))
}
