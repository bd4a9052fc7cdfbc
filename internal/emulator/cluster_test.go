package emulator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"gingertally/internal/config"
	"gingertally/internal/controller"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/operator"
)

// Environment variables that make the test binary run as a controller; their values are the paths
// of its settings files.
const (
	settingsVariable = "EMULATOR_CONTROLLER_SETTINGS"
	operatorVariable = "EMULATOR_OPERATOR_SETTINGS"
)

// TestMain runs a controller or keeps threads busy if an environment variable asks for that, and
// otherwise the tests.
func TestMain(m *testing.M) {
	if os.Getenv(busyVariable) != "" {
		keepBusy()
		return
	}
	if path := os.Getenv(settingsVariable); path != "" {
		if err := runController(path, os.Getenv(operatorVariable)); !errors.Is(err, context.Canceled) {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func runController(path, operatorPath string) error {
	settings, err := config.Load(path)
	if err != nil {
		return err
	}
	operatorSettings, err := operator.Load(operatorPath, settings.TeamNames())
	if err != nil {
		return err
	}
	node, err := controller.New(settings, operatorSettings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return node.Run(ctx)
}

// startTestCluster starts a cluster with three controllers, which run the test binary, and a fixed set
// of machines.
func startTestCluster(t *testing.T, operatorSettings string) *Cluster {
	t.Helper()
	return startCluster(t, ClusterOptions{Machines: 6, OperatorSettings: operatorSettings})
}

// startElasticCluster starts such a cluster, but with machines that the cloud can create and delete.
func startElasticCluster(t *testing.T, operatorSettings string) *Cluster {
	t.Helper()
	return startCluster(t, ClusterOptions{Machines: 4, OperatorSettings: operatorSettings, Elastic: true})
}

func startCluster(t *testing.T, options ClusterOptions) *Cluster {
	t.Helper()
	options.Directory, options.Controllers = t.TempDir(), 3
	options.Timings = Timings{Heartbeat: time.Second, Lease: 15 * time.Second, RunTime: time.Second}
	options.Command = func(settings, operatorSettings string) *exec.Cmd {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), settingsVariable+"="+settings, operatorVariable+"="+operatorSettings)
		return command
	}
	cluster, err := StartCluster(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Stop)
	return cluster
}

// waitForLeader waits until there is a leader in whose term a task was started, and returns it and its
// status.
func waitForLeader(t *testing.T, cluster *Cluster) (*Controller, operatorapi.Status) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		leader, status := cluster.Leader()
		if leader == nil {
			continue
		}
		if _, start := cluster.History.FirstAnswerAndStart(status.Leading.Term); !start.IsZero() {
			return leader, status
		}
	}
	t.Fatal("no leader in whose term a task was started")
	return nil, operatorapi.Status{}
}

// Real controllers run on loopback with the warm standby enabled. Under load, the leader is killed,
// then the next one is paused until another leads, then one is terminated by SIGTERM. Guards
// against faults of a takeover: an attempt that is started twice, a lost job, or an accepted job
// that never ends. The time that takeovers take isn't checked, since the machine may be busy.
func TestLeadersEndUnderLoad(t *testing.T) {
	cluster := startTestCluster(t, "standby { enabled: true }")
	load, stop := context.WithCancel(t.Context())
	defer stop()
	over := make(chan struct{})
	go func() {
		cluster.Users(8, 3).Run(load, 2*time.Minute)
		close(over)
	}()
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGTERM} {
		leader, s := waitForLeader(t, cluster)
		end := func() error { return leader.Signal(sig) }
		if sig == syscall.SIGSTOP {
			end = leader.Pause
		}
		if err := end(); err != nil {
			t.Fatal(err)
		}
		if sig != syscall.SIGSTOP && !leader.WaitEnd(time.Minute) {
			t.Fatalf("%s hasn't ended after %v", leader.Name, sig)
		}
		next, after := waitForLeader(t, cluster)
		if next == leader || after.Leading.Term <= s.Leading.Term {
			t.Fatalf("%s leads in term %d after %s in term %d", next.Name, after.Leading.Term, leader.Name, s.Leading.Term)
		}
		if takeover := after.Standby.LastTakeover; takeover != nil {
			t.Logf("%v: warm %v, %v", sig, takeover.Warm, takeover.Phases)
		}
		if sig == syscall.SIGSTOP {
			if err := leader.Resume(); err != nil {
				t.Fatal(err)
			}
		} else if err := leader.Start(); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	<-over
	for _, rule := range cluster.History.Violations() {
		t.Error(rule)
	}
	if open := cluster.History.UnfinishedJobs(); len(open) > 0 {
		t.Errorf("%d accepted jobs never came to an end: %v", len(open), open)
	}
	if n := cluster.History.Started(); n < 10 {
		t.Errorf("only %d tasks were started", n)
	}
}
