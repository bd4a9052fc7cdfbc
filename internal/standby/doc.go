// Package standby replicates a leader's warm state to the other controllers, so that the next
// leader needn't wait until it has learned the same anew.
//
//   - Publisher is the leader's end: it numbers the changes of its term and decides for each
//     follower which frame is sent next.
//   - Replica is a follower's copy. It applies frames, and is emptied whenever a change is missing
//     or its digest differs.
//   - Standby is a controller's state machine round its copy: from following a leader to claiming
//     a term, confirming the copy for the takeover, and leading.
//   - Takeover records when the phases of a takeover were reached.
//
// Nothing that is safe depends on this package. The state service alone proves that the earlier
// leader can't act any more and which attempts were recorded; the warm state only saves time
// (docs/standby.md; docs/design.md, safety arguments 17 to 19).
//
// The package has no input or output, starts no goroutine and reads no clock, and none of its types
// is safe for concurrent use. The daemon calls it under one mutex from the goroutines that serve
// followers, follow a leader and run a term; the simulation calls it from its single goroutine.
// Frames travel by package standbyrpc, and are kept on disk by package decisionlog.
package standby
