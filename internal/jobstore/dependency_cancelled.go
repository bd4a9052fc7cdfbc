package jobstore

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/core/pipeline"
)

// errCancelled reports that a job, or one that it depends on, was cancelled.
var errCancelled = errors.New("cancelled")

// DependencyCancelled reports whether a job that is stored as waiting for its dependencies has a
// cancelled job among them, directly or indirectly. The leader will cancel such a job, too, but
// users must not be told that the job still waits until the leader has written that.
//
// If it returns an error, for example since ctx has expired, the answer isn't known. What was
// found out by then is cached for the next call (docs/design.md, "Safety arguments" 15;
// TestDependencyCancelled).
func (j *Jobs) DependencyCancelled(ctx context.Context, state State, now time.Time) (bool, error) {
	if state.Over || !state.Record.Held() {
		return false, nil
	}
	_, err := j.confirmNoneCancelled(ctx, state.Record.Dependencies, now)
	if errors.Is(err, errCancelled) {
		return true, nil
	}
	return false, err
}

// confirmNoneCancelled checks that neither the given jobs nor any that they wait for are
// cancelled; otherwise the error is errCancelled. It returns the time as of which this was true,
// which is earlier than now if cached results were used.
func (j *Jobs) confirmNoneCancelled(ctx context.Context, refs []string, now time.Time) (time.Time, error) {
	asOf := now
	for _, ref := range refs {
		seen, err := j.confirmNotCancelled(ctx, ref, now)
		if err != nil {
			return time.Time{}, err
		}
		if seen.Before(asOf) {
			asOf = seen
		}
	}
	return asOf, nil
}

// confirmNotCancelled does the same as confirmNoneCancelled for a single job.
func (j *Jobs) confirmNotCancelled(ctx context.Context, ref string, now time.Time) (time.Time, error) {
	if at, known := j.cache.notCancelled(ref); known && now.Sub(at) < j.limits.NotCancelledFor {
		return at, nil
	}
	state, err := j.Load(ctx, ref)
	switch {
	case err != nil:
		return time.Time{}, err
	case state.Phase == pipeline.Cancelled:
		return time.Time{}, errCancelled
	}
	asOf := now
	if !state.Over && state.Record.Held() {
		if asOf, err = j.confirmNoneCancelled(ctx, state.Record.Dependencies, now); err != nil {
			return time.Time{}, err
		}
	}
	j.cache.noteNotCancelled(ref, asOf)
	return asOf, nil
}
