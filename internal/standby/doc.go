// Package standby replicates a leader's warm state to the other controllers, so that the
// next leader goes on from it. The leader's Publisher numbers each change of the state; a
// follower's Replica takes the numbered changes in and drops its copy whenever it can't be
// sure of it; Standby is the follower's state machine up to the takeover.
//
// The package has no input or output, no goroutines and no clock: frames, times and the
// outcome of a claim come from outside (package daemon, package simulation). Nothing that is
// safe depends on it: a takeover goes by the state service, and the warm state only saves it
// time (docs/standby.md; docs/design.md, safety arguments 17 to 19).
package standby
