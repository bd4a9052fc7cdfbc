package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gingertally/internal/daemon"
)

// Start starts the controller's process.
func (c *Controller) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := c.command(c.settings, c.operator)
	process.Stderr = log
	if err := process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait() // it is killed sooner or later
		_ = log.Close()
		close(ended)
	}()
	c.process, c.ended = process, ended
	return nil
}

// Signal sends the controller's process a signal.
func (c *Controller) Signal(signal syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process.Process.Signal(signal)
}

// Kill kills the controller and waits for its end.
func (c *Controller) Kill() {
	_ = c.Signal(syscall.SIGKILL) // it may have ended already
	<-c.ended
}

// WaitEnd waits for the process's end, but not for longer than a bound.
func (c *Controller) WaitEnd(bound time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// Program is the command of a controller that is a program of its own.
func Program(binary string) func(settings, operatorSettings string) *exec.Cmd {
	return func(settings, operatorSettings string) *exec.Cmd {
		arguments := []string{"--config", settings}
		if operatorSettings != "" {
			arguments = append(arguments, "--operator-settings", operatorSettings)
		}
		return exec.Command(binary, arguments...)
	}
}

// statusTimeout bounds the wait for a controller's status, which asks the others.
const statusTimeout = 2 * time.Second

// Status is the status that the controller tells: the leader's, if it can be asked.
func (c *Controller) Status() (daemon.Status, error) {
	var status daemon.Status
	body, err := c.Get(daemon.StatusPath, statusTimeout)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

// Leader is the controller that leads by its own word, with its status; nil if none says so.
func (c *Cluster) Leader() (*Controller, daemon.Status) {
	for _, controller := range c.Controllers {
		status, err := controller.Status()
		if err == nil && status.Node == controller.Name && status.Leading != nil {
			return controller, status
		}
	}
	return nil, daemon.Status{}
}

const (
	// pauseBound bounds the wait until a process has stopped.
	pauseBound = 30 * time.Second
	// pausePoll is how often the kernel is asked whether it has.
	pausePoll = time.Millisecond
)

// errNotStopped says that a process was sent SIGSTOP and still runs.
var errNotStopped = errors.New("the process doesn't stop")

// Pause stops the controller's process and returns once no thread of it runs any more. The
// signal alone only asks for that: on a busy machine, threads go on for tens of milliseconds
// after it was sent, and the process still answers as the leader that it was.
func (c *Controller) Pause() error {
	if err := c.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(pauseBound); time.Now().Before(end); time.Sleep(pausePoll) {
		stopped, err := c.hasStopped()
		if err != nil || stopped {
			return err
		}
	}
	return fmt.Errorf("%s: %w", c.Name, errNotStopped)
}

// hasStopped takes the kernel's word that all threads of the process have stopped, which it
// gives once for each time.
func (c *Controller) hasStopped() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var info unix.Siginfo
	err := unix.Waitid(unix.P_PID, c.process.Process.Pid, &info, unix.WSTOPPED|unix.WNOHANG, nil)
	switch {
	case errors.Is(err, unix.EINTR):
		return false, nil
	case err != nil:
		return false, fmt.Errorf("%s: %w", c.Name, err)
	}
	return info.Signo == int32(unix.SIGCHLD), nil
}

// Resume has a process go on that was paused.
func (c *Controller) Resume() error { return c.Signal(syscall.SIGCONT) }
