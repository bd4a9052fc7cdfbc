package core

import (
	"time"

	"gingertally/internal/drain"
)

// WritesStarted notes that a batch is on its way: its content counts as clean unless
// it changes again or the batch fails.
type WritesStarted struct{ Batch []Write }

func (s WritesStarted) apply(e *Engine, now time.Time) {
	for _, w := range s.Batch {
		e.writeStarted(now, w)
	}
}

func (e *Engine) writeStarted(now time.Time, w Write) {
	switch w.Kind {
	case WritePage, DropPage:
		e.startLog.writeStarted(w.Name)
	case WriteJob:
		if j := e.jobs[w.Name]; j != nil {
			j.MarkWriting(0, w.Job.Done)
			e.jobWrites.lastWrite[j.Ref] = now
		}
	case WriteChunk:
		if j := e.jobs[w.Name]; j != nil {
			j.MarkWriting(w.Chunk, w.Runs)
		}
	case WriteImages, DropImages:
		e.images.writeStarted(w.Name)
	case WriteCharges, DropCharges, WriteCordons, DropCordons:
		e.drains.writeStarted(w)
	}
}

// WritesFinished brings a batch's outcome. Version is that of all its keys if OK.
// Otherwise nothing is known to have changed, and Seen holds the versions of
// the pages that were read afterwards.
type WritesFinished struct {
	Batch           []Write
	OK              bool
	Version         uint64
	CurrentVersions map[string]uint64
}

func (o WritesFinished) apply(e *Engine, now time.Time) {
	e.writesFail = !o.OK
	for _, w := range o.Batch {
		if o.OK {
			e.writeSucceeded(now, w, o.Version)
		} else {
			e.writeFailed(w, o.CurrentVersions)
		}
	}
}

func (e *Engine) writeSucceeded(now time.Time, w Write, version uint64) {
	switch w.Kind {
	case WritePage:
		e.startLog.written(now, w, version)
	case DropPage:
		e.startLog.dropped(now, w.Name)
	case WriteJob:
		if j := e.jobs[w.Name]; j != nil {
			j.Version = version
			e.forgetStoredResults(j)
		}
	case WriteChunk:
		if j := e.jobs[w.Name]; j != nil {
			e.forgetStoredResults(j)
		}
	case WriteFinal:
		e.finished(now, w.Name, w.Final)
	case DropImages:
		e.images.dropped(w.Name)
	case DropChunk, DropDependencies:
		e.jobWrites.dropped(w)
	case WriteCharges, DropCharges, WriteCordons, DropCordons:
		if w.Kind == DropCharges || w.Kind == DropCordons {
			version = 0
		}
		e.drainPageWritten(w, drain.Outcome{OK: true, Version: version})
	}
}

// writeFailed has what a write was to store written again.
func (e *Engine) writeFailed(w Write, seen map[string]uint64) {
	switch w.Kind {
	case WritePage, DropPage:
		e.startLog.writeFailed(w.Name, seen)
	case WriteJob:
		e.rewriteChunk(w.Name, 0)
	case WriteChunk:
		e.rewriteChunk(w.Name, w.Chunk)
	case WriteImages, DropImages:
		e.images.writeFailed(w.Name)
	case WriteCharges, DropCharges, WriteCordons, DropCordons:
		version, known := seen[w.Name]
		e.drainPageWritten(w, drain.Outcome{Version: version, Known: known})
	}
}

// rewriteChunk has a chunk of a job's done ranges written again; chunk 0 is part of the
// job's record.
func (e *Engine) rewriteChunk(ref string, chunk int) {
	if j := e.jobs[ref]; j != nil {
		j.MarkDirty(chunk)
		e.jobWrites.jobChanged(j)
	}
}

// WriteRejected says that the store takes a write under no circumstances: its limits are
// lower than the settings say (TestRefusedWriteIsMadeSmaller).
type WriteRejected struct{ Write Write }

const (
	// refusedPart is the factor by which values are made smaller after a refusal.
	refusedPart = 0.75
	// minValueBytes is the size below which values aren't made smaller.
	minValueBytes = 400
	// refusedPause is how long what was refused of a job isn't tried again.
	refusedPause = 30 * time.Second
)

func (r WriteRejected) apply(e *Engine, now time.Time) {
	w := r.Write
	e.note("write refused by the state service", "kind", w.Kind, "name", w.Name, "value_bytes", e.cfg.MaxValueBytes)
	e.cfg.MaxValueBytes = max(minValueBytes, int(float64(e.cfg.MaxValueBytes)*refusedPart))
	switch w.Kind {
	case WritePage, DropPage:
		e.pageRefused(now, w.Name)
	case WriteJob, WriteChunk, WriteFinal:
		e.writeFailed(w, nil)
		e.jobWrites.lastWrite[w.Name] = now.Add(refusedPause)
	case WriteImages, DropImages:
		// Left as it is until something on it changes.
	case WriteCharges, DropCharges, WriteCordons, DropCordons:
		e.drains.refused(w)
	default:
		e.writeFailed(w, nil)
	}
}

// pageRefused withdraws the starts that wait for a page of the start log which the store
// won't take. They are placed again, on a page with less on it.
func (e *Engine) pageRefused(now time.Time, name string) {
	p := e.startLog.pages[name]
	if p == nil {
		return
	}
	for _, a := range p.Unwritten() {
		e.stop(now, a.Machine, a, 0)
	}
	e.startLog.refused(now, p)
}
