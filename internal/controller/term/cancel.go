package term

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
)

// ErrTasksMayRun says that it isn't certain that a job's tasks are gone in time, so that its
// cancellation can't be confirmed yet.
var ErrTasksMayRun = errors.New("the job's tasks aren't proven gone")

// Cancel cancels a job. The engine knows of it before the store does, so that nobody is told of an older
// state from memory (docs/design.md, "The bound of a cancellation"; TestCancelAskedStopsFirst).
// Jobs is the job store with users' part of the rates.
func (t *Term) Cancel(ctx context.Context, jobs *jobstore.Jobs, ref string) (pipeline.Phase, error) {
	t.step(core.CancelRequested{Ref: ref})
	if !t.deps.Config.CancelKept() && t.mayBeOnMachines(ref) {
		t.step(core.CancelUndecided{Ref: ref, Deferred: true})
		return 0, ErrTasksMayRun
	}
	state, err := jobs.Cancel(ctx, ref, time.Now(), jobstore.UnderTerm(t.claimed))
	t.step(jobstore.CancelEvent(ref, state, err))
	return state.Phase, err
}

// mayBeOnMachines tells whether tasks of a job may still run.
func (t *Term) mayBeOnMachines(ref string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.MayBeOnMachines(ref)
}
