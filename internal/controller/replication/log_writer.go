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

// logQueue is how many frames may wait for the disk. A slow disk holds nothing up: what
// finds no space is left out, and made up for by a snapshot.
const logQueue = 256

// logWriter writes the decision log in the background.
type logWriter struct {
	log       *decisionlog.Log
	queue     chan standby.Frame
	snapshot  func() (standby.Frame, bool) // the whole state, as of now
	onFailure func()                       // is called once the disk has failed
	logger    *slog.Logger
	stale     atomic.Bool // frames were left out
	broken    atomic.Bool // the disk has failed; nothing more is written
}

// newLogWriter opens the log that the settings name.
func newLogWriter(
	settings operator.Standby, snapshot func() (standby.Frame, bool),
) (*logWriter, decisionlog.Recovered, error) {
	log, recovered, err := decisionlog.Open(settings.LogDirectory, settings.LogBytes)
	if err != nil {
		return nil, recovered, err
	}
	writer := &logWriter{
		log: log, queue: make(chan standby.Frame, logQueue), snapshot: snapshot, onFailure: func() {},
		logger: slog.With("component", "decision log"),
	}
	return writer, recovered, nil
}

// offer has a frame written, if there is space in the queue.
func (w *logWriter) offer(frame standby.Frame) {
	if w.broken.Load() || frame.Kind == standby.Heartbeat || frame.Kind == standby.HandOver {
		return
	}
	select {
	case w.queue <- frame:
	default:
		w.stale.Store(true)
	}
}

// run writes until ctx ends.
func (w *logWriter) run(ctx context.Context) error {
	defer func() {
		if err := w.log.Close(); err != nil {
			w.logger.Debug("decision log not closed", "error", err)
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

// write writes a frame, or begins a segment with the whole state, which holds the frame too.
func (w *logWriter) write(frame standby.Frame) {
	if w.broken.Load() {
		return
	}
	var err error
	switch {
	case !w.log.Full() && !w.stale.Load():
		err = w.log.Append(frame)
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
		w.onFailure()
		w.logger.Error("decision log failed", "error", err)
	}
}

// keepsUp tells whether the disk keeps up.
func (w *logWriter) keepsUp() bool { return len(w.queue) < cap(w.queue) }

// logFollower is the follower as which the leader's own log is served.
const logFollower = "(log)"

// logPublished has the leader's own changes written; n.mu is held. The leader's log is a follower like any
// other: one that is too far behind gets a snapshot.
func (n *Node) logPublished() {
	if n.log == nil || n.log.broken.Load() {
		return
	}
	for n.log.keepsUp() {
		frame, ok := n.publisher.Next(time.Now(), logFollower)
		if !ok {
			return
		}
		n.log.offer(frame)
	}
}
