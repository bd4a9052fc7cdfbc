package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
)

// The times for which admission control may turn a user away.
const (
	shortestRetryAfter = time.Second
	longestRetryAfter  = 30 * time.Second
)

// admissionConsistent: no controller goes back to an older admission policy, a policy says the same at every
// controller, and a refused submission is told to come back after a sensible time.
//
// Deliberate faults: "an older policy taken", "two policies of one number", "a user turned away for an hour".
type admissionConsistent struct {
	w        *World
	policies map[[2]uint64]string // the encoded policies so far, by term and number
}

func (i *admissionConsistent) observe(o observation) {
	switch o := o.(type) {
	case policyTaken:
		i.checkSame(o.offered)
		if o.before.NewerThan(o.node.gate.Policy()) {
			i.w.checker.fail("%s goes back from policy %d.%d", o.node.name, o.before.Term, o.before.Number)
		}
	case submissionRefused:
		if o.retryAfter < shortestRetryAfter || o.retryAfter > longestRetryAfter {
			i.w.checker.fail("Retry-After of %s", o.retryAfter)
		}
	}
}

// checkSame checks that a policy says what it said when it was first seen. Number 0 is no policy.
func (i *admissionConsistent) checkSame(p admission.Policy) {
	if p.Number == 0 {
		return
	}
	key := [2]uint64{p.Term, p.Number}
	text := fmt.Sprintf("%x", codec.MustMarshal(p))
	if earlier, known := i.policies[key]; known && earlier != text {
		i.w.checker.fail("policy %d.%d says two things", p.Term, p.Number)
	}
	i.policies[key] = text
}
