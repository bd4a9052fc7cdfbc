// Package core is the deterministic part of a leader: its view of jobs and machines, and the
// decisions that follow from it. Engine.Step applies an event and returns the effects that the
// caller has to carry out. The package does no input or output, starts no goroutines and reads no
// clock; the same events at the same times give the same effects.
//
// An Engine is made of components, such as jobRegistry, machineRegistry and usage. Each component
// owns its state: only its methods change its fields. The handling of events that concern several
// components is in the methods of Engine.
//
// The engine, its input and its output:
//   - engine.go: Engine, New, Step and Tick
//   - config.go, snapshot.go, effects.go: settings, initial state and effects
//   - takeover.go, warm_start.go: what a new leader restores from the records and the warm state
//   - numbering.go: numbers and names that are unique over all terms
//   - tick_clock.go: detection of late ticks
//   - log.go, reasons.go, status.go, start_waits.go: logs and status for operators
//
// Jobs:
//   - job_registry.go (jobRegistry): unfinished jobs, and the final entries of finished ones
//   - job_classes.go (jobClasses): statistics of run times and arrivals by class
//   - jobs.go, dependents.go, cancel.go (cancellations): life cycle, dependencies, cancellations
//
// Machines and the attempts on them:
//   - machine_registry.go (machineRegistry), timer_queue.go, machines.go: states and checks
//   - instances.go, scale_out.go, scale_in.go: the cloud's list, requests and releases
//   - heartbeats.go, commands.go, reconcile.go, connectivity.go, interruption.go: heartbeats,
//     the answers to them, and what they prove
//   - attempts.go, usage.go (usage): life cycle of attempts, and usage by job and team
//
// Decisions:
//   - decide.go, decision_rounds.go (decisionRounds), placement_adapter.go (placementAdapter):
//     rounds of decisions, which package placement makes
//   - capacity_view.go (capacityView): the free capacity that tasks are placed on
//   - priority_order.go, fair_order.go, estimates.go: the order in which jobs are placed
//   - preemption.go, consolidate.go: attempts that are stopped or moved to free capacity
//
// Writes to the state service:
//   - batch.go, writes.go: batches of writes and their outcomes
//   - start_log.go, job_writes.go, image_log.go: what has to be written
//   - start_log_writes.go, job_write_types.go, image_log_writes.go, drain_writes.go: types of writes
//   - warm_state.go: state that is sent to standbys and not written
//
// Drains, which package drain plans:
//   - draining.go, drain_round.go, drain_preview.go: plans and machines
//   - drain_eviction.go, drain_moves.go, drain_capacity.go, replacements.go: evictions, and the
//     capacity for the evicted work
package core
