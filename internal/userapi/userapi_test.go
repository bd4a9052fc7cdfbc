package userapi

import (
	"context"
	"errors"
	"testing"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/wire"
)

// fakeBackend implements both Jobs and Leader.
type fakeBackend struct {
	jobs      map[string]jobstore.State
	down      bool                    // CheckDependencies, Create and Load fail
	view      map[string]core.JobView // what this node knows as the leader
	created   []pipeline.Spec
	cancelErr error // the result of cancellations
}

var errDown = errors.New("store is down")

func (b *fakeBackend) CheckDependencies(_ context.Context, ref string, awaits []string) error {
	if b.down {
		return errDown
	}
	for _, a := range awaits {
		switch {
		case b.jobs[ref].Found:
			return jobstore.ErrExists
		case !b.jobs[a].Found:
			return jobstore.ErrBadDependency
		}
	}
	return nil
}

func (b *fakeBackend) Create(_ context.Context, s pipeline.Spec, _ []string, _ time.Time) error {
	if b.down {
		return errDown
	}
	if b.jobs[s.Ref].Found {
		return jobstore.ErrExists
	}
	b.created = append(b.created, s)
	return nil
}

func (b *fakeBackend) Load(_ context.Context, ref string) (jobstore.State, error) {
	if b.down {
		return jobstore.State{}, errDown
	}
	return b.jobs[ref], nil
}

func (*fakeBackend) DependencyCancelled(_ context.Context, st jobstore.State, _ time.Time) (bool, error) {
	return st.Record.Held(), nil
}

func (b *fakeBackend) View(ref string) (core.JobView, bool) { v, ok := b.view[ref]; return v, ok }

func (*fakeBackend) ViewFromLeader(context.Context, string) (core.JobView, bool) {
	return core.JobView{}, false
}

func (b *fakeBackend) Cancel(context.Context, string) (pipeline.Phase, error) {
	return pipeline.Cancelled, b.cancelErr
}

// encodedSubmission returns an encoded submission: a valid one with some fields changed.
func encodedSubmission(change map[string]any) []byte {
	m := map[string]any{"ref": "j-000001", "lot_kind": "c", "owner": "t", "shape": "sweep", "urgency": "normal", "lots": 2, "vcpus": 4.0,
		"cards": 0.0, "mem_gb": 8.0, "kit": "i", "pull_gb": 1.0, "builds": []string{"cpu", "old", "cpu"}, "one_zone": false, "apart": false,
		"loaners": false, "guess_s": 10.0, "mark_s": 0.0, "stash_s": 0.0}
	for k, v := range change {
		m[k] = v
	}
	return codec.MustMarshal(m)
}

// newService returns a Service with one team and one machine type.
func newService(b *fakeBackend) *Service {
	return &Service{Jobs: b, Leader: b, Teams: map[string]placement.Quota{"t": {CPULimit: 6}},
		Catalog: func() placement.Catalog {
			return placement.Catalog{"cpu": {Name: "cpu", CPUs: 8, MemGB: 32, Zones: []string{"a"}}}
		}}
}

// Each row submits a valid job with some fields changed. A job that was accepted once must never be
// rejected when it is submitted again, even if it couldn't be accepted now. A job that can't be
// stored must never be accepted. Users rely on both.
func TestSubmit(t *testing.T) {
	ctx := context.Background()
	known := jobstore.State{Found: true, Over: true, Phase: pipeline.Done, Done: 2}
	b := &fakeBackend{jobs: map[string]jobstore.State{"j-000002": known}}
	s := newService(b)
	for _, c := range []struct {
		name   string
		change map[string]any
		want   int
	}{
		{"good", nil, 201},
		{"malformed", map[string]any{"ref": "x"}, 400},
		{"unknown team", map[string]any{"owner": "u"}, 422},
		{"fits nowhere", map[string]any{"vcpus": 9.0}, 422},
		{"gang above the limit", map[string]any{"shape": "ensemble"}, 422},
		{"accepted before", map[string]any{"ref": "j-000002"}, 200},
		{"waits for a known job", map[string]any{"awaits": []string{"j-000002"}}, 201},
		{"waits for nothing", map[string]any{"awaits": []string{}}, 201},
		{"waits for null", map[string]any{"awaits": nil}, 201},
		{"waits for an unknown job", map[string]any{"awaits": []string{"j-000002", "j-000003"}}, 422},
		{"dependencies not a list", map[string]any{"awaits": "j-000002"}, 400},
		{"waits for numbers", map[string]any{"awaits": []int{2}}, 400},
		{"waits for null in a list", map[string]any{"awaits": []any{nil}}, 400},
		{"accepted before, now with an unknown dependency", map[string]any{"ref": "j-000002", "awaits": []string{"j-000003"}}, 200},
		{"accepted before, now of an unknown team", map[string]any{"ref": "j-000002", "owner": "u"}, 200},
	} {
		if a := s.Submit(ctx, encodedSubmission(c.change)); a.Status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, a.Status, c.want)
		}
	}
	if len(b.created) != 4 || len(b.created[0].Types) != 1 {
		t.Fatalf("created %+v, want 4 jobs, the first with one machine type", b.created)
	}
	// A job that can't be stored isn't accepted, and the user is told when to try again.
	b.down = true
	for _, change := range []map[string]any{nil, {"owner": "u"}, {"awaits": []string{"j-000002"}}} {
		if a := s.Submit(ctx, encodedSubmission(change)); a.Status != 503 || a.RetryAfter != time.Second {
			t.Errorf("store down: %+v, want status 503 and a retry after 1 s", a)
		}
	}
	s.Catalog = func() placement.Catalog { return nil }
	b.down = false
	if a := s.Submit(ctx, encodedSubmission(nil)); a.Status != 503 {
		t.Errorf("machine types unknown: status %d, want 503", a.Status)
	}
}

