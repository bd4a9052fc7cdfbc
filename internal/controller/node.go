package controller

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/controller/term"
	"gingertally/internal/leadership"
	"gingertally/internal/peer"
)

const (
	// extensionPath is where a leader asks a controller to extend its lease. The name is of
	// an earlier version, and part of the protocol between controllers.
	extensionPath = "/promise"
	// probeTimeout bounds the look at whether the state service serves this controller.
	probeTimeout = 300 * time.Millisecond
	// missingHeartbeatsSlack is what a worker's heartbeat may be late.
	missingHeartbeatsSlack = 2 * time.Second
)

// electionNode is this controller as leader election sees it (leadership.Node).
type electionNode struct{ c *Controller }

// RunTerm does the leader's work of one term.
func (n electionNode) RunTerm(ctx context.Context, claimed leadership.Term) {
	c := n.c
	c.replicator.TermClaimed(claimed)
	t := term.New(claimed, c.termDependencies())
	c.metrics.TermStarted(claimed.Number)
	err := t.Run(ctx, func() { c.term.Store(t) })
	c.term.CompareAndSwap(t, nil)
	c.replicator.TermEnded(claimed.Number)
	c.metrics.TermEnded()
	c.log.Info("term ended", "term", claimed.Number, "reason", err)
	t.Wait()
}

// termDependencies are what a term of this controller works with.
func (c *Controller) termDependencies() term.Dependencies {
	return term.Dependencies{
		Lease: c.elector, Store: c.store, Records: c.records, Cloud: c.cloud, MachineTypes: c.machineTypes,
		Replicator: c.replicator, Direct: c.direct, Metrics: c.metrics,
		Config: c.core, RoundBudget: c.operator.RoundBudget, MaxBatch: c.limits.MaxBatch(),
		Loops: []term.Loop{func(ctx context.Context, t *term.Term) error { return c.overload.RunLeader(ctx, t) }},
	}
}

// LeaseResumed tells the term that the leader's lease is valid again.
func (n electionNode) LeaseResumed() {
	if t := n.c.term.Load(); t != nil {
		t.LeaseResumed()
	}
}

// LeaderLost notes that nobody leads any more.
func (n electionNode) LeaderLost() { n.c.replicator.LeaderLost() }

// ClaimDelay is for how long this controller lets others claim first.
func (n electionNode) ClaimDelay() time.Duration { return n.c.replicator.ClaimDelay() }

// HeartbeatsMissing tells whether no worker has reached this controller for longer than is normal, as
// when it is cut off from them: it then lets others lead.
func (n electionNode) HeartbeatsMissing() bool {
	quiet := term.MissedHeartbeats*n.c.core.HeartbeatInterval + missingHeartbeatsSlack
	if time.Since(n.c.started) < quiet {
		return false
	}
	return time.Since(n.c.agents.LastContact()) > quiet
}

// RequestExtension asks a peer to extend this controller's lease.
func (n electionNode) RequestExtension(ctx context.Context, member string) bool {
	response, err := n.c.peers.Relay(ctx, member, peer.Request{Method: http.MethodPost, Path: extensionPath})
	if err != nil {
		return false
	}
	n.c.health.PeerAnswered(time.Now())
	return response.Status == http.StatusOK
}

// grantExtension is the answer to a leader that can't renew its lease. A controller that the
// state service serves refuses, for the case that it is the leader alone that isn't
// served (docs/design.md, "Lease extension"). It looks each time: that it was served a
// moment ago says nothing about an outage that has just begun, and the leader's lease may
// be over a moment later.
func (c *Controller) grantExtension(ctx context.Context) int {
	if c.storeServes(ctx, probeTimeout) || !c.elector.GrantExtension() {
		return http.StatusConflict
	}
	return http.StatusOK
}

const (
	// handOverFlush bounds the wait for the successor to have the last changes.
	handOverFlush = time.Second
	// handOverWait bounds the wait for another controller to lead; meanwhile workers are sent to
	// the successor.
	handOverWait = 3 * time.Second
	// handOverPoll is how often either is looked at.
	handOverPoll = 20 * time.Millisecond
)

// handOver has a leader that is told to end give its term up to the most current standby,
// and waits until that leads. Without the warm standby it ends at once: then its lease
// has to expire.
func (c *Controller) handOver() {
	t := c.term.Load()
	if !c.replicator.Enabled() || t == nil || !t.HoldsLease() {
		return
	}
	t.Replicate()
	successor := c.replicator.NameSuccessor(c.peersFirst())
	if successor == "" {
		c.log.Info("no standby to hand over to", "term", t.Number())
	} else {
		c.log.Info("handing over", "term", t.Number(), "successor", successor)
		waitUntil(handOverFlush, func() bool { return c.replicator.CaughtUp(successor) })
	}
	c.elector.HandOver(successor)
	waitUntil(handOverWait, func() bool { return !t.HoldsLease() && c.elector.FollowsAnother() })
}

// waitUntil waits until something holds, but not for longer than a bound.
func waitUntil(bound time.Duration, holds func() bool) {
	for end := time.Now().Add(bound); time.Now().Before(end) && !holds(); {
		time.Sleep(handOverPoll)
	}
}
