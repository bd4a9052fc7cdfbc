package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
)

// This file is the leader as the users' service sees it (userapi.Leader).

// View is what this node, as the leader with a valid lease, knows of a job.
func (d *Daemon) View(ref string) (core.JobView, bool) {
	s := d.session.Load()
	if s == nil {
		return core.JobView{}, false
	}
	view, ok := s.lookup(ref)
	// Checked after the look-up: what was known then may be told only while the lease
	// is still valid (docs/design.md, "Safety arguments" 9; TestNoAnswerInDoubt).
	return view, ok && d.elector.HoldsLease(time.Now())
}

// askTimeout is short: the store answers as well.
const askTimeout = 400 * time.Millisecond

// Ask asks the leading node about a job.
func (d *Daemon) Ask(ctx context.Context, ref string) (core.JobView, bool) {
	leader := d.elector.Leader()
	if leader == "" || leader == d.settings.Member {
		return core.JobView{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, body, err := d.peers.Relay(ctx, leader, http.MethodGet, viewPath+ref, nil)
	if err != nil || status != http.StatusOK {
		return core.JobView{}, false
	}
	return decodeView(body)
}

// errNotInTime says that it isn't certain that the job's tasks are gone in time.
var errNotInTime = errors.New("its tasks have to be proven gone first")

// Cancel cancels a job as the leader, whose engine knows of it before the store does. Any
// other node only tells what is final already (docs/design.md, "The bound of a
// cancellation"; TestCancelAskedStopsFirst).
func (d *Daemon) Cancel(ctx context.Context, ref string) (pipeline.Phase, error) {
	s := d.session.Load()
	if s == nil || !s.holdsLease() {
		return d.finalPhase(ctx, ref)
	}
	s.step(core.CancelRequested{Ref: ref})
	if !d.coreConfig.CancelKept() && s.mayBeOnMachines(ref) {
		s.step(core.CancelUndecided{Ref: ref, Deferred: true})
		return 0, errNotInTime
	}
	state, err := d.jobs.Cancel(ctx, ref, time.Now(), jobstore.UnderTerm(s.term))
	s.step(jobstore.CancelEvent(ref, state, err))
	return state.Phase, err
}

// finalPhase is a job's phase as the store has it, if that is final.
func (d *Daemon) finalPhase(ctx context.Context, ref string) (pipeline.Phase, error) {
	state, err := d.jobs.Load(ctx, ref)
	switch {
	case err != nil:
	case !state.Found:
		err = jobstore.ErrUnknownJob
	case state.Phase == pipeline.Active:
		err = jobstore.ErrNotLeader
	}
	return state.Phase, err
}
