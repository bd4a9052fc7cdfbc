// Package simulation runs whole deployments in simulated time, with injected faults, and checks the
// protocol's rules after every step. Only tests use it.
//
// # Worlds
//
// A World is one deployment: controllers, a state service, a cloud with its machines and their
// workers, the network between all of them, and users. The controllers (type node) run the real
// core, job store, standby and admission control; everything else is simulated here according to
// the published protocol. NewWorld builds a world from Options, and World.Run runs it to its end or
// to the first violation of a rule. Time is a queue of events (clock.go), so four simulated minutes
// take some milliseconds. Simulated calls never block, so they need no deadline and are passed
// context.Background().
//
// # Reproducible runs
//
// The same options give the same run, event by event. To ensure that:
//
//   - all random numbers come from generators that are seeded with the world's seed. Each part of a
//     world has its own stream (random.go), so that enabling one part doesn't change the random
//     numbers of the others;
//   - events of the same time happen in the order in which they were scheduled;
//   - nothing depends on the iteration order of a map: code that draws random numbers, sends
//     messages or makes decisions iterates over World.sortedMachines, World.sortedJobs and
//     machine.sortedTasks.
//
// TestSameSeedSameRun runs worlds twice and compares everything that happens in them.
// TestOutputDigests compares what the controllers store and send, in encoded form, with
// testdata/output_digests.txt: a change that isn't meant to change the controllers' behaviour must
// leave that file as it is. A new random draw, or one that moved, changes it.
//
// # Families and scenarios
//
// A family is a kind of random world; each seed gives a different world. families_test.go lists
// them: fault-free, random faults, correlated failures, pipelines, and short leases. Any of them
// can have the warm standby, admission control, drains, a bounded pace and overlapping terms enabled.
//
// A scenario is a scripted world, in which faults coincide at the worst moment. Scenarios are rows
// of the tables faultScenarios, standbyScenarios, recoveryScenarios and drainScenarios;
// docs/fault-scenarios.md argues why the rules hold in each. A row gives the least number of times
// that its events must occur, since a scenario whose events don't occur proves nothing.
//
// # Replaying a world
//
// A violation names the seed and the simulated time. TestSeed replays one world of a family and
// prints its controllers' logs, and TestSeeds runs many new ones:
//
//	SIMULATION_SEED=1635 go test -run 'TestSeed$' -v ./internal/simulation
//	SIMULATION_SEEDS=1000 go test -run 'TestSeeds$' ./internal/simulation
//
// README.md lists the variables that choose the family and the enabled features.
// TestFaultScenarioSeeds runs scenarios with more seeds.
//
// # Adding to it
//
// A random fault is an entry of randomFaultKinds. Adding one changes the random draws of all worlds
// with random faults, and with them the golden file; a fault that must not change them gets a part
// with its own stream, as correlatedFailures has. A fault for scripts is a method of script in
// script_faults.go, script_store.go or script_messages.go; it counts its occurrences, and
// World.heal or script.endFaults ends it.
//
// An invariant is a type in a file invariant_*.go that receives observations (invariants.go) and
// calls checker.fail. newChecker lists it. Its comment names the rule that it checks, and a row of
// TestInvariantsSeeViolations breaks the rule by a deliberate fault.
//
// A scenario is a row of one of the tables, with a line in docs/fault-scenarios.md.
package simulation
