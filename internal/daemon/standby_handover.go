package daemon

import (
	"log/slog"
	"time"
)

const (
	// handOverFlush bounds the wait for the successor to have the last changes.
	handOverFlush = time.Second
	// handOverWait bounds the wait for another node to lead; meanwhile workers are sent to
	// the successor.
	handOverWait = 3 * time.Second
	// handOverPoll is how often either is looked at.
	handOverPoll = 20 * time.Millisecond
)

// handOver has a leader that is told to end give its term up to the most current standby,
// and waits until that leads. Without a standby it ends at once, as ever: then its lease
// has to lapse.
func (d *Daemon) handOver() {
	s := d.session.Load()
	if d.warm == nil || s == nil || !s.holdsLease() {
		return
	}
	s.replicate()
	successor := d.warm.nameSuccessor(d.peersFirst())
	if successor == "" {
		slog.Info("no standby to hand over to", "term", s.term.Number)
	} else {
		slog.Info("handing over", "term", s.term.Number, "to", successor)
		waitFor(handOverFlush, func() bool { return d.warm.caughtUp(successor) })
	}
	d.elector.HandOver(successor)
	waitFor(handOverWait, func() bool {
		return !s.holdsLease() && d.elector.FollowsAnother()
	})
}

// waitFor waits until something holds, but not for longer than a bound.
func waitFor(bound time.Duration, holds func() bool) {
	for end := time.Now().Add(bound); time.Now().Before(end) && !holds(); {
		time.Sleep(handOverPoll)
	}
}

// nameSuccessor has the followers told who is to lead next, and returns its name; empty if
// none has the state.
func (n *standbyNode) nameSuccessor(candidates []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return ""
	}
	successor := n.publisher.HandOver(candidates)
	n.wakeAll()
	return successor
}

// caughtUp tells whether a follower has all changes.
func (n *standbyNode) caughtUp(follower string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.publisher == nil || n.publisher.CaughtUp(follower)
}
