package emulator

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// busyVariable is the environment variable that makes the test binary keep several threads busy, for a
// minute or until it is killed.
const busyVariable = "EMULATOR_BUSY"

// busyThreads is the number of threads that it keeps busy.
const busyThreads = 4

func keepBusy() {
	end := time.Now().Add(time.Minute)
	var busyCount [busyThreads]int
	for thread := range busyThreads {
		go func() {
			for i := 0; time.Now().Before(end); i++ {
				busyCount[thread] = i
			}
		}()
	}
	time.Sleep(time.Minute)
}

// threadStates returns the states of a process's threads, one letter for each, as in /proc.
func threadStates(t *testing.T, pid int) string {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("threads of process %d: files %v, error %v", pid, files, err)
	}
	states := ""
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		_, fields, _ := strings.Cut(string(text), ") ")
		states += fields[:1]
	}
	return states
}

// No thread of a paused controller runs. After SIGSTOP alone, threads run on for a while:
// TestLeadersEndUnderLoad once got an answer from a leader that was meant to be stopped.
func TestPauseStopsAllThreads(t *testing.T) {
	c := &Controller{Name: "busy", log: filepath.Join(t.TempDir(), "log"), command: func(string, string) *exec.Cmd {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), busyVariable+"=1")
		return command
	}}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Kill()
	time.Sleep(100 * time.Millisecond) // lets its threads become busy
	for i := range 50 {
		if err := c.Pause(); err != nil {
			t.Fatal(err)
		}
		if states := threadStates(t, c.process.Process.Pid); strings.Trim(states, "T") != "" {
			t.Fatalf("pause %d: some threads still run; states: %s", i, states)
		}
		if err := c.Resume(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}
