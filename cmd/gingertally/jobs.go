package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"gingertally/internal/client"
)

type submitCmd struct {
	serverFlag
	Job string `arg:"" help:"File with the job in JSON; - for standard input."`
}

// Run submits the job and prints its state.
func (c *submitCmd) Run() error {
	job, err := readJob(c.Job)
	if err != nil {
		return err
	}
	return printJobStatus(c.client().Submit(context.Background(), job))
}

// readJob reads the file of a job, or standard input if the name is -.
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
func (c *getCmd) Run() error { return printJobStatus(c.client().Get(context.Background(), c.Ref)) }

type cancelCmd struct {
	serverFlag
	Ref string `arg:"" help:"The job's id."`
}

// Run cancels the job and prints its state.
func (c *cancelCmd) Run() error {
	return printJobStatus(c.client().Cancel(context.Background(), c.Ref))
}

type waitCmd struct {
	serverFlag
	Ref string `arg:"" help:"The job's id."`
}

// Run waits until the job is done or cancelled and prints its state. It returns errJobCancelled if the
// job was cancelled.
func (c *waitCmd) Run() error {
	status, err := c.client().Wait(context.Background(), c.Ref)
	if err := printJobStatus(status, err); err != nil {
		return err
	}
	if status.Cancelled() {
		return fmt.Errorf("%s: %w", c.Ref, errJobCancelled)
	}
	return nil
}

// printJobStatus prints the state of a job in JSON. It takes the results of the call that returned
// the state, and returns err if that call failed.
func printJobStatus(status client.JobStatus, err error) error {
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, status)
}
