package main

import (
	"errors"

	"gingertally/internal/client"
)

// Exit codes of commands that fail. Scripts rely on them.
const (
	exitFailed    = 1 // any other error
	exitRefused   = 2 // the job, the plan or the change of a plan will not be accepted as it is
	exitNotFound  = 3 // there is no such job or plan
	exitGaveUp    = 4 // no usable answer; the call may have been carried out
	exitCancelled = 5 // wait: the job was cancelled
)

// errJobCancelled is the error of the wait command if the job was cancelled.
var errJobCancelled = errors.New("the job was cancelled")

// errLeaderUnreachable means that the controller that was asked has no status from the leader.
var errLeaderUnreachable = errors.New("the leader can't be asked")

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	switch {
	case errors.Is(err, client.ErrRefused), errors.Is(err, client.ErrConflict):
		return exitRefused
	case errors.Is(err, client.ErrNotFound):
		return exitNotFound
	case errors.Is(err, client.ErrGaveUp):
		return exitGaveUp
	case errors.Is(err, errJobCancelled):
		return exitCancelled
	}
	return exitFailed
}
