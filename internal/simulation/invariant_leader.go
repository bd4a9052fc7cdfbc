package simulation

// singleLeader: no two controllers hold a valid leader lease at once, none holds one or answers a
// worker or user in an earlier term than a previous leader's, and none acts while its process is paused. What leaders send to
// workers and the state service is fenced by their term, so the protocol's rules about tasks and
// jobs depend on this.
//
// Deliberate faults: "a second node with a valid lease", "a leader of an earlier term", "a former term that
// acts under the lease of the next", "a paused leader that acts".
type singleLeader struct {
	w          *World
	newestTerm uint64 // highest term of the leaders so far
}

func (i *singleLeader) observe(o observation) {
	switch o := o.(type) {
	case eventHandled:
		i.checkLeaders()
	case answeredInTerm:
		if o.term < i.newestTerm {
			i.w.checker.fail("stale leader: a worker or user is answered in term %d after term %d", o.term, i.newestTerm)
		}
	case engineStepped:
		if o.node.paused() {
			i.w.checker.fail("%s acts while it is paused", o.node.name)
		}
	}
}

// checkLeaders checks that at most one node holds a valid lease, and that its term isn't an earlier
// one.
func (i *singleLeader) checkLeaders() {
	var leader *node
	for _, n := range i.w.nodes {
		switch {
		case !n.holdsLease():
		case leader != nil:
			i.w.checker.fail("two leaders: %s of term %d and %s of term %d",
				leader.name, leader.term.Number, n.name, n.term.Number)
		case n.term.Number < i.newestTerm:
			i.w.checker.fail("stale leader: %s acts in term %d after term %d", n.name, n.term.Number, i.newestTerm)
		default:
			leader, i.newestTerm = n, n.term.Number
		}
	}
}

// resetNewestTerm sets the newest term back to an earlier one after the state service was restored
// from an older copy. Fencing tokens distinguish the new terms from the lost ones of the same
// numbers.
func (i *singleLeader) resetNewestTerm(term uint64) { i.newestTerm = term }
