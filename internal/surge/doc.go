// Package surge simulates teams that submit more jobs than a deployment can run.
//
// A World has users that retry refused submissions as the protocol says, controllers with the real
// admission gates, a leader with the real planner, and a simple model of the machines that run the
// admitted jobs. Its Result says what share of the capacity each team and class was given, how long
// their jobs waited, and which rules of admission control were violated.
//
// The package owns all state of a world, and time is simulated: it does no input or output, starts no
// goroutines and reads no clock. A world depends on its Options alone, so the same options give the
// same result. World isn't safe for concurrent use. Tests and the command tools/surge call it.
package surge
