package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
)

// Bounds of the Retry-After that a refused submission gets.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// admissionConsistent: no controller goes back to an older admission policy, a policy has the same
// content at every controller, and a refused submission gets a Retry-After within its bounds.
//
// Deliberate faults: "an older policy taken", "two policies of one number", "a user turned away for an hour".
type admissionConsistent struct {
	w        *World
	policies map[[2]uint64]string // the encoded policies seen so far, by term and number
}

func (i *admissionConsistent) observe(o observation) {
	switch o := o.(type) {
	case policyOffered:
		i.checkSame(o.offered)
		if o.before.NewerThan(o.node.gate.Policy()) {
			i.w.checker.fail("%s goes back from policy %d.%d to an older one", o.node.name, o.before.Term, o.before.Number)
		}
	case submissionRefused:
		if o.retryAfter < minRetryAfter || o.retryAfter > maxRetryAfter {
			i.w.checker.fail("a submission is refused with a Retry-After of %s", o.retryAfter)
		}
	}
}

// checkSame checks that a policy has the content that it had when it was last seen. Number 0 means
// no policy.
func (i *admissionConsistent) checkSame(p admission.Policy) {
	if p.Number == 0 {
		return
	}
	key := [2]uint64{p.Term, p.Number}
	text := fmt.Sprintf("%x", codec.MustMarshal(p))
	if earlier, known := i.policies[key]; known && earlier != text {
		i.w.checker.fail("policy %d.%d has two different contents", p.Term, p.Number)
	}
	i.policies[key] = text
}
