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
	// extensionPath is the path of a leader's request to extend its lease. The path is older than
	// the term "extension" and is part of the protocol between controllers.
	extensionPath = "/promise"
	// extensionProbeTimeout bounds the check, before an extension is granted, whether the state
	// service serves this controller.
	extensionProbeTimeout = 300 * time.Millisecond
	// missingHeartbeatsSlack is how late a worker's heartbeat may be.
	missingHeartbeatsSlack = 2 * time.Second
)

// electionNode implements leadership.Node: this controller as a candidate in leader election.
type electionNode struct{ c *Controller }

// BeginTerm prepares the leader's work of a term that this controller has claimed, and returns it.
func (n electionNode) BeginTerm(lease *leadership.TermLease) (work func(ctx context.Context)) {
	c := n.c
	c.replicator.TermClaimed(lease.Term())
	c.metrics.TermStarted(lease.Term().Number)
	t := term.New(lease, c.termDependencies())
	c.term.begin(t)
	return func(ctx context.Context) { c.runTerm(ctx, t, lease) }
}

// runTerm does the leader's work of one term, whose end it also is when that work ends. It returns
// once none of the work is running any more.
func (c *Controller) runTerm(ctx context.Context, t *term.Term, lease *leadership.TermLease) {
	err := t.Run(ctx, func() { c.term.takenOver(t) })
	lease.End()
	c.log.Info("term ended", "term", t.Number(), "reason", err)
	t.Wait()
}

// EndTerm ends this controller's part as the leader: from now on it serves as a follower, although
// calls of the term that are in flight may still have to return.
func (n electionNode) EndTerm(claimed leadership.Term) {
	n.c.term.end()
	n.c.replicator.TermEnded(claimed.Number)
	n.c.metrics.TermEnded()
}

// termDependencies returns the clients, components and settings that a term works with.
func (c *Controller) termDependencies() term.Dependencies {
	return term.Dependencies{
		Store: c.store, Records: c.leaderJobs, Cloud: c.cloud, MachineTypes: c.machineTypes,
		Replicator: c.replicator, Direct: c.direct, Metrics: c.metrics,
		Config: c.core, RoundTime: c.operator.RoundTime, MaxBatch: c.limits.MaxBatch(),
		Loops: []term.Loop{func(ctx context.Context, t *term.Term) error { return c.overload.RunLeader(ctx, t) }},
	}
}

// LeaseResumed tells a term that its lease had lapsed and is valid again.
func (n electionNode) LeaseResumed(claimed leadership.Term) {
	if t := n.c.term.Load(); t != nil && t.Number() == claimed.Number {
		t.LeaseResumed()
	}
}

// LeaderLost tells the warm standby that there is no leader any more.
func (n electionNode) LeaderLost() { n.c.replicator.LeaderLost() }

// ClaimDelay returns for how long this controller lets others claim first.
func (n electionNode) ClaimDelay() time.Duration { return n.c.replicator.ClaimDelay() }

// HeartbeatsMissing reports whether no worker has reached this controller for longer than is normal,
// for example because it is cut off from them. It then lets other controllers lead.
func (n electionNode) HeartbeatsMissing() bool {
	quiet := term.MissedHeartbeats*n.c.core.HeartbeatInterval + missingHeartbeatsSlack
	if time.Since(n.c.started) < quiet {
		return false
	}
	return time.Since(n.c.agents.LastContact()) > quiet
}

// RequestExtension asks a peer to extend this controller's lease, and reports whether it agreed.
func (n electionNode) RequestExtension(ctx context.Context, member string) bool {
	response, err := n.c.peers.Relay(ctx, member, peer.Request{Method: http.MethodPost, Path: extensionPath})
	if err != nil {
		return false
	}
	n.c.health.PeerAnswered(time.Now())
	return response.Status == http.StatusOK
}

// grantExtension answers a leader that can't renew its lease and asks for an extension; it returns
// the HTTP status. A controller that the state service serves refuses, since then it may be the
// leader alone that isn't served (docs/design.md, "Lease extension"). Each call asks the state
// service anew: an earlier response says nothing about an outage that has just begun, and the
// leader's lease may end before a later check.
func (c *Controller) grantExtension(ctx context.Context) int {
	if c.storeServes(ctx, extensionProbeTimeout) || !c.elector.GrantExtension() {
		return http.StatusConflict
	}
	return http.StatusOK
}

const (
	// handOverFlush bounds the wait until the successor has received the last changes.
	handOverFlush = time.Second
	// handOverWait bounds the wait until another controller leads. Until then workers are redirected
	// to the successor.
	handOverWait = 3 * time.Second
	// handOverPoll is how often both conditions are checked.
	handOverPoll = 20 * time.Millisecond
)

// handOver is called when the process is told to stop. A leader gives up its term in favor of the
// standby with the most current copy, and waits until another controller leads. Without the warm
// standby it does nothing: the leader's lease then has to expire before another controller leads.
func (c *Controller) handOver() {
	t := c.term.Load()
	if !c.replicator.Enabled() || t == nil || !t.HoldsLease() {
		return
	}
	t.Replicate()
	successor := c.replicator.NameSuccessor(c.peersLeaderFirst())
	if successor == "" {
		c.log.Info("no standby to hand over to", "term", t.Number())
	} else {
		c.log.Info("handing over", "term", t.Number(), "successor", successor)
		waitUntil(handOverFlush, func() bool { return c.replicator.CaughtUp(successor) })
	}
	t.HandOver(successor)
	waitUntil(handOverWait, func() bool { return !t.HoldsLease() && c.elector.FollowsAnother() })
}

// waitUntil waits until a condition holds, but not for longer than bound.
func waitUntil(bound time.Duration, holds func() bool) {
	for end := time.Now().Add(bound); time.Now().Before(end) && !holds(); {
		time.Sleep(handOverPoll)
	}
}
