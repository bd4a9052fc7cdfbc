package simulation

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"testing"

	"gingertally/internal/goldentest"
)

// outputWorld is a world whose output digest is in the golden file.
type outputWorld struct {
	name  string
	build func() *World
}

// outputWorlds returns worlds of each family, without features, with each feature alone and with all
// of them, and one world of each scenario.
func outputWorlds() []outputWorld {
	switches := []struct {
		name string
		set  func(Options) Options
	}{
		{"", func(o Options) Options { return o }},
		{", standby", withStandby},
		{", admission", func(o Options) Options { o.Admission = true; return o }},
		{", drains", func(o Options) Options { o.Drains = true; return o }},
		{", pace", func(o Options) Options { o.Pace = pace; return o }},
		{", all switches", withAllFeatures},
	}
	var worlds []outputWorld
	for _, f := range families {
		for i, s := range switches {
			seed := f.repeatedSeeds[i%len(f.repeatedSeeds)]
			worlds = append(worlds, outputWorld{
				name:  fmt.Sprintf("%s%s/%d", f.digestLabel, s.name, seed),
				build: func() *World { return NewWorld(s.set(f.options(seed))) },
			})
		}
	}
	for _, scenarios := range [][]faultScenario{faultScenarios, standbyScenarios, recoveryScenarios, drainScenarios} {
		for i := range scenarios {
			worlds = append(worlds, scenarioWorld(&scenarios[i], uint64(i)*100+1))
		}
	}
	return worlds
}

// scenarioWorld returns one world of a scenario, with all features but admission control.
func scenarioWorld(scenario *faultScenario, seed uint64) outputWorld {
	return outputWorld{name: cmp.Or(scenario.digestLabel, scenario.name), build: func() *World {
		o := scenario.options(seed)
		o.Standby, o.Drains, o.Pace = true, true, pace
		w := NewWorld(o)
		scenario.script(newScript(w))
		return w
	}}
}

// runForOutputDigest runs a world and returns the digest of its outputs. Other tests check that every
// rule holds in it.
func runForOutputDigest(w *World) *outputDigest {
	w.output = newOutputDigest()
	_ = w.Run() // a violation ends the run early, and so changes the digest
	return w.output
}

// TestOutputDigests compares everything that the controllers store and send, in encoded form, with
// what they stored and sent when the golden file was written. It guards refactorings against
// changes of behaviour: a renamed field that is stored by its name, a decision that differs, an
// additional command.
//
// After an intended change of behaviour, write the file anew: go test -run TestOutputDigests
// ./internal/simulation -update.
func TestOutputDigests(t *testing.T) {
	worlds := outputWorlds()
	digests := make([]string, len(worlds))
	t.Run("worlds", func(t *testing.T) {
		for i, world := range worlds {
			t.Run(world.name, func(t *testing.T) {
				t.Parallel()
				digests[i] = runForOutputDigest(world.build()).summary()
			})
		}
	})
	var lines goldentest.Lines
	for i, world := range worlds {
		lines.Add("%s: %s", world.name, digests[i])
	}
	lines.Check(t, "output_digests.txt")
}

// TestOutputDigestCoversAllKinds changes one output of each kind, and expects the digest to change.
// It guards against a kind of output that the digest misses.
func TestOutputDigestCoversAllKinds(t *testing.T) {
	build := func() *World { return NewWorld(randomOptions(1000, true)) }
	baseline := runForOutputDigest(build())
	for _, kind := range outputKinds {
		if baseline.counts[kind] == 0 {
			t.Errorf("the world has no output of kind %q", kind)
		}
		w := build()
		w.output = newOutputDigest()
		number := 0
		w.output.tamper = func(k outputKind, body []byte) []byte {
			if k != kind {
				return body
			}
			if number++; number != 1+baseline.counts[kind]/2 {
				return body
			}
			changed := append([]byte{0}, body...)
			changed[len(changed)-1] ^= 1
			return changed
		}
		_ = w.Run() // a violation ends the run early, and so changes the digest
		if w.output.summary() == baseline.summary() {
			t.Errorf("the digest doesn't depend on every %s", kind)
		}
	}
}

// TestPrintOutputDigests prints the output digests of as many worlds as SIMULATION_OUTPUT_DIGESTS
// says, from seed 10000 on, with the options that the other SIMULATION_* variables choose. It serves
// to compare two commits over more worlds than the golden file has.
func TestPrintOutputDigests(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("SIMULATION_OUTPUT_DIGESTS"))
	if err != nil {
		t.Skip("SIMULATION_OUTPUT_DIGESTS is not set to a number")
	}
	digests := make([]string, count)
	t.Run("worlds", func(t *testing.T) {
		for i := range digests {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				digests[i] = runForOutputDigest(NewWorld(optionsByVariables(10_000 + uint64(i)))).summary()
			})
		}
	})
	for i, digest := range digests {
		fmt.Printf("output digest %d: %s\n", 10_000+i, digest)
	}
}