// The answer to a query or a cancellation must come from the leader or the store. A 404 without
// asking the store would make a user submit a job twice, and a state that is in doubt might have to
// be revoked later.
func TestGetAndCancel(t *testing.T) {
	ctx := context.Background()
	b := &fakeBackend{jobs: map[string]jobstore.State{"j-000002": {Found: true, Phase: pipeline.Cancelled}},
		view: map[string]core.JobView{"j-000003": {Phase: pipeline.Active, Running: 1, Done: 4}}}
	s := newService(b)
	for ref, want := range map[string]string{"j-000002": "aborted", "j-000003": "running"} {
		a := s.Get(ctx, ref)
		if st, ok := a.Body.(wire.RunState); a.Status != 200 || !ok || st.Status != want {
			t.Errorf("%s: %+v, want status 200 and the job's state", ref, a)
		}
	}
	if a := s.Get(ctx, "j-000009"); a.Status != 404 {
		t.Errorf("unknown job: status %d, want 404", a.Status)
	}
	if a := s.Get(ctx, "nonsense"); a.Status != 404 {
		t.Errorf("malformed id: status %d, want 404", a.Status)
	}
	b.jobs["j-000004"] = jobstore.State{Found: true, Record: pipeline.Record{Dependencies: []string{"j-000002"}}}
	if a := s.Get(ctx, "j-000004"); a.Status != 503 || a.RetryAfter != time.Second {
		t.Errorf("job with a cancelled dependency: %+v, want status 503 and a retry after 1 s", a)
	}
	b.down = true
	if a := s.Get(ctx, "j-000009"); a.Status != 503 {
		t.Errorf("unknown job while the store is down: status %d, want 503", a.Status)
	}
	for err, want := range map[error]int{nil: 200, jobstore.ErrUnknownJob: 404, jobstore.ErrNotLeader: 503, errDown: 503} {
		b.cancelErr = err
		if a := s.Cancel(ctx, "j-000002"); a.Status != want {
			t.Errorf("cancellation with result %v: status %d, want %d", err, a.Status, want)
		}
	}
}

// refusingAdmission is an Admission that refuses every job for ten seconds, and counts its
// decisions.
type refusingAdmission struct {
	known     map[string]bool // results of Known
	decisions int
}

func (r *refusingAdmission) Decide(*pipeline.Spec) admission.Decision {
	r.decisions++
	return admission.Decision{RetryAfter: 10 * time.Second, Reason: admission.Backlog}
}

func (r *refusingAdmission) Known(_ context.Context, ref string) bool { return r.known[ref] }

// Under overload, a new job is refused with 429 and a time to try again. A job that can never be
// accepted must still be rejected for good, or its user would repeat it in vain. A job that was
// accepted before is answered with its state, and queries are never refused.
func TestRefusedUnderOverload(t *testing.T) {
	ctx := context.Background()
	b := &fakeBackend{jobs: map[string]jobstore.State{"j-000002": {Found: true}, "j-000005": {Found: true}},
		view: map[string]core.JobView{"j-000005": {Phase: pipeline.Active, Running: 1}}}
	s := newService(b)
	r := &refusingAdmission{known: map[string]bool{"j-000002": true}}
	s.Admission = r
	for _, c := range []struct {
		name   string
		change map[string]any
		want   int
	}{
		{"new", nil, 429},
		{"malformed", map[string]any{"ref": "x"}, 400},
		{"unknown team", map[string]any{"owner": "u"}, 422},
		{"fits nowhere", map[string]any{"vcpus": 9.0}, 422},
		{"known to the store", map[string]any{"ref": "j-000002"}, 200},
		{"known to the leader", map[string]any{"ref": "j-000005"}, 200},
	} {
		a := s.Submit(ctx, encodedSubmission(c.change))
		if a.Status != c.want || (a.Status == 429) != (a.RetryAfter == 10*time.Second) {
			t.Errorf("%s: %+v, want the row's status, and a RetryAfter of 10 s with 429 and only then", c.name, a)
		}
	}
	if a := s.Get(ctx, "j-000002"); a.Status != 200 {
		t.Errorf("query under overload: %+v, want status 200", a)
	}
	if len(b.created) != 0 || r.decisions == 0 {
		t.Errorf("created %+v after %d decisions, want no job after at least one decision", b.created, r.decisions)
	}
}
