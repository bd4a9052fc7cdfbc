package jobstore

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/core/pipeline"
)

// errCancelled says that a job, or one that it depends on, was cancelled.
var errCancelled = errors.New("cancelled")

// DependencyCancelled returns whether a job that the store holds as waiting has a cancelled
// job among those that it depends on, directly or through others. The leader will cancel such
// a job, too, but until it has written that, no user may be told that the job still waits.
//
// With an error, such as an expired ctx, the question is undecided; what was found out is
// cached for the next call (docs/design.md, "Safety arguments" 15; TestDependencyCancelled).
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

// confirmNoneCancelled makes sure that none of some jobs is cancelled, nor any that they
// depend on, and returns the moment as of which this is known. Else the error is errCancelled.
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

// confirmNotCancelled does the same for one job.
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
