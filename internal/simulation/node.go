package simulation

import (
	"time"

	"gingertally/internal/controller/limits"
	"gingertally/internal/core"
	"gingertally/internal/health"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
)

// node is a controller: the real core, job store, standby and admission control round a simulated shell. Its
// state is divided by concern; the methods of each concern stand in a file of their own.
type node struct {
	w              *World
	name, zone     string
	clockRate      float64 // of its steady clock
	runsProduction bool    // runs the version in production
	health         *health.Tracker
	jobs           *jobstore.Jobs

	process
	leaderState
	candidacy candidacy
	links     links
	request   storeRequest
	warmStandby
	admissionControl
}

// process is the state of a node's operating system process.
type process struct {
	incarnation int       // rises with each end of the process
	bootedAt    time.Time // by the node's clock
	down        bool
	pausedUntil time.Time // stopped until then, its clocks running on
	slowUntil   time.Time // computes slowly until then
	busyUntil   time.Time // is busy with a step until then
}

// leaderState is what a node has while it leads. Without an engine it doesn't.
type leaderState struct {
	engine     *core.Engine
	term       leadership.Term
	lease      int                 // number of its leader lease in the state service
	leaseUntil time.Time           // when the lease ends, by its clock
	extensions map[*node]time.Time // of its lease, granted by each peer, by its clock
	writing    bool                // a batch is on its way to the state service
}

// links are the faults of a node's connections.
type links struct {
	storeUnreachable   bool // cut off from the state service
	refusedByStore     bool // the state service refuses this node alone
	workersUnreachable bool
	peersUnreachable   bool
}

// storeRequest is how the state service treats the request that a node is just sending.
type storeRequest struct {
	answerLost  bool
	commitDelay time.Duration // how much later its transaction is carried out
}

// How often a node does what it does again and again.
const (
	dependencyLookupInterval = 500 * time.Millisecond
	healthProbeInterval      = time.Second
	tickInterval             = 200 * time.Millisecond
	instanceListInterval     = 2 * time.Second
)

// local is the time by the node's steady clock.
func (n *node) local() time.Time {
	return n.w.start.Add(time.Duration(float64(n.w.elapsed()) * n.clockRate))
}

// holdsLease tells whether the node leads with a valid lease, by its own clock.
func (n *node) holdsLease() bool {
	return !n.down && n.engine != nil && n.local().Before(n.leaseUntil)
}

// boot starts the process. Its loops end with it.
func (n *node) boot() {
	n.incarnation++
	n.down, n.bootedAt = false, n.local()
	n.leaderState = leaderState{extensions: map[*node]time.Time{}}
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

// crash ends the process. It boots again after a while.
func (n *node) crash(downFor time.Duration) {
	n.down, n.pausedUntil, n.busyUntil = true, time.Time{}, time.Time{}
	n.engine, n.publisher = nil, nil
	n.incarnation++
	n.w.after(downFor, n.boot)
}

// paused tells whether the process is stopped for a while, its clocks running on.
func (n *node) paused() bool { return n.w.now.Before(n.pausedUntil) }

// loop calls a function again and again for as long as an incarnation of the process lasts.
func (n *node) loop(incarnation int, every time.Duration, fn func()) {
	n.w.after(n.w.between(every/2, every), func() {
		n.run(incarnation, func() {
			fn()
			n.loop(incarnation, every, fn)
		})
	})
}

// run has an incarnation of the process do something: at once, or, if it is paused or busy, when it goes on. It
// does nothing if the process has ended meanwhile.
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

// cutOff tells whether the state service can't be reached from here.
func (n *node) cutOff() bool { return n.links.storeUnreachable || !n.w.network.reachable("", n.zone) }

// storeDown tells whether the state service, if it is reached, refuses this node.
func (n *node) storeDown() bool { return n.w.store.down || n.links.refusedByStore }

// reaches tells whether another controller can be reached from here.
func (n *node) reaches(o *node) bool {
	running := !n.down && !o.down && !n.paused() && !o.paused()
	connected := !n.links.peersUnreachable && !o.links.peersUnreachable && !n.w.network.peersRefuse
	return running && connected && n.w.network.reachable(n.zone, o.zone)
}

// probeHealth notes whether this node reaches the state service and other controllers.
func (n *node) probeHealth() {
	switch {
	case n.cutOff():
	case n.storeDown():
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
