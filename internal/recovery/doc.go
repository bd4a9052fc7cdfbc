// Package recovery reconciles the tasks that workers report with the attempts that the state service
// records. The two differ most at the start of a leader's term: the previous leader may have sent
// starts, and received results, that it never recorded.
//
// The package owns
//
//   - the classification of each difference and the action to take (Classify, ClassifyUnreported);
//   - the recovery state of each machine and of the term as a whole, which determines when tasks may
//     be placed (Reconciler);
//   - the rate at which starts are sent until the recovery is over (Pacer).
//
// It only makes decisions: the engine of package core passes observations to it and carries out its
// findings, with the engine's lock held. The package does no I/O, starts no goroutines, doesn't read
// the clock and isn't safe for concurrent use. It assumes that placing a task again may run it twice
// if an earlier leader has started it, unless something proves that the earlier attempt is gone
// (docs/recovery.md has the reasons).
package recovery
