package wire

import "gingertally/internal/core/pipeline"

// Statuses of a job, as its user is told them.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "aborted"
)

// RunState is the answer to a user about a job.
type RunState struct {
	Ref     string `cbor:"ref"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// StatusOf names a job's phase for its user.
func StatusOf(phase pipeline.Phase, running int) string {
	switch phase {
	case pipeline.Done:
		return StatusDone
	case pipeline.Cancelled:
		return StatusCancelled
	}
	if running > 0 {
		return StatusRunning
	}
	return StatusQueued
}

// State builds the answer to a user about a job.
func State(ref string, phase pipeline.Phase, done, running int) RunState {
	return RunState{Ref: ref, Status: StatusOf(phase, running), Done: done, Running: running}
}
