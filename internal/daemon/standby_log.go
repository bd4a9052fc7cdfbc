package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gingertally/internal/decisionlog"
	"gingertally/internal/operator"
	"gingertally/internal/standby"
)

// logQueue is how many frames may wait for the disk. A slow disk holds nothing up: what
// finds no room is left out, and made up for by a snapshot.
const logQueue = 256

// decisionWriter writes the decision log in the background. A nil one writes nothing.
type decisionWriter struct {
	log      *decisionlog.Log
	queue    chan standby.Frame
	snapshot func() (standby.Frame, bool) // the whole state, as of now
	failed   func()                       // is called once the disk has failed
	stale    atomic.Bool                  // frames were left out
	broken   atomic.Bool                  // the disk has failed; nothing more is written
}

// newDecisionWriter opens the log that the settings name.
func newDecisionWriter(settings operator.Standby, snapshot func() (standby.Frame, bool)) (*decisionWriter, decisionlog.Recovered, error) {
	log, recovered, err := decisionlog.Open(settings.LogDirectory, settings.LogBytes)
	if err != nil {
		return nil, recovered, err
	}
	return &decisionWriter{log: log, queue: make(chan standby.Frame, logQueue), snapshot: snapshot, failed: func() {}}, recovered, nil
}

// offer has a frame written, if there is room.
func (w *decisionWriter) offer(f standby.Frame) {
	if w == nil || w.broken.Load() || f.Kind == standby.Heartbeat || f.Kind == standby.HandOver {
		return
	}
	select {
	case w.queue <- f:
	default:
		w.stale.Store(true)
	}
}

// run writes until ctx ends.
func (w *decisionWriter) run(ctx context.Context) error {
	defer func() {
		if err := w.log.Close(); err != nil {
			slog.Debug("close the decision log", "error", err)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-w.queue:
			w.write(f)
		}
	}
}

// write writes a frame, or begins a segment with the whole state, which holds the frame too.
func (w *decisionWriter) write(f standby.Frame) {
	if w.broken.Load() {
		return
	}
	var err error
	switch {
	case !w.log.Full() && !w.stale.Load():
		err = w.log.Append(f)
	default:
		whole, ok := w.snapshot()
		if !ok {
			return // half of a snapshot is of no use yet
		}
		w.stale.Store(false)
		err = w.log.Begin(whole)
	}
	if err != nil {
		w.broken.Store(true)
		w.failed()
		slog.Error("decision log failed, going on without it", "error", err)
	}
}

// hasRoom tells whether the disk keeps up.
func (w *decisionWriter) hasRoom() bool { return len(w.queue) < cap(w.queue) }

// logFollower is the follower as which the leader's own log is served.
const logFollower = "(log)"

// logOwn has the leader's own changes written. Its log is a follower like any other: one
// that is too far behind gets a snapshot.
func (n *standbyNode) logOwn() {
	if n.log == nil || n.log.broken.Load() {
		return
	}
	for n.log.hasRoom() {
		f, ok := n.publisher.Next(time.Now(), logFollower)
		if !ok {
			return
		}
		n.log.offer(f)
	}
}
