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

// busyVariable is the variable by which the test's program keeps several threads busy until it is killed.
const busyVariable = "EMULATOR_BUSY"

// busyThreads is how many threads it keeps busy.
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

// threadStates are the states of a process's threads, a letter each.
func threadStates(t *testing.T, pid int) string {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("threads of %d: %v, %v", pid, files, err)
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

// A paused controller does nothing. SIGSTOP alone leaves its threads running for a while:
// TestLeadersEndUnderLoad once found the stopped leader still answering.
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
	time.Sleep(100 * time.Millisecond) // until its threads are busy
	for i := range 50 {
		if err := c.Pause(); err != nil {
			t.Fatal(err)
		}
		if states := threadStates(t, c.process.Process.Pid); strings.Trim(states, "T") != "" {
			t.Fatalf("pause %d: threads still run: %s", i, states)
		}
		if err := c.Resume(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}
