package simulation

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gingertally/internal/core"
)

func options(seed uint64, faults bool) Options {
	return Options{Seed: seed, Length: 150 * time.Second, Drain: 250 * time.Second, Nodes: 3 + 2*int(seed%3), Zones: 2 + int(seed%2), Jobs: 14, Faults: faults,
		HeartbeatInterval: 3 * time.Second, Lease: 20 * time.Second, Cancel: 40 * time.Second, LeaseTTL: 3 * time.Second}
}

// TestPeace plays worlds without troubles: all jobs come to their end.
func TestPeace(t *testing.T) {
	for seed := range uint64(20) {
		w := NewWorld(options(seed, false))
		if err := w.Run(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTroubles plays seeded worlds full of troubles, singly and together, and
// holds every rule of PROTOCOL against each step.
func TestTroubles(t *testing.T) {
	started, done, extensions := 0, 0, 0
	for seed := range uint64(150) {
		w := NewWorld(options(1000+seed, true))
		if err := w.Run(); err != nil {
			t.Error(err)
			if testing.Short() {
				return
			}
		}
		started, done, extensions = started+w.Started(), done+w.Done(), extensions+w.leaseExtensions
	}
	if started < 5000 || done < 1000 || extensions < 300 {
		t.Errorf("the worlds did too little to prove anything: %d starts, %d jobs done, %d lease extensions", started, done, extensions)
	}
}

// manyFall are the options of a world in which many machines fail together.
func manyFall(seed uint64) Options {
	o := options(seed, seed%4 != 0)
	o.CorrelatedFailures, o.Jobs = true, 20
	return o
}

// TestManyFallTogether plays worlds in which, on top of all other troubles, many
// machines stop, hang, restart or lose inbound messages at once, with the leader or all
// controllers, and controllers stall with their clocks running on.
func TestManyFallTogether(t *testing.T) {
	started, done := 0, 0
	for seed := range uint64(80) {
		w := NewWorld(manyFall(3000 + seed))
		if err := w.Run(); err != nil {
			t.Error(err)
		}
		started, done = started+w.Started(), done+w.Done()
	}
	if started < 4000 || done < 900 {
		t.Errorf("the worlds did too little to prove anything: %d starts, %d jobs done", started, done)
	}
}

// pipelines are the options of a world with pipelines, most of them begun by the
// version in production.
func pipelines(seed uint64) Options {
	o := options(seed, seed%4 != 0)
	o.Pipelines, o.Jobs, o.Roll, o.Lower = 12, 8, seed%3 != 0, seed%2 == 0
	o.CorrelatedFailures = seed%5 == 0
	return o
}

// TestPipelines plays worlds in which jobs wait for each other: chains, diamonds
// and fans, cancelled at any moment, with all troubles, the state service lowering
// its limits, and the version in production being replaced while it serves.
func TestPipelines(t *testing.T) {
	started, done, dependents := 0, 0, 0
	for seed := range uint64(120) {
		w := NewWorld(pipelines(5000 + seed))
		if err := w.Run(); err != nil {
			t.Error(err)
		}
		started, done, dependents = started+w.Started(), done+w.Done(), dependents+w.CancelledAsDependent()
	}
	if started < 8000 || done < 3000 || dependents < 300 {
		t.Errorf("the worlds did too little to prove anything: %d starts, %d jobs done, %d cancelled with others", started, done, dependents)
	}
}

// optionsByVariables are the options of a world of the kind that the environment names (README).
func optionsByVariables(seed uint64) Options {
	set := func(variable string) bool { return os.Getenv("SIMULATION_"+variable) != "" }
	o := options(seed, true)
	o.CorrelatedFailures = set("CORRELATED_FAILURES")
	if set("PIPELINES") {
		o = pipelines(seed)
	}
	if set("SHORT_LEASE") {
		o = shortLeases(seed)
	}
	o.Standby, o.Admission, o.Draining = set("STANDBY"), set("ADMISSION"), set("DRAIN")
	if set("PACE") {
		o.Pace = pace
	}
	if o.Admission {
		o.Drain *= 2
	}
	return o
}

// TestSeed plays the one world of TestTroubles that SIMULATION_SEED names, and
// logs what its controllers say.
func TestSeed(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SIMULATION_SEED"), 10, 64)
	if err != nil {
		t.Skip("SIMULATION_SEED names no seed")
	}
	o := optionsByVariables(seed)
	if o.CorrelatedFailures {
		o.Jobs = 20
	}
	w := NewWorld(o)
	w.Trace = func(at time.Duration, node string, line core.LogRecord) {
		t.Log(at.Seconds(), node, line.Event, line.Attrs)
	}
	if err := w.Run(); err != nil {
		t.Fatal(err)
	}
}

// TestSeeds plays as many worlds as SIMULATION_SEEDS says, from seed 10000 on: a
// longer hunt than the tests have time for.
func TestSeeds(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("SIMULATION_SEEDS"), 10, 64)
	if err != nil {
		t.Skip("SIMULATION_SEEDS gives no number")
	}
	for seed := range n {
		t.Run(strconv.FormatUint(10_000+seed, 10), func(t *testing.T) {
			t.Parallel()
			o := optionsByVariables(10_000 + seed)
			if err := NewWorld(o).Run(); err != nil {
				t.Error(err)
			}
		})
	}
}
