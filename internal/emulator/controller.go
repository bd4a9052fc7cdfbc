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

// Controller is one controller process. Its methods may be called from any goroutine, but Start only while
// no process runs.
type Controller struct {
	Name string
	Addr string // for users and workers

	settings string // path of the platform's settings
	operator string // path of the operators' settings; empty: none
	log      string // path of the log, to which each process appends
	command  func(settings, operatorSettings string) *exec.Cmd

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// Start starts the controller's process. It ends by Kill, or by a signal.
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
		_ = process.Wait() // fails, since the process is killed sooner or later
		_ = log.Close()
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

// WaitEnd waits for the process's end, and reports whether it came within a bound.
func (c *Controller) WaitEnd(bound time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// Program makes the commands of controllers (ClusterOptions.Command) whose program is a file.
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

// Get reads a path of the controller's.
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

// Status is the controller's status, with the leader's part if the leader can be asked.
func (c *Controller) Status() (operatorapi.Status, error) {
	var status operatorapi.Status
	body, err := c.Get(operatorapi.StatusPath, statusTimeout)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

const (
	// pauseBound bounds the wait until a process has stopped.
	pauseBound = 30 * time.Second
	// pausePoll is how often the kernel is asked whether it has.
	pausePoll = time.Millisecond
)

// errNotStopped says that a process still runs long after SIGSTOP.
var errNotStopped = errors.New("the process doesn't stop")

// Pause stops the controller's process, and returns once none of its threads runs any more. The signal alone
// doesn't ensure that: on a busy machine, threads go on for tens of milliseconds after it was sent, and the
// process still answers as the leader that it was.
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

// hasStopped reports whether all threads of the process have stopped. The kernel says so only once for each
// stop.
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

// Resume has a paused process go on.
func (c *Controller) Resume() error { return c.Signal(syscall.SIGCONT) }
