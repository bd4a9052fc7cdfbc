package core

import (
	"log/slog"
	"time"
)

// Write is one change of what the state service holds. Each kind is a type of its own, declared
// beside what it stores. Its condition is its Version, if it has one: the version of the key that
// it replaces, where 0 means that the key doesn't exist.
type Write interface {
	// Kind and Target name the write in the log.
	Kind() string
	Target() string
	// JobRef returns the job whose record or final entry is written; it is empty for other writes.
	// After a failed write that job has to be read again.
	JobRef() string
	// Encode passes the write to the encoder's method for its kind.
	Encode(encoder WriteEncoder) error

	// ops returns how many puts and deletes the write takes.
	ops() int
	// started records that the write is under way: what it holds isn't written again unless it
	// changes or the write fails.
	started(e *Engine, now time.Time)
	// succeeded records that the state service holds the write, at the given revision.
	succeeded(e *Engine, now time.Time, revision uint64)
	// failed requests another write of the same data. The map holds the versions of the pages that
	// were read afterwards, by name.
	failed(e *Engine, versions map[string]uint64)
	// rejected records that the state service rejects the write whatever its condition.
	rejected(e *Engine, now time.Time)
}

// WriteEncoder converts writes to the form in which they are stored. It has a method for each kind,
// so that the compiler reports a kind that is missing.
type WriteEncoder interface {
	PutStartLogPage(w PutStartLogPage) error
	DeleteStartLogPage(w DeleteStartLogPage) error
	PutJob(w PutJob) error
	PutDoneRanges(w PutDoneRanges) error
	DeleteDoneRanges(w DeleteDoneRanges) error
	DeleteDependencyPage(w DeleteDependencyPage) error
	PutFinal(w PutFinal) error
	PutImagePage(w PutImagePage) error
	DeleteImagePage(w DeleteImagePage) error
	PutChargePage(w PutChargePage) error
	DeleteChargePage(w DeleteChargePage) error
	PutDrainMachinePage(w PutDrainMachinePage) error
	DeleteDrainMachinePage(w DeleteDrainMachinePage) error
}

// WritesStarted says that a batch of writes is under way.
type WritesStarted struct{ Batch []Write }

func (s WritesStarted) apply(e *Engine, now time.Time) {
	for _, w := range s.Batch {
		w.started(e, now)
	}
}

// WritesFinished carries a batch's outcome. If OK, Revision is that of all its keys. Otherwise
// nothing is known to have changed, and CurrentVersions holds the versions of the pages that were
// read afterwards, by name.
type WritesFinished struct {
	Batch           []Write
	OK              bool
	Revision        uint64
	CurrentVersions map[string]uint64
}

func (o WritesFinished) apply(e *Engine, now time.Time) {
	e.batches.finished(o.OK)
	for _, w := range o.Batch {
		if o.OK {
			w.succeeded(e, now, o.Revision)
		} else {
			w.failed(e, o.CurrentVersions)
		}
	}
}

// WriteRejected says that the state service rejects a write whatever its condition: its limits are
// lower than the settings say (TestRefusedWriteIsMadeSmaller).
type WriteRejected struct{ Write Write }

const (
	// rejectedShrinkFactor is what the size limit of values is multiplied by after a rejection.
	rejectedShrinkFactor = 0.75
	// minValueBytes is the least size limit of values after rejections.
	minValueBytes = 400
	// rejectedRetryDelay is how long writes of a job pause after one was rejected.
	rejectedRetryDelay = 30 * time.Second
)

func (r WriteRejected) apply(e *Engine, now time.Time) {
	w := r.Write
	e.log(LogWriteRejected, slog.String("kind", w.Kind()), slog.String("target", w.Target()),
		slog.Int("value_bytes", e.cfg.MaxValueBytes))
	e.cfg.MaxValueBytes = max(minValueBytes, int(float64(e.cfg.MaxValueBytes)*rejectedShrinkFactor))
	w.rejected(e, now)
}
