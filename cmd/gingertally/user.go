package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"gingertally/internal/client"
)

// Exit codes of the users' commands, besides 0 and 1.
const (
	exitRefused   = 2 // the service will never take the job
	exitNotFound  = 3 // no such job
	exitGaveUp    = 4 // no usable answer within a minute
	exitCancelled = 5 // wait: the job was cancelled
)

// exitError is an error with an exit code of its own.
type exitError struct {
	error
	code int
}

// Unwrap is the error without its exit code.
func (e exitError) Unwrap() error { return e.error }

// serverFlag names the service that is asked.
type serverFlag struct {
	Server string `required:"" env:"GINGERTALLY_SERVER" placeholder:"HOST:PORT" help:"A controller, or the load balancer before them."`
}

type submitCmd struct {
	serverFlag
	Job string `arg:"" help:"File with the job in JSON; - for standard input."`
}

// Run submits the job.
func (c *submitCmd) Run() error {
	job, err := readJob(c.Job)
	if err != nil {
		return err
	}
	return show((&client.Client{Addr: c.Server}).Submit(context.Background(), job))
}

// readJob reads a job's description from a file or standard input.
func readJob(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

type getCmd struct {
	serverFlag
	Ref string `arg:"" help:"The job's id."`
}

// Run prints the job's state.
func (c *getCmd) Run() error {
	return show((&client.Client{Addr: c.Server}).Get(context.Background(), c.Ref))
}

type cancelCmd struct {
	serverFlag
	Ref string `arg:"" help:"The job's id."`
}

// Run cancels the job.
func (c *cancelCmd) Run() error {
	return show((&client.Client{Addr: c.Server}).Cancel(context.Background(), c.Ref))
}

type waitCmd struct {
	serverFlag
	Ref string `arg:"" help:"The job's id."`
}

// Run waits for the job's end.
func (c *waitCmd) Run() error {
	run, err := (&client.Client{Addr: c.Server}).Wait(context.Background(), c.Ref)
	if err := show(run, err); err != nil {
		return err
	}
	if run.Cancelled() {
		return exitError{errors.New("the job was cancelled"), exitCancelled}
	}
	return nil
}

// show prints a job's state in JSON, or passes on the error with its exit code.
func show(run client.Run, err error) error {
	switch {
	case errors.Is(err, client.ErrRefused):
		return exitError{err, exitRefused}
	case errors.Is(err, client.ErrNotFound):
		return exitError{err, exitNotFound}
	case errors.Is(err, client.ErrGaveUp):
		return exitError{err, exitGaveUp}
	case err != nil:
		return err
	}
	text, err := json.Marshal(run)
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(text))
	return err
}
