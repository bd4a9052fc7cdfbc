package simulation

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/userapi"
	"gingertally/internal/wire"
)

// noAnswer stands for the status of a call that gets no answer.
const noAnswer = 0

// postSubmission sends the body of a submission to a node's user service. There is no answer if the
// node can't serve the call.
func (*script) postSubmission(n *node, body any) userapi.Answer {
	if n.down || n.paused() || n.cutOffFromStore() {
		return userapi.Answer{}
	}
	answer := n.service().Submit(context.Background(), codec.MustMarshal(body))
	n.w.output.userAnswer(n, "submission", answer)
	return answer
}

// Names of shapes and priorities in the users' protocol.
var shapeNames = map[pipeline.Shape]string{
	pipeline.Array: "sweep", pipeline.Gang: "ensemble", pipeline.Service: "service",
}

var urgencyNames = map[pipeline.Priority]string{
	pipeline.Production: "production", pipeline.High: "urgent", pipeline.Normal: "normal", pipeline.Low: "idle",
}

// submissionBody returns the body of a job's submission, with the field names of the users'
// protocol.
func submissionBody(s *pipeline.Spec) map[string]any {
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

// phaseOf returns the phase of the job that an answer of the user service reports.
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

// oddRequests has users send unusual requests at regular intervals: they repeat submissions, cancel
// jobs that are done, and submit jobs that can't run or lack a field.
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

// submitInvalid submits a job that can't run, or whose submission lacks a field. It must be refused
// with the right status, and must not be stored.
func (s *script) submitInvalid(n *node) {
	s.jobs++
	sp := pipeline.Spec{
		Ref: probeJobRefs.ref(s.jobs), Class: "c", Team: "red", Image: "img-0", ImageGB: 1, Tasks: 2, CPUs: 1, MemGB: 1,
		Priority: pipeline.Normal, Estimate: time.Second,
	}
	b := submissionBody(&sp)
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
		s.w.checker.fail("accepted: a submission that must get status %d gets %d: %v", want, a.Status, b)
	case s.w.store.items[jobPrefix+sp.Ref] != nil:
		s.w.checker.fail("accepted: %s is stored and was refused: %v", sp.Ref, b)
	}
	s.count("invalid submissions refused")
}

// resubmit repeats the submission of an accepted job. It must never be refused, and the answer must
// not report an older state than the user already knows.
func (s *script) resubmit(n *node, j *userJob) {
	if !j.accepted {
		return
	}
	askedAt, incarnation := s.w.now, n.incarnation
	s.at(s.between(0, 4*time.Millisecond), func() {
		n.run(incarnation, func() {
			a := s.postSubmission(n, submissionBody(&j.spec))
			var v core.JobView
			switch a.Status {
			case noAnswer, http.StatusServiceUnavailable:
				return
			case http.StatusOK, http.StatusCreated:
				v.Phase = phaseOf(a)
			default:
				s.w.checker.fail("forgotten: a repeated submission of %s gets status %d", j.spec.Ref, a.Status)
			}
			s.count("repeated submissions answered")
			if j.reportedPhase != pipeline.Active {
				s.count("repeated submissions of finished jobs answered")
			}
			s.at(s.between(0, 4*time.Millisecond), func() { j.learnLate(askedAt, v, true) })
		})
	})
}
