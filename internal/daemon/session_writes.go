package daemon

import (
	"errors"
	"log/slog"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// Pauses after a failed write; in an outage of the state service, in which this node
// goes on, a longer one.
const (
	writeRetry       = 100 * time.Millisecond
	writeRetryOutage = 300 * time.Millisecond
)

// wakeWriter has the write loop look at once whether there is something to write.
func (s *leaderSession) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes what the engine has to write, one transaction at a time.
func (s *leaderSession) writeLoop() error {
	for {
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-s.wake:
		case <-time.After(tickEvery):
		}
		if !s.holdsLease() {
			continue
		}
		if err := s.writeAll(); err != nil {
			return err
		}
	}
}

// writeAll writes until nothing is left or a write fails. An error ends the session.
func (s *leaderSession) writeAll() error {
	for {
		more, err := s.writeBatch()
		if errors.Is(err, jobstore.ErrDeposed) {
			s.daemon.elector.EndTerm()
			return err
		}
		if err != nil {
			slog.Debug("write", "error", err)
			pause := writeRetry
			if errors.Is(err, statestore.ErrUnavailable) {
				pause = writeRetryOutage
			}
			if !sleep(s.ctx, pause) {
				return s.ctx.Err()
			}
		}
		if !more {
			return nil
		}
	}
}

// writeBatch writes one batch, and tells whether there may be more to write.
func (s *leaderSession) writeBatch() (more bool, err error) {
	batch := s.nextBatch()
	if len(batch) == 0 {
		return false, nil
	}
	sent, revision, err := s.daemon.records.Apply(s.ctx, s.term, batch)
	if unsent := batch[len(sent):]; len(unsent) > 0 {
		s.step(core.WritesFinished{Batch: unsent})
	}
	if err == nil {
		s.step(core.WritesFinished{Batch: sent, OK: true, Revision: revision})
		return true, nil
	}
	if errors.Is(err, statestore.ErrRejected) {
		s.step(core.WriteRejected{Write: sent[0]})
		return true, nil
	}
	var versions map[string]uint64
	if !errors.Is(err, statestore.ErrUnavailable) { // else nothing has changed, and nothing can be read
		versions = s.reread(sent)
	}
	s.step(core.WritesFinished{Batch: sent, CurrentVersions: versions})
	return false, err
}

// nextBatch takes the next writes from the engine, which from then on counts them as
// under way.
func (s *leaderSession) nextBatch() []core.Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	batch := s.engine.Batch(now, s.daemon.maxBatch())
	if len(batch) > 0 {
		s.engine.Step(now, core.WritesStarted{Batch: batch})
	}
	return batch
}

// reread finds out what the store holds after a failed or unanswered write: the
// versions of pages by name. Jobs' records go to the engine at once.
func (s *leaderSession) reread(batch []core.Write) map[string]uint64 {
	versions := map[string]uint64{}
	for _, write := range batch {
		if ref := write.JobRef(); ref != "" {
			s.refresh(ref)
			continue
		}
		if version, versioned, err := s.daemon.records.PageVersion(s.ctx, write); versioned && err == nil {
			versions[write.Target()] = version
		}
	}
	return versions
}
