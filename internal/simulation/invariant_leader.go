package simulation

// singleLeader: no two controllers may act at once, none acts in an earlier term than one that could act
// before, and none acts while its process is paused. Leaders' terms fence what reaches workers and the state
// service, so the protocol's rules about tasks and jobs rest on this.
//
// Deliberate faults: "a second node with a valid lease", "a leader of an earlier term", "a paused leader that
// acts".
type singleLeader struct {
	w          *World
	newestTerm uint64 // of the leaders so far
}

func (i *singleLeader) observe(o observation) {
	switch o := o.(type) {
	case eventHandled:
		i.checkLeaders()
	case engineStepped:
		if o.node.paused() {
			i.w.checker.fail("%s acts while it is paused", o.node.name)
		}
	}
}

func (i *singleLeader) checkLeaders() {
	var leader *node
	for _, n := range i.w.nodes {
		switch {
		case !n.holdsLease():
		case leader != nil:
			i.w.checker.fail("two leaders: %s of term %d and %s of term %d",
				leader.name, leader.term.Number, n.name, n.term.Number)
		case n.term.Number < i.newestTerm:
			i.w.checker.fail("leader of the past: %s acts in term %d after term %d", n.name, n.term.Number, i.newestTerm)
		default:
			leader, i.newestTerm = n, n.term.Number
		}
	}
}

// restoredTo has terms counted from an earlier one again, since the state service was restored from an older
// copy. Fencing tokens keep the new terms apart from the forgotten ones.
func (i *singleLeader) restoredTo(term uint64) { i.newestTerm = term }
