package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"gingertally/internal/controller/operatorapi"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// Controller is a controller that runs as a process of its own. Its methods may be called from any
// goroutine, with one exception: Start may be called only while no process runs, and not at the same
// time as Kill or WaitEnd.
type Controller struct {
	Name string
	Addr string // for users and workers

	settings string // path of the platform's settings file
	operator string // path of the operators' settings file; empty if there is none
	log      string // path of the log file, to which each process appends
	command  func(settings, operatorSettings string) *exec.Cmd

	mu      sync.Mutex
	process *exec.Cmd     // the latest; nil before the first Start
	ended   chan struct{} // closed when the process has ended
}

// Start starts the controller's process, which runs until it ends on its own or by a signal, such as
// that of Kill.
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
		defer close(ended)
		_ = process.Wait() // the exit status doesn't matter; processes are often killed
		_ = log.Close()
	}()
	c.process, c.ended = process, ended
	return nil
}

// Signal sends a signal to the controller's process.
func (c *Controller) Signal(signal syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process.Process.Signal(signal)
}

// Kill kills the controller's process and waits until it has ended.
func (c *Controller) Kill() {
	_ = c.Signal(syscall.SIGKILL) // fails if the process has ended already
	<-c.ended
}

// WaitEnd waits until the process has ended, for at most bound, and reports whether it has.
func (c *Controller) WaitEnd(bound time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// CommandOf returns a ClusterOptions.Command that runs the given binary as the controller.
func CommandOf(binary string) func(settings, operatorSettings string) *exec.Cmd {
	return func(settings, operatorSettings string) *exec.Cmd {
		arguments := []string{"--config", settings}
		if operatorSettings != "" {
			arguments = append(arguments, "--operator-settings", operatorSettings)
		}
		return exec.Command(binary, arguments...)
	}
}

// statusTimeout limits the wait for a controller's status. To answer, a controller asks the leader.
const statusTimeout = 2 * time.Second

// Get sends a GET request for a path to the controller and returns the body of the response. A status
// other than 200 is an error.
func (c *Controller) Get(path string, timeout time.Duration) ([]byte, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+c.Addr+path, timeout)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	if err != nil {
		return nil, fmt.Errorf("get %s of %s: %w", path, c.Name, err)
	}
	return body, nil
}

// Status returns the status that the controller reports. It includes the leader's part if the
// controller can reach the leader.
func (c *Controller) Status() (operatorapi.Status, error) {
	var status operatorapi.Status
	body, err := c.Get(operatorapi.StatusPath, statusTimeout)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

const (
	// stopTimeout limits how long Pause waits until the process has stopped.
	stopTimeout = 30 * time.Second
	// stopPollInterval is the time between two checks whether it has.
	stopPollInterval = time.Millisecond
)

// errNotStopped means that a process was still running stopTimeout after SIGSTOP.
var errNotStopped = errors.New("process has not stopped after SIGSTOP")

// Pause suspends the controller's process with SIGSTOP and returns when all of its threads have
// stopped. Sending the signal isn't enough: on a busy machine, threads run on for tens of milliseconds
// afterwards, in which the process can still answer as the leader.
func (c *Controller) Pause() error {
	if err := c.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(stopPollInterval) {
		stopped, err := c.hasStopped()
		if err != nil || stopped {
			return err
		}
	}
	return fmt.Errorf("%s: %w", c.Name, errNotStopped)
}

// hasStopped reports whether all threads of the process have stopped. It reports true only once for
// each stop, because Waitid consumes the notification.
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

// Resume continues a process that Pause has suspended.
func (c *Controller) Resume() error { return c.Signal(syscall.SIGCONT) }
