package core

import "fmt"

// numbering makes the numbers and names that have to be unique over all terms: the term is
// part of each.
type numbering struct {
	term    uint64
	counter uint64 // of attempts, pages and requests for machines, which are numbered together
}

const (
	// attemptBits is the room for the attempts of one term in an attempt's number.
	attemptBits = 24
	// attemptReserve is how many numbers are left when a term counts as used up: more than one
	// round of decisions and its requests for machines take.
	attemptReserve = 1 << 16
)

// next returns the next number of this term.
func (n *numbering) next() uint64 {
	n.counter++
	return n.counter
}

// attemptsUsedUp reports whether this term has no attempt numbers left. A fleet of thousands of
// machines uses them up within hours; the next number would be one of the next term
// (TestTermEndsBeforeItsNumbers).
func (n *numbering) attemptsUsedUp() bool { return n.counter >= 1<<attemptBits-attemptReserve }

// nextAttempt makes an attempt number (docs/design.md, safety argument 3).
func (n *numbering) nextAttempt() uint64 { return n.term<<attemptBits | n.next() }

// nextPageName makes a name for a page of the start log, the image log or the records of drains.
func (n *numbering) nextPageName() string { return fmt.Sprintf("%d-%d", n.term, n.next()) }

// nextRequestName makes a name for a request for machines.
func (n *numbering) nextRequestName() string { return fmt.Sprintf("r-%d-%d", n.term, n.next()) }
