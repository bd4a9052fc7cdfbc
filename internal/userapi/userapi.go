// Package userapi serves the users' calls. Any node accepts jobs and
// cancellations by writing them to the state service itself; states come from
// the leader, or from the store.
package userapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/wire"
)

// Jobs is the store of jobs.
type Jobs interface {
	// CheckDependencies makes sure that a job may wait for others.
	CheckDependencies(ctx context.Context, ref string, dependencies []string) error
	// Create writes a new job.
	Create(ctx context.Context, spec pipeline.Spec, dependencies []string, now time.Time) error
	// Load reads a job.
	Load(ctx context.Context, ref string) (jobstore.State, error)
	// DependencyCancelled tells whether a job that the store says waits may have to be cancelled.
	DependencyCancelled(ctx context.Context, state jobstore.State, now time.Time) (bool, error)
}

// Leader is the leader's view of jobs, here or on another node.
type Leader interface {
	// View is what this node, as the leader with a valid lease, knows of a job.
	View(ref string) (view core.JobView, ok bool)
	// Ask asks the leading node; ok is false if it can't be asked or doesn't know.
	Ask(ctx context.Context, ref string) (view core.JobView, ok bool)
	// Cancel cancels a job as the leader. Any other node would leave the leader
	// telling users an older state (docs/design.md, "The bound of a cancellation").
	Cancel(ctx context.Context, ref string) (pipeline.Phase, error)
}

// Admission decides under overload which jobs are taken.
type Admission interface {
	// Decide decides about a submission, at once.
	Decide(spec *pipeline.Spec) admission.Decision
	// Known tells whether a job that was refused had been accepted before.
	Known(ctx context.Context, ref string) bool
}

// MaxBody is the largest body that a user or worker may send or be sent.
const MaxBody = wire.MaxBody

// Service serves users.
type Service struct {
	Jobs      Jobs
	Leader    Leader
	Catalog   func() placement.Catalog
	Teams     map[string]placement.Quota
	Admission Admission // nil: all jobs are taken
}

// Answer is the answer to a call; a nil body is none.
type Answer struct {
	Status     int
	Body       any
	RetryAfter time.Duration // 0: none
}

// retrySoon is when a user comes back about whom nothing could be decided.
const retrySoon = time.Second

// later has the user come back: nothing is decided yet.
func later() Answer { return Answer{Status: http.StatusServiceUnavailable, RetryAfter: retrySoon} }

// Refusal is the body of the answer to a job that isn't taken now.
type Refusal struct {
	Error       string  `cbor:"error"`
	RetryAfterS float64 `cbor:"retry_after_s"`
}

// notFound says that no such job was accepted.
func notFound() Answer { return Answer{Status: http.StatusNotFound} }

// failure says why a call is refused for good.
func failure(status int, err error) Answer {
	return Answer{Status: status, Body: failureMessage{Error: err.Error()}}
}

// failureMessage is the body of a refusal.
type failureMessage struct {
	Error string `cbor:"error"`
}

var errNeverPlaced = errors.New("no allowed machine type fits, or the team's limit is too low")

// Submit accepts a job.
func (s *Service) Submit(ctx context.Context, body []byte) Answer {
	spec, dependencies, err := wire.ParseSubmission(body)
	if err != nil {
		return failure(http.StatusBadRequest, err)
	}
	catalog := s.Catalog()
	if len(catalog) == 0 {
		return later()
	}
	team, known := s.Teams[spec.Team]
	if !known || !placement.Possible(&spec, team, catalog) {
		return s.refuse(ctx, spec.Ref)
	}
	spec.Types = knownTypes(spec.Types, catalog)
	if answer, refused := s.overload(ctx, &spec); refused {
		return answer
	}
	if err = s.Jobs.CheckDependencies(ctx, spec.Ref, dependencies); err == nil {
		err = s.Jobs.Create(ctx, spec, dependencies, time.Now())
	}
	switch {
	case err == nil:
		return Answer{Status: http.StatusCreated, Body: wire.State(spec.Ref, pipeline.Active, 0, 0)}
	case errors.Is(err, jobstore.ErrExists):
		return s.state(ctx, spec.Ref)
	case errors.Is(err, jobstore.ErrBadDependency), errors.Is(err, jobstore.ErrTooLarge):
		return failure(http.StatusUnprocessableEntity, err)
	}
	return later()
}

