package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/recovery"
)

// Options are the parameters of a world.
type Options struct {
	Seed       uint64
	Length     time.Duration // how long there are faults and users' calls
	SettleTime time.Duration // how long the world then runs without faults

	Nodes int // controllers
	Zones int
	Jobs  int // of ordinary users

	HeartbeatInterval time.Duration
	Lease             time.Duration // a worker's
	LeaseTTL          time.Duration // of the lease under the leader key
	CancelWithin      time.Duration
	Pace              recovery.PaceOptions // of starts and stops at the beginning of a term

	Faults             bool // random faults, singly and together
	CorrelatedFailures bool // many machines fail together, and controllers pause
	ShortLease         bool // the jobs and faults of a deployment with short leases
	Pipelines          int  // pipelines of jobs that depend on each other
	RollingUpgrade     bool // the version in production runs first and is replaced node by node
	LowerStoreLimits   bool // the state service lowers its limits at a random time, after any upgrade

	Standby    bool                 // warm standby: the leader's state is replicated to other nodes
	Admission  bool                 // admission control, and a team that floods the deployment
	Drains     bool                 // operators drain machines, within disruption budgets
	Overlap    bool                 // terms of a node overlap, and leaders lose and regain the lead
	DrainFault deliberateDrainFault // breaks a rule of drains, to test that its invariant fails
}

// World is a simulated deployment.
type World struct {
	options Options
	random
	clock

	// Parts of the deployment.
	network  network
	store    *Store
	cloud    *cloudSim
	catalog  placement.Catalog
	zones    []string
	teams    map[string]placement.Quota
	nodes    []*node
	machines map[string]*machine
	jobs     map[string]*userJob

	// Parts that the options or a script enable; nil: disabled.
	correlated *correlatedFailures
	pipelines  *pipelinePlan
	shortLease *shortLease
	admission  *admissionNetwork
	drains     *drainOperators
	standbys   *standbyNetwork
	overlap    *termOverlap
	script     *script

	// Checks and records of the run.
	checker *checker
	digest  *digest       // nil: none
	output  *outputDigest // nil: none
	// Trace, if set, is called with each log record of the controllers.
	Trace           func(at time.Duration, node string, line core.LogRecord)
	faultsEndedAt   time.Time // zero while faults may occur
	leaseExtensions int       // how often peers have extended the lease of a leader
}

// NewWorld builds a deployment and schedules its users' calls and faults. Changing the order of the
// steps here changes the random numbers that each of them draws from the world's stream.
func NewWorld(o Options) *World {
	zones := []string{"east", "west", "north"}[:o.Zones]
	w := &World{
		options: o, random: newRandom(o.Seed, worldStream), clock: newClock(), network: newNetwork(), zones: zones,
		catalog: newCatalog(zones), teams: ordinaryTeams(), machines: map[string]*machine{}, jobs: map[string]*userJob{},
	}
	w.store = &Store{w: w, items: map[string]*item{}}
	if o.ShortLease {
		w.shortLease = newShortLease(w)
	}
	if o.Standby {
		w.standbys = newStandbyNetwork(w)
	}
	if o.Admission {
		w.admission = newAdmissionNetwork(w)
	}
	if o.Drains {
		w.drains = newDrainOperators(w)
	}
	w.checker = newChecker(w)
	w.cloud = &cloudSim{w: w, scaleOutAnswers: map[string][]string{}}
	w.bootNodes()
	w.createFirstMachines()
	w.planUsers()
	if w.admission != nil {
		w.planFloods()
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
	if o.Overlap {
		w.overlap = newTermOverlap(w)
	}
	return w
}

// newCatalog returns the machine types that the cloud offers.
func newCatalog(zones []string) placement.Catalog {
	return placement.Catalog{
		"small": {Name: "small", CPUs: 4, MemGB: 16, CacheGB: 10, FetchGBPerS: 0.5,
			HourlyPrice: 1, SpotHourlyPrice: 0.4, Boot: 8 * time.Second, Zones: zones},
		"large": {Name: "large", CPUs: 16, GPUs: 4, MemGB: 64, CacheGB: 10, FetchGBPerS: 1,
			HourlyPrice: 6, SpotHourlyPrice: 2, Boot: 10 * time.Second, Zones: zones},
	}
}

// ordinaryTeams returns the teams and quotas of all worlds but those with short leases.
func ordinaryTeams() map[string]placement.Quota {
	return map[string]placement.Quota{
		"red":   {CPULimit: 20, GuaranteedGPUs: 2, GPULimit: 4},
		"blue":  {GuaranteedCPUs: 8},
		"green": {},
	}
}

// ordinaryDrift is the width of the range around 1 from which clock rates are drawn without short
// leases.
const ordinaryDrift = 0.001

func (w *World) bootNodes() {
	for i := range w.options.Nodes {
		n := &node{
			w: w, name: fmt.Sprintf("node-%d", i), zone: w.zones[i%len(w.zones)], clockRate: w.randomClockRate(),
			runsProduction: w.options.RollingUpgrade,
		}
		w.nodes = append(w.nodes, n)
		n.boot()
	}
}

// randomClockRate returns a random rate for the monotonic clock of a node or machine.
func (w *World) randomClockRate() float64 {
	return w.shortLease.clockRate(1 + (w.rng.Float64()-0.5)*ordinaryDrift)
}

// createFirstMachines creates the machines that exist when the world begins.
func (w *World) createFirstMachines() {
	for range 4 {
		w.cloud.create([]string{"small", "large"}[w.rng.IntN(2)], w.zones[w.rng.IntN(len(w.zones))], false, 0)
	}
}

// unreliable reports whether the network loses and delays messages at random.
func (w *World) unreliable() bool { return w.options.Faults && !w.network.reliable }

// Run runs the world to its end, or to the first violation of an invariant, and returns the
// violation.
func (w *World) Run() error {
	end := w.start.Add(w.options.Length + w.options.SettleTime)
	for {
		e, ok := w.next(end)
		if !ok {
			break
		}
		w.digest.add(w, "event", "world", e.number)
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

// violation returns the first violation with the seed and the simulated time, nil if there is none.
func (w *World) violation() error {
	if w.checker.violation == nil {
		return nil
	}
	return fmt.Errorf("seed %d, %.3f s: %w", w.options.Seed, w.elapsed().Seconds(), w.checker.violation)
}

// Started counts the task attempts that were started.
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

// CancelledAsDependent counts the jobs that were reported as cancelled although only the
// cancellation of jobs that they depend on was requested.
func (w *World) CancelledAsDependent() int {
	n := 0
	for _, j := range w.jobs {
		if j.reportedPhase == pipeline.Cancelled && !j.cancelRequested {
			n++
		}
	}
	return n
}

// currentLeader returns the first node that holds a valid leader lease, nil if none does.
func (w *World) currentLeader() *node {
	for _, n := range w.nodes {
		if n.holdsLease() {
			return n
		}
	}
	return nil
}

// sortedMachines returns all machines, sorted by name.
func (w *World) sortedMachines() []*machine {
	byName := func(a, b *machine) int { return strings.Compare(a.name, b.name) }
	return slices.SortedFunc(maps.Values(w.machines), byName)
}

// sortedJobs returns all jobs, sorted by id.
func (w *World) sortedJobs() []*userJob {
	byRef := func(a, b *userJob) int { return strings.Compare(a.spec.Ref, b.spec.Ref) }
	return slices.SortedFunc(maps.Values(w.jobs), byRef)
}
