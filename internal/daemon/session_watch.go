package daemon

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// Pauses after reads that failed.
const (
	recordRetry = 200 * time.Millisecond
	watchRetry  = 150 * time.Millisecond
)

// watchLoop learns of new and cancelled jobs.
func (s *leaderSession) watchLoop() error {
	since := s.ledger
	for s.ctx.Err() == nil {
		news, err := s.daemon.store.Watch(s.ctx, jobstore.JobPrefix, since)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			since = s.readAllJobs(since)
		case err != nil:
			sleep(s.ctx, watchRetry)
		case !s.takeNews(news):
			return s.ctx.Err()
		default:
			since = max(since, news.Revision)
		}
	}
	return s.ctx.Err()
}

// readAllJobs brings the engine all jobs, for a watch that fell too far behind, and
// returns the revision to watch on from.
func (s *leaderSession) readAllJobs(since uint64) uint64 {
	snapshot, ledger, err := s.daemon.records.Snapshot(s.ctx)
	if err != nil {
		sleep(s.ctx, snapshotRetry)
		return since
	}
	for _, job := range snapshot.Jobs {
		s.step(core.JobStored{Job: job})
	}
	return ledger
}

// takeNews brings the engine the changed records; false if the session is over.
func (s *leaderSession) takeNews(news statestore.WatchResponse) bool {
	for _, change := range news.Events {
		if change.Delete {
			continue
		}
		if !s.jobStored(change.KeyValue) {
			return false
		}
	}
	return true
}

// jobStored brings the engine a job's record, or, where that can't be completed any
// more since the job has moved on, what the store now holds; false if the session is
// over.
func (s *leaderSession) jobStored(item statestore.KeyValue) bool {
	for {
		job, err := s.daemon.records.ReadJob(s.ctx, item)
		switch {
		case err == nil:
			s.step(core.JobStored{Job: job})
			return true
		case errors.Is(err, codec.ErrMalformed):
			slog.Error("job record", "error", err)
			return true
		case s.refresh(strings.TrimPrefix(item.Key, jobstore.JobPrefix)):
			return true
		}
		slog.Warn("job record", "error", err)
		if !sleep(s.ctx, recordRetry) {
			return false
		}
	}
}

// refresh brings the engine what the store holds of a job, if that can be had.
func (s *leaderSession) refresh(ref string) bool {
	return s.loadJob(ref, s.daemon.records.Load)
}

// loadJob loads a job and brings the engine what was found; false if nothing was.
func (s *leaderSession) loadJob(ref string, load func(context.Context, string) (jobstore.State, error)) bool {
	state, err := load(s.ctx, ref)
	if err != nil || !state.Found {
		return false
	}
	if state.Over {
		s.step(core.JobFinished{Ref: ref, Final: state.Final})
		return true
	}
	s.step(core.JobStored{Job: core.StoredJob{Record: state.Record, Version: state.Version}})
	return true
}

// How jobs are looked up that others wait for: how many at a time, how often, and how
// long after a time at which some couldn't be had.
const (
	askMost  = 3
	askEvery = 200 * time.Millisecond
	askRetry = time.Second
)

// askLoop finds out what became of jobs that others wait for and that were over
// before this term.
func (s *leaderSession) askLoop() error {
	for pause := askEvery; sleep(s.ctx, pause); {
		s.mu.Lock()
		refs := s.engine.DependenciesToLookUp(askMost)
		s.mu.Unlock()
		pause = askEvery
		for _, ref := range refs {
			if !s.loadJob(ref, s.daemon.records.LoadFinished) {
				s.step(core.DependencyLookupFailed{Ref: ref})
				pause = askRetry
			}
		}
	}
	return s.ctx.Err()
}
