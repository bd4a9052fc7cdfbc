// Package userapi serves the users' calls. Any node accepts jobs and
// cancellations by writing them to the state service itself; states come from
// the leader, or from the store.
package userapi

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/wire"
)

// Jobs is the store of jobs.
type Jobs interface {
	CheckDependencies(ctx context.Context, ref string, awaits []string) error
	Create(ctx context.Context, spec pipeline.Spec, awaits []string, now time.Time) error
	Load(ctx context.Context, ref string) (jobstore.State, error)
	// DependencyCancelled tells whether a job that the store says waits may have to be cancelled.
	DependencyCancelled(ctx context.Context, st jobstore.State, now time.Time) (bool, error)
}

// Leader is the leader's view of jobs, here or on another node.
type Leader interface {
	// View tells of a job what this node, entitled, knows of it.
	View(ref string) (v core.JobView, ok bool)
	// Ask asks the leading node; ok is false if it can't be asked or doesn't know.
	Ask(ctx context.Context, ref string) (v core.JobView, ok bool)
	// Cancel cancels a job as the leader, or while nobody leads. Any other node
	// would leave the leader telling users an older state.
	Cancel(ctx context.Context, ref string) (pipeline.Phase, error)
}

// Service serves users.
type Service struct {
	Jobs    Jobs
	Leader  Leader
	Catalog func() placement.Catalog
	Teams   map[string]placement.Team
}

// Answer is the answer to a call; a nil body is none.
type Answer struct {
	Status     int
	Body       any
	RetryAfter bool
}

func later() Answer { return Answer{Status: 503, RetryAfter: true} }

func failure(status int, err error) Answer {
	return Answer{Status: status, Body: map[string]string{"error": err.Error()}}
}

var errNever = errors.New("no allowed machine type fits, or the team's limit is too low")

// Submit accepts a job.
func (s *Service) Submit(ctx context.Context, body []byte) Answer {
	spec, awaits, err := wire.ParseSubmission(body)
	if err != nil {
		return failure(400, err)
	}
	catalog := s.Catalog()
	if len(catalog) == 0 {
		return later()
	}
	team, known := s.Teams[spec.Team]
	if !known || !placement.Possible(&spec, team, catalog) {
		// A job accepted earlier must never be refused, whatever changed since.
		st, err := s.Jobs.Load(ctx, spec.Ref)
		switch {
		case err != nil:
			return later()
		case st.Found:
			return s.state(ctx, spec.Ref)
		}
		return failure(422, errNever)
	}
	spec.Types = knownTypes(spec.Types, catalog)
	if err = s.Jobs.CheckDependencies(ctx, spec.Ref, awaits); err == nil {
		err = s.Jobs.Create(ctx, spec, awaits, time.Now())
	}
	switch {
	case err == nil:
		return Answer{Status: 201, Body: wire.State(spec.Ref, pipeline.Active, 0, 0)}
	case errors.Is(err, jobstore.ErrExists):
		return s.state(ctx, spec.Ref)
	case errors.Is(err, jobstore.ErrBadDependency), errors.Is(err, jobstore.ErrTooLarge):
		return failure(422, err)
	}
	return later()
}

// knownTypes leaves out names of types that don't exist: they allow nothing,
// and a record has to stay small.
func knownTypes(types []string, c placement.Catalog) []string {
	if types == nil {
		return nil
	}
	out := []string{}
	seen := map[string]bool{}
	for _, t := range types {
		if c[t] != nil && !seen[t] {
			seen[t] = true
			out = append(out, t)
		}
	}
	return out
}

// Get tells a job's state.
func (s *Service) Get(ctx context.Context, ref string) Answer {
	if !wire.ValidRef(ref) {
		return Answer{Status: 404}
	}
	return s.state(ctx, ref)
}

func (s *Service) state(ctx context.Context, ref string) Answer {
	if v, ok := s.Leader.View(ref); ok {
		return tell(ref, v)
	}
	if v, ok := s.Leader.Ask(ctx, ref); ok {
		return tell(ref, v)
	}
	st, err := s.Jobs.Load(ctx, ref)
	if err != nil {
		return later()
	}
	if !st.Found {
		return Answer{Status: 404}
	}
	if doubt, err := s.Jobs.DependencyCancelled(ctx, st, time.Now()); err != nil || doubt {
		return later()
	}
	return tell(ref, core.JobView{Phase: st.Phase, Done: st.Done})
}

func tell(ref string, v core.JobView) Answer {
	return Answer{Status: 200, Body: wire.State(ref, v.Phase, v.Done, v.Running)}
}

// Withdraw cancels a job, unless it is done.
func (s *Service) Withdraw(ctx context.Context, ref string) Answer {
	if !wire.ValidRef(ref) {
		return Answer{Status: 404}
	}
	p, err := s.Leader.Cancel(ctx, ref)
	switch {
	case errors.Is(err, jobstore.ErrUnknownJob):
		return Answer{Status: 404}
	case err != nil:
		return later()
	}
	return Answer{Status: 200, Body: struct {
		Ref    string `cbor:"ref"`
		Status string `cbor:"status"`
	}{ref, wire.StatusOf(p, 0)}}
}
