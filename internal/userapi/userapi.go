// Package userapi is the controller's side of the users' interface (PROTOCOL: Users -> controller
// nodes). Any node accepts jobs by writing them to the state service itself. It answers queries of
// a job with the leader's state of it, or with that in the store if the leader can't be asked. Only
// the leader cancels jobs.
//
// The package keeps no state. It may assume that its caller has bounded the context's time and the
// body's size (MaxBody). Its callers are the node's HTTP server, for users, and its server for
// peers, for calls that they forwarded. Each call runs in the goroutine of its request; a Service
// is safe for concurrent use.
package userapi

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/wire"
)

// Jobs is the store of jobs. jobstore.Jobs implements it; it is called from the goroutines of
// requests. An error that isn't one of those named here leaves the call undecided, and the user is
// told to try again.
type Jobs interface {
	// CheckDependencies returns nil if a job may wait for others: all of them exist. Else the error
	// is jobstore.ErrBadDependency, or jobstore.ErrExists if the job itself exists already.
	CheckDependencies(ctx context.Context, ref string, dependencies []string) error
	// Create stores a new job. The error is jobstore.ErrExists if there is a job with this name,
	// and jobstore.ErrTooLarge if its record exceeds what the state service takes.
	Create(ctx context.Context, spec pipeline.Spec, dependencies []string, now time.Time) error
	// Load reads a job's state; a job that doesn't exist is no error.
	Load(ctx context.Context, ref string) (jobstore.State, error)
	// DependencyCancelled reports whether a job that is stored as waiting for others may have to be
	// cancelled because one of those was.
	DependencyCancelled(ctx context.Context, state jobstore.State, now time.Time) (bool, error)
}

// Leader is the leading node, be it this node or another. The controller implements it; it is
// called from the goroutines of requests.
type Leader interface {
	// View returns what this node knows of a job; ok is false if this node doesn't hold the
	// leader's lease, or doesn't know the job.
	View(ref string) (view core.JobView, ok bool)
	// ViewFromLeader asks another node that leads; ok is false if there is none, or it can't be
	// asked or doesn't know the job.
	ViewFromLeader(ctx context.Context, ref string) (view core.JobView, ok bool)
	// Cancel cancels a job and returns the phase that the job then has, which is pipeline.Done if
	// it was done already. Only the leader may: after another node's cancellation, the leader would
	// go on telling users the older state (docs/design.md, "The bound of a cancellation"). The
	// error is jobstore.ErrUnknownJob if there is no such job.
	Cancel(ctx context.Context, ref string) (pipeline.Phase, error)
}

// Admission decides which jobs are refused under overload. The controller's admission control
// implements it; it is called from the goroutines of requests.
type Admission interface {
	// Decide decides whether a submission is admitted. It doesn't block.
	Decide(spec *pipeline.Spec) admission.Decision
	// Known reports whether a job that was refused had been accepted before, as far as that can be
	// found out quickly.
	Known(ctx context.Context, ref string) bool
}

// MaxBody is the size in bytes of the largest body that a user or a worker may send or receive.
const MaxBody = wire.MaxBody

// Service answers users. Its fields are set before its first use and not changed later.
type Service struct {
	Jobs   Jobs
	Leader Leader
	// Catalog returns the machine types that the cloud offers; it is empty until they are known.
	Catalog func() placement.Catalog
	// Teams holds the quota of each team, by the team's name.
	Teams map[string]placement.Quota
	// Admission is nil while admission control is off: then every job is admitted.
	Admission Admission
}

var errNeverPlaced = errors.New("no allowed machine type fits, or the team's limit is too low")

