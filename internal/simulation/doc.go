// Package simulation plays whole deployments in simulated time, with faults, and checks the protocol's rules after
// every step. Only tests use it.
//
// # Worlds
//
// A World is one deployment: controllers, a state service, a cloud with its machines and their workers, the network
// between all of them, and users. The controllers (type node) run the real core, job store, standby and admission
// control; everything else is simulated here after the published protocol. NewWorld builds a world from Options, and
// World.Run plays it to its end or to the first violation of a rule. Time is a queue of events (clock.go), so four
// simulated minutes take some milliseconds. Simulated calls never block, which is why they have no deadline to pass on
// and carry context.Background().
//
// # Reproducible runs
//
// The same options give the same run, event by event. For that:
//
//   - all random numbers come from generators that the seed starts. Each part of a world has a stream of its own
//     (random.go), so that switching a part on leaves the draws of the others as they are;
//   - events of the same time happen in the order in which they were planned;
//   - nothing depends on the order of a map: what draws, sends or decides goes through World.sortedMachines,
//     World.sortedJobs and machine.sortedTasks.
//
// TestSameSeedSameRun plays worlds twice and compares everything that happens in them. TestOutputDigests compares what
// the controllers store and send out, in its encoded form, with testdata/output_digests.txt: a change that is to
// change nothing in the controllers' behaviour leaves that file as it is. A new draw, or one that moved, changes it.
//
// # Families and scenarios
//
// A family is a kind of random world, of which each seed is another one. They stand in families_test.go: fault-free,
// random faults, correlated failures, pipelines, and short leases. Any of them can have the warm standby, admission
// control, drains and a bounded pace switched on.
//
// A scenario is a scripted world, in which faults meet at just the wrong moment. Scenarios are rows of the tables
// faultScenarios, standbyScenarios, recoveryScenarios and drainScenarios; docs/fault-scenarios.md argues why the rules
// hold in each. A row names how often its events have to come about at least, since a scenario that didn't come about
// proves nothing.
//
// # Replaying a world
//
// A violation names the seed and the simulated time. TestSeed replays one world of a family with what its controllers
// log, and TestSeeds plays many new ones:
//
//	SIMULATION_SEED=1635 go test -run 'TestSeed$' -v ./internal/simulation
//	SIMULATION_SEEDS=1000 go test -run 'TestSeeds$' ./internal/simulation
//
// README.md lists the variables that choose the family and what is switched on. TestFaultScenarioSeeds plays scenarios
// with more seeds.
//
// # Adding to it
//
// A fault that comes by chance is an entry of randomFaultKinds. It changes the draws of all worlds with random faults,
// and with them the golden file; one that needs to leave them alone gets a part with a stream of its own, as
// correlatedFailures has. A fault for scripts is a method of script in script_faults.go, script_store.go or
// script_messages.go; it counts that it came about, and World.heal or script.endFaults ends it.
//
// An invariant is a type in a file invariant_*.go that takes in observations (invariants.go) and calls checker.fail.
// newChecker lists it. Its comment names the rule that it holds, and a row of TestInvariantsSeeViolations breaks the
// rule by a deliberate fault.
//
// A scenario is a row of one of the tables, with a line in docs/fault-scenarios.md.
package simulation
