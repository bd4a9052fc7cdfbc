package core

import (
	"log/slog"
	"time"
)

// Write is one change of what the state service holds that the leader asks for. Each kind is a type
// of its own, declared beside what it stores. Its condition is its Version, if it has one: that of
// the key that it replaces, 0 meaning that the key doesn't exist.
type Write interface {
	// Kind and Target name the write in the log.
	Kind() string
	Target() string
	// JobRef names the job whose record or final entry is written; empty for all else. After a
	// failed write it has to be read again.
	JobRef() string
	// Encode has the write put into the form in which it is stored.
	Encode(encoder WriteEncoder) error

	// ops is how many puts and deletes the write takes.
	ops() int
	// started notes that the write is on its way: what it holds counts as clean unless it
	// changes again or the write fails.
	started(e *Engine, now time.Time)
	// succeeded notes that the state service holds the write, at a revision.
	succeeded(e *Engine, now time.Time, revision uint64)
	// failed requests a new write of what the write was to store. Versions are those of the pages
	// that were read afterwards, by name.
	failed(e *Engine, versions map[string]uint64)
	// rejected notes that the state service takes the write under no circumstances.
	rejected(e *Engine, now time.Time)
}

// WriteEncoder puts writes into the form in which they are stored. It has a method for each kind,
// so that the compiler finds what is missing when one is added.
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
	PutCordonPage(w PutCordonPage) error
	DeleteCordonPage(w DeleteCordonPage) error
}

// WritesStarted says that a batch of writes is on its way.
type WritesStarted struct{ Batch []Write }

func (s WritesStarted) apply(e *Engine, now time.Time) {
	for _, w := range s.Batch {
		w.started(e, now)
	}
}

// WritesFinished brings a batch's outcome. Revision is that of all its keys if OK.
// Otherwise nothing is known to have changed, and CurrentVersions holds the versions of
// the pages that were read afterwards, by name.
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

// WriteRejected says that the state service takes a write under no circumstances: its limits are
// lower than the settings say (TestRefusedWriteIsMadeSmaller).
type WriteRejected struct{ Write Write }

const (
	// rejectedPart is the factor by which values are made smaller after a rejection.
	rejectedPart = 0.75
	// minValueBytes is the size below which values aren't made smaller.
	minValueBytes = 400
	// rejectedPause is how long what was rejected of a job isn't tried again.
	rejectedPause = 30 * time.Second
)

func (r WriteRejected) apply(e *Engine, now time.Time) {
	w := r.Write
	e.log(LogWriteRejected, slog.String("kind", w.Kind()), slog.String("target", w.Target()),
		slog.Int("value_bytes", e.cfg.MaxValueBytes))
	e.cfg.MaxValueBytes = max(minValueBytes, int(float64(e.cfg.MaxValueBytes)*rejectedPart))
	w.rejected(e, now)
}
