package simulation

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/userapi"
	"gingertally/internal/wire"
)

// probeConsistency has users query right after a job was accepted, ended or cancelled.
func (s *script) probeConsistency() {
	s.onAccepted = append(s.onAccepted, s.probeJob)
	s.onConfirmed = append(s.onConfirmed, s.probeJob)
	s.onEnded = append(s.onEnded, func(j *userJob) {
		for _, d := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			s.at(d, func() { s.probeJob(j) })
		}
	})
}

// probeJob queries all nodes about a job within milliseconds, several times, and repeats its submission.
func (s *script) probeJob(j *userJob) {
	for range 3 {
		for _, n := range s.w.nodes {
			s.at(s.between(1, 10*time.Millisecond), func() { s.queryJob(n, j) })
		}
	}
	n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
	s.at(s.between(1, 10*time.Millisecond), func() { s.resubmit(n, j) })
}

// queryJob queries a node about a job. The answer is found some milliseconds after the query was sent, and arrives
// some milliseconds later.
func (s *script) queryJob(n *node, j *userJob) {
	askedAt, incarnation := s.w.now, n.incarnation
	s.at(s.between(0, 4*time.Millisecond), func() {
		n.run(incarnation, func() {
			v, known, ok := s.queryAtRandom(n, j.spec.Ref)
			if !ok {
				return
			}
			s.at(s.between(0, 4*time.Millisecond), func() {
				s.count("consistency probes")
				j.learnLate(askedAt, v, known)
			})
		})
	})
}

// leaderView is the leader as a node's user service sees it.
type leaderView struct{ n *node }

// View is what this node, leading with a valid lease, knows of a job.
func (l leaderView) View(ref string) (v core.JobView, ok bool) {
	if !l.n.holdsLease() {
		return v, false
	}
	return l.n.engine.Lookup(ref)
}

// Ask queries the other nodes that this one reaches.
func (l leaderView) Ask(_ context.Context, ref string) (v core.JobView, ok bool) {
	for _, o := range l.n.w.nodes {
		if o != l.n && l.n.reaches(o) && o.holdsLease() {
			return o.engine.Lookup(ref)
		}
	}
	return v, false
}

// Cancel isn't called here: cancellations go through node.cancel.
func (leaderView) Cancel(context.Context, string) (pipeline.Phase, error) {
	return pipeline.Active, context.Canceled
}

// simulatedClock is a node's job store for its user service, which passes the time of the machine that the simulation
// runs on. It goes by the world's time instead.
type simulatedClock struct {
	*jobstore.Jobs
	n *node
}

// Create stores a submission as of the world's time.
func (c simulatedClock) Create(ctx context.Context, spec pipeline.Spec, dependencies []string, _ time.Time) error {
	return c.Jobs.Create(ctx, spec, dependencies, c.n.w.now)
}

// DependencyCancelled asks as of the node's own clock.
func (c simulatedClock) DependencyCancelled(ctx context.Context, st jobstore.State, _ time.Time) (bool, error) {
	return c.Jobs.DependencyCancelled(ctx, st, c.n.local())
}

// service is the node's real user service.
func (n *node) service() *userapi.Service {
	return &userapi.Service{
		Jobs: simulatedClock{n.jobs, n}, Leader: leaderView{n}, Teams: n.w.teams,
		Catalog: func() placement.Catalog { return n.w.catalog },
	}
}

// noAnswer is the status of a call that gets no answer.
const noAnswer = 0

// postSubmission sends a submission's body to a node.
func (*script) postSubmission(n *node, body any) userapi.Answer {
	if n.down || n.paused() || n.cutOff() {
		return userapi.Answer{}
	}
	answer := n.service().Submit(context.Background(), codec.MustMarshal(body))
	n.w.output.userAnswer(n, "submission", answer)
	return answer
}

// The protocol's names of shapes and priorities.
var shapeNames = map[pipeline.Shape]string{
	pipeline.Array: "sweep", pipeline.Gang: "ensemble", pipeline.Service: "service",
}

var urgencyNames = map[pipeline.Priority]string{
	pipeline.Production: "production", pipeline.High: "urgent", pipeline.Normal: "normal", pipeline.Low: "idle",
}

// bodyOf is the submission of a job as its user sends it.
func bodyOf(s *pipeline.Spec) map[string]any {
	b := map[string]any{
		"ref": s.Ref, "lot_kind": s.Class, "owner": s.Team, "shape": shapeNames[s.Shape],
		"urgency": urgencyNames[s.Priority], "lots": s.Tasks, "vcpus": s.CPUs, "cards": s.GPUs, "mem_gb": s.MemGB,
		"kit": s.Image, "pull_gb": s.ImageGB, "builds": nil, "yard": nil, "one_zone": s.OneZone, "apart": s.Spread,
		"loaners": s.Spot, "guess_s": s.Estimate.Seconds(), "mark_s": s.CheckpointInterval.Seconds(),
		"stash_s": s.CheckpointTime.Seconds(), "due_s": nil,
	}
	if s.Types != nil {
		b["builds"] = s.Types
	}
	if s.Zone != "" {
		b["yard"] = s.Zone
	}
	return b
}

