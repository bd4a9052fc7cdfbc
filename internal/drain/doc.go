// Package drain decides how machines are emptied for operators' drain plans, within the disruption
// budgets that teams have declared.
//
// It owns three kinds of state for one leader's term. A Coordinator holds the plans and the
// machines that they have claimed; a Ledger holds a Charge for every interruption of a task; a
// Policy holds the budgets and judges from the ledger whether a task may be evicted now. The
// stored forms of plans and of the pages of machines and charges are declared here as well, so
// that other packages can encode them.
//
// The package does no input or output, starts no goroutines and reads no clock: methods that depend
// on the time take it as an argument. It relies on two things: only the leader of the current term
// changes the pages, and the caller reports the start and the outcome of every write that the
// package proposes. Coordinator and Ledger aren't safe for concurrent use: package core calls them
// from the goroutine that steps its engine, and carries out what they decide. Plan, Budget and the
// stored forms are plain values that any package may use (docs/draining.md).
package drain
