package simulation

import (
	"time"

	"gingertally/internal/controller/limits"
	"gingertally/internal/core"
	"gingertally/internal/health"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
)

// node is a controller: the real core, job store, standby and admission control in a simulated
// process. Its state and methods are grouped by concern; each concern has its own node_*.go file.
type node struct {
	w              *World
	name, zone     string
	clockRate      float64 // rate of its monotonic clock relative to simulated time
	runsProduction bool    // runs the version in production
	health         *health.Tracker
	jobs           *jobstore.Jobs

	process
	leaderState
	former    *formerTerm // only in worlds with overlapping terms, like takeover
	takeover  *takeover   // nil unless the node is reading the records of a term
	candidacy candidacy
	links     links
	request   storeRequest
	warmStandby
	admissionControl
}

// process is the state of a node's operating system process.
type process struct {
	incarnation int       // increases whenever the process starts or ends
	bootedAt    time.Time // by the node's clock
	down        bool
	pausedUntil time.Time // suspended until then, while its clocks run on
	slowUntil   time.Time // every step takes longer until then
	busyUntil   time.Time // occupied with a step until then
}

// leaderState is the state of a node that leads. The engine is nil if the node doesn't lead.
type leaderState struct {
	engine    *core.Engine
	term      leadership.Term
	lease     int                   // id of its leader lease in the state service
	termLease *leadership.TermLease // the same lease as the node sees it, by its own clock
	writing   bool                  // the outcome of a batch that was sent isn't known yet
}

// links holds the current faults of a node's connections.
type links struct {
	storeUnreachable   bool // its requests to the state service get no answer
	refusedByStore     bool // the state service refuses requests of this node, but not of others
	workersUnreachable bool
	peersUnreachable   bool
}

// storeRequest says what happens to the request that the state service is executing for a node.
type storeRequest struct {
	answerLost  bool
	commitDelay time.Duration // its transaction is executed that much later
}

// Intervals of a node's periodic work.
const (
	dependencyLookupInterval = 500 * time.Millisecond
	healthProbeInterval      = time.Second
	tickInterval             = 200 * time.Millisecond
	instanceListInterval     = 2 * time.Second
)

// local returns the time by the node's monotonic clock.
func (n *node) local() time.Time {
	return n.w.start.Add(time.Duration(float64(n.w.elapsed()) * n.clockRate))
}

// holdsLease reports whether the node leads and, by its own clock, its lease is valid.
func (n *node) holdsLease() bool {
	return !n.down && n.engine != nil && n.termLease.Valid(n.local())
}

// boot starts the process and its periodic work, which ends with the process.
func (n *node) boot() {
	n.incarnation++
	n.down, n.bootedAt = false, n.local()
	n.leaderState, n.former, n.takeover = leaderState{}, nil, nil
	n.candidacy.pendingClaim, n.candidacy.grantedUntil = 0, time.Time{}
	n.health = health.New(n.local())
	n.bootStandby()
	n.bootAdmission()
	jobLimits := n.limits()
	jobLimits.NotCancelledFor = limits.NotCancelledFor(n.w.options.CancelWithin)
	n.jobs = jobstore.New(n.storeView(), jobLimits)
	n.loop(n.incarnation, dependencyLookupInterval, n.lookUpDependencies)
	n.loop(n.incarnation, healthProbeInterval, n.probeHealth)
	n.loop(n.incarnation, n.w.options.LeaseTTL/4, n.claimOrRenew)
	n.loop(n.incarnation, tickInterval, n.tick)
	n.loop(n.incarnation, instanceListInterval, n.listInstances)
}

// crash ends the process, and boots it again after downFor.
func (n *node) crash(downFor time.Duration) {
	n.down, n.pausedUntil, n.busyUntil = true, time.Time{}, time.Time{}
	n.engine, n.publisher, n.former, n.takeover = nil, nil, nil, nil
	n.incarnation++
	n.w.after(downFor, n.boot)
}

// paused reports whether the process is suspended; its clocks run on.
func (n *node) paused() bool { return n.w.now.Before(n.pausedUntil) }

// loop calls fn periodically until an incarnation of the process ends. The time to the next call is
// random, from half of `every` to all of it, and longer if the process is paused or busy then.
func (n *node) loop(incarnation int, every time.Duration, fn func()) {
	n.w.after(n.w.between(every/2, every), func() {
		n.run(incarnation, func() {
			fn()
			n.loop(incarnation, every, fn)
		})
	})
}

// run calls fn in an incarnation of the process: at once or, if the process is paused or busy, once
// it continues. If the incarnation has ended by then, fn isn't called.
func (n *node) run(incarnation int, fn func()) {
	switch {
	case n.incarnation != incarnation || n.down:
	case n.paused():
		resumesIn := n.pausedUntil.Sub(n.w.now) + n.w.between(0, 50*time.Millisecond)
		n.w.after(resumesIn, func() { n.run(incarnation, fn) })
	case n.busyFor() > 0:
		n.w.after(n.busyFor(), func() { n.run(incarnation, fn) })
	default:
		fn()
	}
}

// cutOffFromStore reports whether the node's requests to the state service get no answer.
func (n *node) cutOffFromStore() bool {
	return n.links.storeUnreachable || !n.w.network.reachable("", n.zone)
}

// storeRefuses reports whether the state service, if the node reaches it, refuses its requests.
func (n *node) storeRefuses() bool { return n.w.store.down || n.links.refusedByStore }

// reaches reports whether this node and another one can exchange messages.
func (n *node) reaches(o *node) bool {
	running := !n.down && !o.down && !n.paused() && !o.paused()
	connected := !n.links.peersUnreachable && !o.links.peersUnreachable && !n.w.network.peersRefuse
	return running && connected && n.w.network.reachable(n.zone, o.zone)
}

// probeHealth records which of the state service and the other controllers answer this node.
func (n *node) probeHealth() {
	switch {
	case n.cutOffFromStore():
	case n.storeRefuses():
		n.health.StoreRefused(n.local())
	default:
		n.health.StoreServed(n.local())
	}
	for _, o := range n.w.nodes {
		if o != n && n.reaches(o) {
			n.health.PeerAnswered(n.local())
		}
	}
}
