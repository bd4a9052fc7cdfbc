package main

import (
	"errors"

	"gingertally/internal/client"
)

// Exit codes of the commands, besides 0. Scripts rely on them.
const (
	exitFailed    = 1 // any other error
	exitRefused   = 2 // the controllers will never accept the job or the plan as it is
	exitNotFound  = 3 // there is no such job or plan
	exitGaveUp    = 4 // no usable answer came in time
	exitCancelled = 5 // wait: the job was cancelled
)

// errJobCancelled is the result of waiting for a job that was cancelled.
var errJobCancelled = errors.New("the job was cancelled")

// errLeaderUnreachable says that the controller that was asked can't ask the leader.
var errLeaderUnreachable = errors.New("the leader can't be asked")

// exitCode is the exit code for a command's error.
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
