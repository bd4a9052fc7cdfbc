package simulation

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/core"
)

// probeConsistency has users query a job right after it was accepted, ended or confirmed as
// cancelled.
func (s *script) probeConsistency() {
	s.onAccepted = append(s.onAccepted, s.probeJob)
	s.onConfirmed = append(s.onConfirmed, s.probeJob)
	s.onEnded = append(s.onEnded, func(j *userJob) {
		for _, d := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			s.at(d, func() { s.probeJob(j) })
		}
	})
}

// probeJob queries every node about a job several times within milliseconds, and repeats its
// submission to one node.
func (s *script) probeJob(j *userJob) {
	for range 3 {
		for _, n := range s.w.nodes {
			s.at(s.between(1, 10*time.Millisecond), func() { s.queryJob(n, j) })
		}
	}
	n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
	s.at(s.between(1, 10*time.Millisecond), func() { s.resubmit(n, j) })
}

// queryJob queries a node about a job. The node answers up to 4 ms after the query was sent, later
// if it is paused or busy, and the answer takes up to 4 ms to arrive.
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

// queryAtRandom returns a node's answer to a query: with a probability of one half that of the
// simulated controller, otherwise that of the real user service. ok is false if the node can't
// answer.
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
