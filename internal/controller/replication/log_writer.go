package replication

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gingertally/internal/decisionlog"
	"gingertally/internal/operator"
	"gingertally/internal/standby"
)

// logQueueSize is the number of frames that may wait to be written. A slow disk must not block
// replication: a frame that finds the queue full is dropped, and a later snapshot replaces it.
const logQueueSize = 256

// logWriter writes frames to the decision log in the background.
type logWriter struct {
	log           *decisionlog.Log
	queue         chan standby.Frame
	snapshot      func() (standby.Frame, bool) // returns the whole present state; false if there is none
	onFailure     func()                       // called when a write has failed
	logger        *slog.Logger
	needsSnapshot atomic.Bool // a frame was dropped since the last snapshot was written
	failed        atomic.Bool // a write has failed; nothing more is written
}

// newLogWriter opens the decision log in the configured directory, and returns its writer and what
// was read from it.
func newLogWriter(
	settings operator.Standby, snapshot func() (standby.Frame, bool),
) (*logWriter, decisionlog.Recovered, error) {
	log, recovered, err := decisionlog.Open(settings.LogDirectory, settings.LogBytes)
	if err != nil {
		return nil, recovered, err
	}
	writer := &logWriter{
		log: log, queue: make(chan standby.Frame, logQueueSize), snapshot: snapshot, onFailure: func() {},
		logger: slog.With("component", "decision log"),
	}
	return writer, recovered, nil
}

// offer queues a frame to be written, or drops it if the queue is full. Heartbeats and
// hand-overs, which hold no changes, aren't logged.
func (w *logWriter) offer(frame standby.Frame) {
	if w.failed.Load() || frame.Kind == standby.Heartbeat || frame.Kind == standby.HandOver {
		return
	}
	select {
	case w.queue <- frame:
	default:
		w.needsSnapshot.Store(true)
	}
}

// run writes the queued frames until ctx ends, and closes the log.
func (w *logWriter) run(ctx context.Context) error {
	defer func() {
		if err := w.log.Close(); err != nil {
			w.logger.Debug("can't close the decision log", "error", err)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-w.queue:
			w.write(frame)
		}
	}
}

// write appends a frame to the log. If the segment is full or a frame was dropped, it instead
// begins a new segment with a snapshot of the whole state, which includes the frame's changes.
func (w *logWriter) write(frame standby.Frame) {
	if w.failed.Load() {
		return
	}
	var err error
	switch {
	case !w.log.Full() && !w.needsSnapshot.Load():
		err = w.log.Append(frame)
	default:
		whole, ok := w.snapshot()
		if !ok {
			return // the copy is incomplete; a later frame tries again
		}
		w.needsSnapshot.Store(false)
		err = w.log.Begin(whole)
	}
	if err != nil {
		w.failed.Store(true)
		w.onFailure()
		w.logger.Error("decision log write failed; the log is no longer written", "error", err)
	}
}

// hasRoom reports whether the queue has room for another frame.
func (w *logWriter) hasRoom() bool { return len(w.queue) < cap(w.queue) }

// logFollower is the name of the follower that stands for the leader's own decision log.
const logFollower = "(log)"

// logPublished queues the leader's published changes for its own decision log. To the publisher the
// log is a follower: one that is too far behind is sent a snapshot. The caller holds n.mu.
func (n *Node) logPublished() {
	if n.log == nil || n.log.failed.Load() {
		return
	}
	for n.log.hasRoom() {
		frame, ok := n.publisher.Next(time.Now(), logFollower)
		if !ok {
			return
		}
		n.log.offer(frame)
	}
}
