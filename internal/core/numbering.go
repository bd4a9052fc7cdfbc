package core

import "fmt"

// numbering generates the numbers and names that have to be unique over all terms: each contains
// the term.
type numbering struct {
	term    uint64
	counter uint64 // last number, shared by attempts, pages and requests for machines
}

const (
	// attemptBits is the number of low bits of an attempt number that count within a term.
	attemptBits = 24
	// attemptReserve is how many numbers are left when a term's numbers count as used up. It is
	// more than one round of decisions and its requests for machines need.
	attemptReserve = 1 << 16
)

// next returns the next number of this term.
func (n *numbering) next() uint64 {
	n.counter++
	return n.counter
}

// attemptsUsedUp reports whether this term has used up its attempt numbers, except for the reserve.
// A fleet of thousands of machines uses them up within hours; a number beyond them would belong to
// the next term (TestTermEndsBeforeItsNumbers).
func (n *numbering) attemptsUsedUp() bool { return n.counter >= 1<<attemptBits-attemptReserve }

// nextAttempt returns a new attempt number (docs/design.md, safety argument 3).
func (n *numbering) nextAttempt() uint64 { return n.term<<attemptBits | n.next() }

// nextPageName returns a new name for a page of the start log, the image log or the drains'
// records.
func (n *numbering) nextPageName() string { return fmt.Sprintf("%d-%d", n.term, n.next()) }

// nextRequestName returns a new name for a request for machines.
func (n *numbering) nextRequestName() string { return fmt.Sprintf("r-%d-%d", n.term, n.next()) }
