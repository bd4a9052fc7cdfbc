package simulation

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gingertally/internal/core"
)

// TestFaultFree runs worlds without faults, in which all jobs must end.
func TestFaultFree(t *testing.T) {
	for seed := range uint64(20) {
		w := NewWorld(randomOptions(seed, false))
		if err := w.Run(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRandomFaults runs seeded worlds with many faults, some of which overlap, and checks
// every rule of the protocol after each step.
func TestRandomFaults(t *testing.T) {
	started, done, extensions := 0, 0, 0
	for seed := range uint64(150) {
		w := NewWorld(randomOptions(1000+seed, true))
		if err := w.Run(); err != nil {
			t.Error(err)
			if testing.Short() {
				return
			}
		}
		started, done, extensions = started+w.Started(), done+w.Done(), extensions+w.leaseExtensions
	}
	if started < 5000 || done < 1000 || extensions < 300 {
		t.Errorf("the worlds did too little to prove anything: %d starts, %d jobs done, %d lease extensions",
			started, done, extensions)
	}
}

// TestCorrelatedFailures runs worlds in which, in most of them on top of all other faults,
// many machines stop, hang, restart or lose inbound messages at once, often together with
// the leader or all controllers, and controllers pause while their clocks run on.
func TestCorrelatedFailures(t *testing.T) {
	started, done := 0, 0
	for seed := range uint64(80) {
		w := NewWorld(correlatedFailureOptions(3000 + seed))
		if err := w.Run(); err != nil {
			t.Error(err)
		}
		started, done = started+w.Started(), done+w.Done()
	}
	if started < 4000 || done < 900 {
		t.Errorf("the worlds did too little to prove anything: %d starts, %d jobs done", started, done)
	}
}

// TestPipelines runs worlds in which jobs depend on each other: chains, diamonds, fans
// and random graphs, cancelled at any moment. Most have random faults, and in many the
// state service lowers its limits or a rolling upgrade replaces the version in production.
func TestPipelines(t *testing.T) {
	started, done, dependents := 0, 0, 0
	for seed := range uint64(120) {
		w := NewWorld(pipelineOptions(5000 + seed))
		if err := w.Run(); err != nil {
			t.Error(err)
		}
		started, done, dependents = started+w.Started(), done+w.Done(), dependents+w.CancelledAsDependent()
	}
	if started < 8000 || done < 3000 || dependents < 300 {
		t.Errorf("the worlds did too little to prove anything: %d starts, %d jobs done, %d cancelled with others",
			started, done, dependents)
	}
}

// TestSeed runs the world whose seed SIMULATION_SEED gives, with the options that the other
// SIMULATION_* variables choose, and prints its controllers' logs. Without these variables it
// is a world with random faults.
func TestSeed(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SIMULATION_SEED"), 10, 64)
	if err != nil {
		t.Skip("SIMULATION_SEED is not set to a seed")
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

// TestSeeds runs as many worlds as SIMULATION_SEEDS says, from seed 10000 on, to search
// more worlds for violations than the regular tests have time for.
func TestSeeds(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("SIMULATION_SEEDS"), 10, 64)
	if err != nil {
		t.Skip("SIMULATION_SEEDS is not set to a number")
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
