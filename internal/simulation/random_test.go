package simulation

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gingertally/internal/core"
)

// TestFaultFree plays worlds without faults: all jobs come to their end.
func TestFaultFree(t *testing.T) {
	for seed := range uint64(20) {
		w := NewWorld(randomOptions(seed, false))
		if err := w.Run(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRandomFaults plays seeded worlds full of faults, singly and together, and
// holds every rule of PROTOCOL against each step.
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

// TestCorrelatedFailures plays worlds in which, on top of all other faults, many
// machines stop, hang, restart or lose inbound messages at once, with the leader or all
// controllers, and controllers pause with their clocks running on.
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

// TestPipelines plays worlds in which jobs wait for each other: chains, diamonds
// and fans, cancelled at any moment, with all faults, the state service lowering
// its limits, and the version in production being replaced while it serves.
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

// TestSeed plays the one world of TestRandomFaults that SIMULATION_SEED names, and
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
