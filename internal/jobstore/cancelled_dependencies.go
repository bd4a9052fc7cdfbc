package jobstore

import (
	"context"
	"time"

	"gingertally/internal/core/pipeline"
)

// DependencyCancelled tells whether a job that is said to wait must be cancelled with
// one that it needs: the leader has yet to write that, and until then nobody may be told
// that it waits. An error says that it can't be found out in time; what was found out is
// kept for the next question (docs/design.md, "Safety arguments" 15;
// TestDependencyCancelled).
func (j *Jobs) DependencyCancelled(ctx context.Context, state State, now time.Time) (bool, error) {
	if state.Over || !state.Record.Held() {
		return false, nil
	}
	_, none, err := j.noneCancelled(ctx, state.Record.Dependencies, now)
	return !none, err
}

// noneCancelled tells whether, as of some moment, none of some jobs was cancelled, nor
// any that they need.
func (j *Jobs) noneCancelled(ctx context.Context, refs []string, now time.Time) (asOf time.Time, none bool, err error) {
	asOf = now
	for _, ref := range refs {
		seen, ok, err := j.notCancelled(ctx, ref, now)
		if !ok || err != nil {
			return seen, false, err
		}
		if seen.Before(asOf) {
			asOf = seen
		}
	}
	return asOf, true, nil
}

// notCancelled tells the same of one job.
func (j *Jobs) notCancelled(ctx context.Context, ref string, now time.Time) (asOf time.Time, ok bool, err error) {
	if at, known := j.cache.notCancelled(ref); known && now.Sub(at) < j.limits.NotCancelledFor {
		return at, true, nil
	}
	state, err := j.Load(ctx, ref)
	if err != nil || state.Phase == pipeline.Cancelled {
		return now, false, err
	}
	asOf, ok = now, true
	if !state.Over && state.Record.Held() {
		asOf, ok, err = j.noneCancelled(ctx, state.Record.Dependencies, now)
	}
	if ok && err == nil {
		j.cache.noteNotCancelled(ref, asOf)
	}
	return asOf, ok, err
}
