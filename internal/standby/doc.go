// Package standby replicates a leader's warm state to the other controllers, so that the next leader
// needn't wait until it has learned the same again. The warm state is what the leader knows of
// machines, attempts, classes of jobs, back-offs of refused offers and jobs (core.WarmRecord).
//
//   - Publisher is the leader's end: it numbers the changes of its term and decides which frame to
//     send next to each follower.
//   - Replica is a follower's copy. It applies frames, and is emptied if a change is missing or its
//     digest differs from the leader's.
//   - Standby is a controller's copy together with a state machine: following a leader, claiming a
//     term, confirming the copy for the takeover, and leading.
//   - Takeover records when the phases of a takeover were reached.
//
// Safety doesn't depend on this package. The state service alone proves that the previous leader can't
// act any more, and which attempts were recorded; the warm state only saves time (docs/standby.md;
// docs/design.md, safety arguments 17 to 19).
//
// The package does no I/O, starts no goroutines and doesn't read the clock, and none of its types is
// safe for concurrent use. The daemon calls it under one mutex from the goroutines that serve
// followers, follow a leader and run a term; the simulation calls it from its single goroutine.
// Package standbyrpc sends and receives frames, and package decisionlog stores them on disk.
package standby
