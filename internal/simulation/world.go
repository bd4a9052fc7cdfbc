// Package simulation plays the world around the service from its published
// protocol: state service, cloud, workers and users in simulated time, with
// faults, and a checker of PROTOCOL's rules that runs after every step. The
// controllers in it run the real core and job store.
package simulation

import (
	"container/heap"
	"fmt"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/recovery"
)

// Options say what a world is like.
type Options struct {
	Seed               uint64
	Length             time.Duration // faults and users' calls end here
	SettleTime         time.Duration // how long the world then goes on in peace
	Nodes              int
	Zones              int
	Jobs               int
	Faults             bool
	CorrelatedFailures bool // many machines fail together, and controllers stall
	Pipelines          int  // pipelines of jobs that wait for each other
	RollingUpgrade     bool // the version in production runs first, and is replaced node by node
	LowerStoreLimits   bool // the state service lowers its limits at some moment after that
	HeartbeatInterval  time.Duration
	Lease              time.Duration
	CancelWithin       time.Duration
	LeaseTTL           time.Duration        // of the lease under the leader key
	Pace               recovery.PaceOptions // of orders at the start of a term
	Admission          bool                 // admission control, and a team that floods the deployment
	Standby            bool                 // the leader's warm state is replicated
	Drains             bool                 // operators drain machines, within budgets
	DrainFault         deliberateDrainFault // a deliberate fault of drains
	ShortLease         bool                 // the jobs and faults of a deployment with short leases
}

// World is a simulated deployment.
type World struct {
	options Options
	random
	start    time.Time
	now      time.Time
	queue    events
	seq      int
	store    *Store
	catalog  placement.Catalog
	zones    []string
	teams    map[string]placement.Quota
	nodes    []*node
	cloud    *cloudSim
	machines map[string]*machine
	jobs     map[string]*userJob
	checker  *checker
	lease    leaderLease
	// Trace, if set, gets what the controllers log.
	Trace           func(at time.Duration, node string, line core.LogRecord)
	networkReliable bool // peace: no losses and delays any more
	faultsEndedAt   time.Time
	// what the network between zones and nodes does
	cutZones         map[string]bool     // cut off from everything
	partitionedZones map[[2]string]bool  // two zones that can't reach each other
	peersRefuse      bool                // connections between controllers are refused
	leaseExtensions  int                 // how often peers have extended the lease of a leader
	correlated       *correlatedFailures // nil: none
	pipelines        *pipelinePlan
	script           *script           // nil: none
	shortLease       *shortLease       // nil: none
	digest           *digest           // nil: none
	output           *outputDigest     // nil: none
	admission        *admissionNetwork // nil: everything is admitted
	drains           *drainOperators   // nil: nobody drains machines
	standbys         *standbyNetwork   // nil: the warm state isn't replicated
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if !e[i].at.Equal(e[k].at) {
		return e[i].at.Before(e[k].at)
	}
	return e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push adds an event at the end.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event out.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// NewWorld builds a deployment in which all is well so far.
func NewWorld(o Options) *World {
	w := &World{options: o, random: newRandom(o.Seed, worldStream), start: time.Unix(1_800_000_000, 0), zones: []string{"east", "west", "north"}[:o.Zones],
		cutZones: map[string]bool{}, partitionedZones: map[[2]string]bool{}, machines: map[string]*machine{}, jobs: map[string]*userJob{}}
	w.now = w.start
	w.store = &Store{w: w, items: map[string]*item{}}
	w.catalog = placement.Catalog{
		"small": {Name: "small", CPUs: 4, MemGB: 16, CacheGB: 10, FetchGBPerS: 0.5, Hourly: 1, SpotHour: 0.4, Boot: 8 * time.Second, Zones: w.zones},
		"large": {Name: "large", CPUs: 16, GPUs: 4, MemGB: 64, CacheGB: 10, FetchGBPerS: 1, Hourly: 6, SpotHour: 2, Boot: 10 * time.Second, Zones: w.zones},
	}
	w.teams = map[string]placement.Quota{"red": {CPULimit: 20, GuaranteedGPUs: 2, GPULimit: 4}, "blue": {GuaranteedCPUs: 8}, "green": {}}
	if o.ShortLease {
		w.shortLease = newShortLease(w)
	}
	if o.Standby {
		w.standbys = newStandbyNetwork(w)
	}
	if o.Admission {
		w.admission = newAdmissionWorld(w)
	}
	if o.Drains {
		w.drains = newDrainWorld(w)
	}
	w.checker = newChecker(w)
	w.cloud = &cloudSim{w: w, scaleOutAnswers: map[string][]string{}}
	for i := range o.Nodes {
		n := &node{w: w, runsProduction: o.RollingUpgrade, name: fmt.Sprintf("node-%d", i), zone: w.zones[i%len(w.zones)], clockRate: w.shortLease.clockRate(1 + (w.rng.Float64()-0.5)*0.001)}
		w.nodes = append(w.nodes, n)
		n.boot()
	}
	for range 4 {
		w.cloud.create([]string{"small", "large"}[w.rng.IntN(2)], w.zones[w.rng.IntN(len(w.zones))], false, 0)
	}
	w.planUsers()
	if w.admission != nil {
		w.floodUsers()
	}
	w.pipelines = newPipelinePlan(w)
	w.shortLease.start()
	w.drains.start()
	if o.Faults {
		w.planFaults()
	}
	if o.CorrelatedFailures {
		w.planCorrelatedFailures()
	}
	return w
}

// unreliable tells whether the network loses and delays messages by chance.
func (w *World) unreliable() bool { return w.options.Faults && !w.networkReliable }

// after runs fn once some time has passed.
func (w *World) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(max(d, 0)), w.seq, fn})
}

// reachable tells whether packets get from one zone to another; an empty name stands
// for what belongs to no zone, as the state service.
func (w *World) reachable(a, b string) bool {
	if a == b {
		return true
	}
	return !w.cutZones[a] && !w.cutZones[b] && !w.partitionedZones[[2]string{a, b}] && !w.partitionedZones[[2]string{b, a}]
}

// Run plays the world to its end, or to the first broken rule.
func (w *World) Run() error {
	end := w.start.Add(w.options.Length + w.options.SettleTime)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		w.digest.add(w, "event", "world", e.seq)
		e.fn()
		w.checker.observe(eventHandled{})
		w.script.observe()
		if w.checker.violation != nil {
			return w.violation()
		}
	}
	w.checker.observe(worldEnded{})
	return w.violation()
}

// violation is the first broken rule, with the seed and the time at which it was broken; nil if all held.
func (w *World) violation() error {
	if w.checker.violation == nil {
		return nil
	}
	return fmt.Errorf("seed %d, %.3f s: %w", w.options.Seed, w.now.Sub(w.start).Seconds(), w.checker.violation)
}

// Started tells how many tasks were started, Done how many jobs were seen done.
func (w *World) Started() int { return w.checker.ledger.started }

// Done counts the jobs whose users were told that they are done.
func (w *World) Done() int {
	n := 0
	for _, j := range w.jobs {
		if j.reportedPhase == pipeline.Done {
			n++
		}
	}
	return n
}

// CancelledAsDependent counts the jobs whose users were told that they are cancelled although
// they had only asked so for jobs before them.
func (w *World) CancelledAsDependent() int {
	n := 0
	for _, j := range w.jobs {
		if j.reportedPhase == pipeline.Cancelled && !j.cancelRequested {
			n++
		}
	}
	return n
}
