// Package core is the deterministic part of a leader: its view of jobs and machines, and
// the decisions that follow from it. Step applies an event and returns the effects to be
// carried out. The package does no input or output, starts no goroutines and reads no clock;
// equal events at equal times give equal effects.
//
// An Engine joins concerns that are types of their own. Each owns its state: only its methods
// change its fields. What an event means for several of them is in the engine's methods.
//
// The engine and its surroundings:
//   - engine.go: Engine, New, Step and Tick; config.go, snapshot.go, effects.go: what goes in and out
//   - takeover.go, warm_start.go: what a new leader takes over from the records and the warm state
//   - numbering.go: numbers and names that are unique over all terms; tick_clock.go: late ticks
//   - log.go, reasons.go, status.go, start_waits.go: what operators are told
//
// Jobs:
//   - job_registry.go (jobRegistry), job_classes.go (jobClasses): what is known of jobs
//   - jobs.go, dependents.go, cancel.go (cancellations): how they begin, depend on others and end
//
// Machines and what is on them:
//   - machine_registry.go (machineRegistry), timer_queue.go, machines.go: their states and checks
//   - instances.go, scale_out.go, scale_in.go: the cloud's machines, requests and releases
//   - heartbeats.go, commands.go, reconcile.go, connectivity.go, interruption.go: heartbeats,
//     their answers, and what they prove
//   - attempts.go, usage.go (usage): attempts, and what of jobs and teams is on machines
//
// Decisions:
//   - decide.go, decision_rounds.go (decisionRounds), round_board.go (roundBoard): rounds of
//     decisions, which package placement makes
//   - capacity_view.go (capacityView): the capacity that they place on
//   - priority_order.go, fair_order.go, estimates.go: in which order jobs choose
//   - preemption.go, consolidate.go: what is stopped or moved to make room
//
// What the state service doesn't hold yet:
//   - batch.go, writes.go: batches of writes and their outcomes
//   - start_log.go, job_writes.go, image_log.go: what is to be written, with start_log_writes.go,
//     job_write_types.go, image_log_writes.go and drain_writes.go for the kinds of writes
//   - warm_state.go: what only standbys are told
//
// Drains, which package drain plans:
//   - draining.go, drain_round.go, drain_preview.go: plans and machines
//   - drain_eviction.go, drain_moves.go, drain_capacity.go, replacements.go: evictions, and where
//     the work goes
package core
