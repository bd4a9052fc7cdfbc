// Package pipeline holds the state of jobs and tasks, the records in which the state service keeps
// them, and the graph of jobs that depend on each other.
//
// It owns the state machines: only its functions change the phase of a job or the state of a task,
// and a known result is final. Of machines it knows only the names, of those that tasks are assigned
// to and those that jobs avoid. The notions of phases, recovery and dependent jobs are those of
// "Workflow Recovery" (Eder, Liebhart; see docs/design.md, "From the paper").
//
// The package does no input or output, starts no goroutines and reads no clock: callers pass the
// time. It relies on callers to report only what the state service really holds. Job and Graph
// aren't safe for concurrent use: package core calls them from the goroutine that steps its engine.
// Spec, Record and Final are plain values that any package may use.
package pipeline
