// Package recovery reconciles what workers report with what the state service records. It is
// needed above all at the start of a leader's term, when the two differ most: the leader before
// may have sent starts, and received results, that it never recorded.
//
// The package owns
//
//   - the classification of each difference and what is done about it (Classify,
//     ClassifyUnreported);
//   - the state of each machine's and of the whole term's recovery, and by it the moment at which
//     tasks may be placed (Reconciler);
//   - the rate at which starts are sent until the recovery is over (Pacer).
//
// It only decides; the engine of package core reports observations to it and carries its findings
// out, all under the engine's lock. The package has no input or output, starts no goroutine, reads
// no clock and isn't safe for concurrent use. It assumes that a task which an earlier leader
// started may run twice unless something proves that the earlier attempt is gone
// (docs/recovery.md has the reasons).
package recovery
