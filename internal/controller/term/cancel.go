package term

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
)

// ErrTasksMayRun says that a cancellation can't be confirmed yet, since tasks of the job may still
// be running after the time within which a cancellation has to take effect.
var ErrTasksMayRun = errors.New("the job's tasks aren't proven gone")

// Cancel cancels a job and returns its phase. The engine is told before the store, so that nobody
// is given an older state from memory (docs/design.md, "The bound of a cancellation";
// TestCancelAskedStopsFirst). Jobs is the job store with the users' share of the rate limits. The
// error is ErrTasksMayRun if the job's tasks first have to be gone.
func (t *Term) Cancel(ctx context.Context, jobs *jobstore.Jobs, ref string) (pipeline.Phase, error) {
	t.step(core.CancelRequested{Ref: ref})
	if !t.deps.Config.CancelBoundMet() && t.mayHaveAttempts(ref) {
		t.step(core.CancelUndecided{Ref: ref, Deferred: true})
		return 0, ErrTasksMayRun
	}
	state, err := jobs.Cancel(ctx, ref, time.Now(), jobstore.UnderTerm(t.claimed))
	t.step(jobstore.CancelEvent(ref, state, err))
	return state.Phase, err
}

// mayHaveAttempts reports whether tasks of a job may still be on machines.
func (t *Term) mayHaveAttempts(ref string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.MayHaveAttempts(ref)
}