// overload is the answer to a job that isn't taken now. One that was accepted before is
// answered as known.
func (s *Service) overload(ctx context.Context, spec *pipeline.Spec) (answer Answer, refused bool) {
	if s.Admission == nil {
		return Answer{}, false
	}
	if _, known := s.Leader.View(spec.Ref); known {
		return Answer{}, false // the write will find it there
	}
	decision := s.Admission.Decide(spec)
	if decision.Admitted {
		return Answer{}, false
	}
	if _, known := s.Leader.Ask(ctx, spec.Ref); known || s.Admission.Known(ctx, spec.Ref) {
		return s.state(ctx, spec.Ref), true
	}
	body := Refusal{Error: "overloaded: " + decision.Reason.String(), RetryAfterS: decision.RetryAfter.Seconds()}
	return Answer{Status: http.StatusTooManyRequests, Body: body, RetryAfter: decision.RetryAfter}, true
}

// refuse is the answer for a job that can never be placed. One that was accepted earlier
// must never be refused, whatever changed since.
func (s *Service) refuse(ctx context.Context, ref string) Answer {
	state, err := s.Jobs.Load(ctx, ref)
	switch {
	case err != nil:
		return later()
	case state.Found:
		return s.state(ctx, ref)
	}
	return failure(http.StatusUnprocessableEntity, errNeverPlaced)
}

// knownTypes leaves out names of types that don't exist: they allow nothing,
// and a record has to stay small. Nil allows all types, and stays nil.
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

// Get tells a job's state.
func (s *Service) Get(ctx context.Context, ref string) Answer {
	if !pipeline.ValidRef(ref) {
		return notFound()
	}
	return s.state(ctx, ref)
}

// state is the answer about a job: from the leader if that can be asked, else from the
// store (docs/design.md, "Safety arguments" 9; TestNoAnswerInDoubt).
func (s *Service) state(ctx context.Context, ref string) Answer {
	if view, ok := s.Leader.View(ref); ok {
		return JobState(ref, view)
	}
	if view, ok := s.Leader.Ask(ctx, ref); ok {
		return JobState(ref, view)
	}
	state, err := s.Jobs.Load(ctx, ref)
	if err != nil {
		return later()
	}
	if !state.Found {
		return notFound()
	}
	if cancelled, err := s.Jobs.DependencyCancelled(ctx, state, time.Now()); err != nil || cancelled {
		return later()
	}
	return JobState(ref, core.JobView{Phase: state.Phase, Done: state.Done})
}

// JobState is the answer about a job that is known.
func JobState(ref string, view core.JobView) Answer {
	return Answer{Status: http.StatusOK, Body: wire.State(ref, view.Phase, view.Done, view.Running)}
}

// cancelledMessage is the body of the answer to a cancellation.
type cancelledMessage struct {
	Ref    string `cbor:"ref"`
	Status string `cbor:"status"`
}

// Cancel cancels a job, unless it is done.
func (s *Service) Cancel(ctx context.Context, ref string) Answer {
	if !pipeline.ValidRef(ref) {
		return notFound()
	}
	phase, err := s.Leader.Cancel(ctx, ref)
	switch {
	case errors.Is(err, jobstore.ErrUnknownJob):
		return notFound()
	case err != nil:
		return later()
	}
	return Cancelled(ref, phase)
}

// Cancelled is the answer to a cancellation, of a job that is over or now cancelled.
func Cancelled(ref string, phase pipeline.Phase) Answer {
	return Answer{Status: http.StatusOK, Body: cancelledMessage{Ref: ref, Status: wire.StatusOf(phase, 0)}}
}