// Submit accepts a job, or refuses it. A repeated submission is answered with the job's state.
func (s *Service) Submit(ctx context.Context, body []byte) Answer {
	spec, dependencies, err := wire.ParseSubmission(body)
	if err != nil {
		return malformedAnswer(err)
	}
	catalog := s.Catalog()
	if len(catalog) == 0 {
		return tryAgainAnswer()
	}
	team, known := s.Teams[spec.Team]
	if !known || !placement.Possible(&spec, team, catalog) {
		return s.answerImpossible(ctx, spec.Ref)
	}
	spec.Types = knownTypes(spec.Types, catalog)
	if answer, refused := s.answerOverload(ctx, &spec); refused {
		return answer
	}
	if err = s.Jobs.CheckDependencies(ctx, spec.Ref, dependencies); err == nil {
		err = s.Jobs.Create(ctx, spec, dependencies, time.Now())
	}
	switch {
	case err == nil:
		return acceptedAnswer(spec.Ref)
	case errors.Is(err, jobstore.ErrExists):
		return s.answerState(ctx, spec.Ref)
	case errors.Is(err, jobstore.ErrBadDependency), errors.Is(err, jobstore.ErrTooLarge):
		return rejectedAnswer(err)
	}
	return tryAgainAnswer()
}

// answerOverload answers a submission that admission control refuses; refused is false if it
// doesn't. A job that was accepted before is never refused: it is answered with its state.
func (s *Service) answerOverload(ctx context.Context, spec *pipeline.Spec) (answer Answer, refused bool) {
	if s.Admission == nil {
		return Answer{}, false
	}
	if _, known := s.Leader.View(spec.Ref); known {
		return Answer{}, false // Jobs.Create will find that the job exists
	}
	decision := s.Admission.Decide(spec)
	if decision.Admitted {
		return Answer{}, false
	}
	if _, known := s.Leader.ViewFromLeader(ctx, spec.Ref); known || s.Admission.Known(ctx, spec.Ref) {
		return s.answerState(ctx, spec.Ref), true
	}
	return overloadedAnswer(decision), true
}

// answerImpossible answers the submission of a job that can never be placed. A job that was
// accepted earlier is never rejected, whatever became of its team and of the machine types since.
func (s *Service) answerImpossible(ctx context.Context, ref string) Answer {
	state, err := s.Jobs.Load(ctx, ref)
	switch {
	case err != nil:
		return tryAgainAnswer()
	case state.Found:
		return s.answerState(ctx, ref)
	}
	return rejectedAnswer(errNeverPlaced)
}

// knownTypes returns those of the names that are machine types, each once. Other names and repeated
// ones allow no further machines, and would only make the job's record larger. Nil allows all types
// and stays nil.
func knownTypes(types []string, catalog placement.Catalog) []string {
	if types == nil {
		return nil
	}
	known := []string{}
	seen := map[string]bool{}
	for _, name := range types {
		if catalog[name] != nil && !seen[name] {
			seen[name] = true
			known = append(known, name)
		}
	}
	return known
}

// Get answers with a job's state.
func (s *Service) Get(ctx context.Context, ref string) Answer {
	if !pipeline.ValidRef(ref) {
		return unknownJobAnswer()
	}
	return s.answerState(ctx, ref)
}

// answerState answers with a job's state: from the leader if that can be asked, else from the store
// (docs/design.md, "Safety arguments" 9; TestNoAnswerWhileOutcomeUnknown).
func (s *Service) answerState(ctx context.Context, ref string) Answer {
	if view, ok := s.Leader.View(ref); ok {
		return JobStateAnswer(ref, view)
	}
	if view, ok := s.Leader.ViewFromLeader(ctx, ref); ok {
		return JobStateAnswer(ref, view)
	}
	state, err := s.Jobs.Load(ctx, ref)
	if err != nil {
		return tryAgainAnswer()
	}
	if !state.Found {
		return unknownJobAnswer()
	}
	// A job with a cancelled dependency will be cancelled, too, but the store may not show that
	// yet.
	if cancelled, err := s.Jobs.DependencyCancelled(ctx, state, time.Now()); err != nil || cancelled {
		return tryAgainAnswer()
	}
	return JobStateAnswer(ref, core.JobView{Phase: state.Phase, Done: state.Done})
}

// Cancel cancels a job, unless it is done, and answers with the phase that it then has.
func (s *Service) Cancel(ctx context.Context, ref string) Answer {
	if !pipeline.ValidRef(ref) {
		return unknownJobAnswer()
	}
	phase, err := s.Leader.Cancel(ctx, ref)
	switch {
	case errors.Is(err, jobstore.ErrUnknownJob):
		return unknownJobAnswer()
	case err != nil:
		return tryAgainAnswer()
	}
	return CancelledAnswer(ref, phase)
}
