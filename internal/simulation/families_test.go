package simulation

import (
	"os"
	"testing"
	"time"
)

// family is a kind of random world. Each seed of a family gives a different world.
type family struct {
	name string
	// digestLabel names the family in testdata/output_digests.txt. It must not change when the
	// family is renamed.
	digestLabel string
	options     func(seed uint64) Options
	firstSeed   uint64 // of the worlds that runFamilies runs
	// repeatedSeeds are the seeds whose worlds TestSameSeedSameRun runs twice; TestOutputDigests
	// uses them too. They include seeds at which two runs once differed because scale-outs were
	// planned in the iteration order of a map.
	repeatedSeeds []uint64
}

var families = []family{
	{"fault-free", "peace", func(seed uint64) Options { return randomOptions(seed, false) }, 1, []uint64{1, 2, 3}},
	{"random faults", "troubles", func(seed uint64) Options { return randomOptions(seed, true) }, 1000,
		[]uint64{1000, 1001, 3002, 3018, 3068}},
	{"correlated failures", "many fall together", correlatedFailureOptions, 3000,
		[]uint64{3008, 3011, 3020, 3034, 3043, 3073}},
	{"pipelines", "pipelines", pipelineOptions, 5000,
		[]uint64{3000, 3005, 3009, 3010, 3015, 3026, 3042, 3045, 3053, 3054, 3062, 3064}},
	{"short leases", "short leases", shortLeaseOptions, 7000, []uint64{7000, 7001, 7002, 7005}},
}

// runFamilies runs the given number of worlds of every family, from its first seed on, and calls
// ended after each. change adapts a world's options; it also gets the world's number within its
// family.
func runFamilies(
	t *testing.T, worlds int, change func(o Options, number int) Options, ended func(w *World),
) {
	t.Helper()
	for _, f := range families {
		for number := range worlds {
			w := NewWorld(change(f.options(f.firstSeed+uint64(number)), number))
			if err := w.Run(); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			ended(w)
		}
	}
}

// randomOptions returns the options of a world with ordinary jobs, with or without random faults.
func randomOptions(seed uint64, faults bool) Options {
	return Options{
		Seed: seed, Length: 150 * time.Second, SettleTime: 250 * time.Second,
		Nodes: 3 + 2*int(seed%3), Zones: 2 + int(seed%2), Jobs: 14, Faults: faults,
		HeartbeatInterval: 3 * time.Second, Lease: 20 * time.Second, CancelWithin: 40 * time.Second,
		LeaseTTL: 3 * time.Second,
	}
}

// correlatedFailureOptions returns the options of a world in which many machines fail together.
func correlatedFailureOptions(seed uint64) Options {
	o := randomOptions(seed, seed%4 != 0)
	o.CorrelatedFailures, o.Jobs = true, 20
	return o
}

// pipelineOptions returns the options of a world with pipelines. In two thirds of these worlds the
// version in production leads at first.
func pipelineOptions(seed uint64) Options {
	o := randomOptions(seed, seed%4 != 0)
	o.Pipelines, o.Jobs, o.RollingUpgrade, o.LowerStoreLimits = 12, 8, seed%3 != 0, seed%2 == 0
	o.CorrelatedFailures = seed%5 == 0
	return o
}

// shortLeaseOptions returns the options of a world with the settings, jobs and faults of a
// deployment with short leases. Half of these worlds have all other faults too, and a fifth have
// correlated failures. The time without faults at the end is long because a simulated task restarts
// from its beginning even if it has a checkpoint, and some long tasks are moved more than once late
// in the world.
func shortLeaseOptions(seed uint64) Options {
	return Options{
		Seed: seed, Length: 150 * time.Second, SettleTime: 350 * time.Second, Nodes: 3 + 2*int(seed%2), Zones: 3,
		ShortLease: true, Faults: seed%2 == 0, CorrelatedFailures: seed%5 == 0,
		HeartbeatInterval: 1500 * time.Millisecond, Lease: 12 * time.Second, CancelWithin: 37 * time.Second,
		LeaseTTL: 3 * time.Second,
	}
}

// withStandby enables the warm standby.
func withStandby(o Options) Options {
	o.Standby = true
	return o
}

// withAdmission enables admission control. A team then floods the deployment with jobs, so the
// world gets more time to finish them.
func withAdmission(o Options) Options {
	o.Admission = true
	o.SettleTime *= 2
	return o
}

// withAllFeatures enables the warm standby, admission control, drains and a bounded pace.
func withAllFeatures(o Options) Options {
	o = withStandby(withAdmission(o))
	o.Drains, o.Pace = true, pace
	return o
}

// optionsByVariables returns the options that the SIMULATION_* environment variables choose (README).
func optionsByVariables(seed uint64) Options {
	set := func(variable string) bool { return os.Getenv("SIMULATION_"+variable) != "" }
	o := randomOptions(seed, true)
	o.CorrelatedFailures = set("CORRELATED_FAILURES")
	if set("PIPELINES") {
		o = pipelineOptions(seed)
	}
	if set("SHORT_LEASE") {
		o = shortLeaseOptions(seed)
	}
	o.Standby, o.Drains, o.Overlap = set("STANDBY"), set("DRAIN"), set("OVERLAP")
	if set("PACE") {
		o.Pace = pace
	}
	if set("ADMISSION") {
		o = withAdmission(o)
	}
	return o
}
