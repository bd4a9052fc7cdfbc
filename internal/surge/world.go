package surge

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gingertally/internal/admission"
)

// step is how far the simulated clock moves at a time.
const step = 100 * time.Millisecond

// start is the time at which every world begins.
var start = time.Unix(1_800_000_000, 0)

// World is a simulated deployment under load.
type World struct {
	options  Options
	rng      *rand.Rand
	now      time.Duration // since start
	gates    []*admission.Gate
	leader   leader
	users    users
	machines machines
	result   *Result
}

// New returns a world at its start, with a leader in the first term.
func New(o Options) *World {
	w := &World{
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, 31)),
		leader:  leader{term: 1},
		users:   newUsers(&o),
		result:  newResult(o),
	}
	w.machines = newMachines(&w.options)
	teams := slices.Sorted(maps.Keys(o.Teams))
	for i := range o.Controllers {
		w.gates = append(w.gates, admission.NewGate(w.clock(i), admission.GateOptions{Weights: o.Weights, Teams: teams,
			JobsPerSecond: o.JobsRate / float64(o.Controllers), PolicyAge: o.Settings.PolicyAge}))
	}
	w.beginTerm()
	return w
}

// clock returns the time that a controller's clock shows.
func (w *World) clock(controller int) time.Time {
	skew := w.options.Skew
	if controller%2 == 1 {
		skew = -skew
	}
	return start.Add(w.now + skew)
}

// Run simulates the world until its end and returns what was measured.
func (w *World) Run() *Result {
	for ; w.now < w.options.Length; w.now += step {
		w.changeLeader()
		w.deliverPolicies()
		w.result.recordPropagation(w)
		w.createJobs()
		w.submitDue()
		w.machines.run(w.now, w.result.jobStarted)
		if w.options.Admission && w.now >= w.leader.nextRound {
			w.leader.nextRound = w.now + w.options.Settings.Interval
			w.leaderRound()
		}
		w.result.sample(w)
	}
	return w.result
}
