// Package pipeline holds the state of jobs and tasks, the records in which the state service keeps
// them, and the graph of jobs that depend on each other.
//
// It owns the state machines: only its functions change the phase of a job or the state of a task,
// and a result, once known, stays. It knows nothing of machines but the name of the one that a task
// is assigned to. The notions of phases, recovery and dependent jobs are those of "Workflow
// Recovery" (Eder, Liebhart; see docs/design.md, "From the paper").
//
// The package does no input or output, starts no goroutines and reads no clock: every method is
// given the time. It may assume that what it is told of the state service is what that holds. Job
// and Graph aren't safe for concurrent use: package core calls them from the goroutine that steps
// its engine. Spec, Record and Final are plain values that any package may use.
package pipeline