// queryAtRandom is a node's answer to a query: half of the time as the simulated controller gives it, and else as the
// real user service does.
func (s *script) queryAtRandom(n *node, ref string) (v core.JobView, known, ok bool) {
	if s.chance(0.5) {
		return n.answerQuery(ref)
	}
	a := n.service().Get(context.Background(), ref)
	n.w.output.userAnswer(n, ref, a)
	switch a.Status {
	case http.StatusOK:
		v.Phase = phaseOf(a)
		return v, true, true
	case http.StatusNotFound:
		return v, false, true
	}
	return v, false, false
}

// resubmit repeats the submission of an accepted job. It must never be refused, and its answer must never be older than
// what its user knew.
func (s *script) resubmit(n *node, j *userJob) {
	if !j.accepted {
		return
	}
	askedAt, incarnation := s.w.now, n.incarnation
	s.at(s.between(0, 4*time.Millisecond), func() {
		n.run(incarnation, func() {
			a := s.postSubmission(n, bodyOf(&j.spec))
			var v core.JobView
			switch a.Status {
			case noAnswer, http.StatusServiceUnavailable:
				return
			case http.StatusOK, http.StatusCreated:
				v.Phase = phaseOf(a)
			default:
				s.w.checker.fail("forgotten: a repeated submission of %s gets %d", j.spec.Ref, a.Status)
			}
			s.count("repeated submissions answered")
			if j.reportedPhase != pipeline.Active {
				s.count("repeated submissions of finished jobs answered")
			}
			s.at(s.between(0, 4*time.Millisecond), func() { j.learnLate(askedAt, v, true) })
		})
	})
}

// phaseOf is the phase that an answer of the user service reports.
func phaseOf(a userapi.Answer) pipeline.Phase {
	st, _ := a.Body.(wire.RunState)
	switch st.Status {
	case "done":
		return pipeline.Done
	case "aborted":
		return pipeline.Cancelled
	}
	return pipeline.Active
}

// oddRequests has users repeat submissions, cancel jobs that are done, and submit what can't run or lacks a field, at
// regular intervals.
func (s *script) oddRequests(from, period time.Duration) {
	s.every(from, period, func() {
		n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
		var over, open []*userJob
		for _, j := range s.w.sortedJobs() {
			switch {
			case !j.accepted:
			case j.reportedPhase == pipeline.Active:
				open = append(open, j)
			default:
				over = append(over, j)
			}
		}
		if len(open) > 0 {
			s.resubmit(n, open[s.rng.IntN(len(open))])
		}
		if len(over) > 0 {
			j := over[s.rng.IntN(len(over))]
			s.resubmit(n, j)
			if j.reportedPhase == pipeline.Done {
				s.count("cancellations of completed jobs")
				j.cancel()
			}
		}
		s.submitInvalid(n)
	})
}

// submitInvalid submits a job that can't run or lacks a field; it must be refused.
func (s *script) submitInvalid(n *node) {
	s.jobs++
	sp := pipeline.Spec{
		Ref: probeJobRefs.ref(s.jobs), Class: "c", Team: "red", Image: "img-0", ImageGB: 1, Tasks: 2, CPUs: 1, MemGB: 1,
		Priority: pipeline.Normal, Estimate: time.Second,
	}
	b := bodyOf(&sp)
	want := http.StatusUnprocessableEntity
	switch s.rng.IntN(6) {
	case 0:
		b["owner"] = "nobody"
	case 1:
		b["vcpus"] = 1000.0
	case 2:
		b["builds"] = []string{"none"}
	case 3:
		b["shape"], b["lots"] = "ensemble", 21 // the team's limit is 20
	case 4:
		b["yard"] = "nowhere"
	case 5:
		want = http.StatusBadRequest
		fields := []string{"ref", "lot_kind", "owner", "shape", "urgency", "lots", "vcpus", "cards", "mem_gb", "kit",
			"pull_gb", "one_zone", "apart", "loaners", "guess_s", "mark_s", "stash_s"}
		if f := fields[s.rng.IntN(len(fields))]; s.chance(0.5) {
			delete(b, f)
		} else {
			b[f] = nil
		}
	}
	a := s.postSubmission(n, b)
	switch {
	case a.Status == noAnswer || a.Status == http.StatusServiceUnavailable:
		return
	case a.Status != want:
		s.w.checker.fail("accepted: a submission that must get %d gets %d: %v", want, a.Status, b)
	case s.w.store.items[jobPrefix+sp.Ref] != nil:
		s.w.checker.fail("accepted: %s is stored and was refused: %v", sp.Ref, b)
	}
	s.count("invalid submissions refused")
}
