package emulator

import (
	"context"
	"testing"
	"time"

	"gingertally/internal/client"
	"gingertally/internal/drain"
)

// drainSettings are operators' settings whose budget allows one interruption of each task.
const drainSettings = `draining { enabled: true finish_wait { seconds: 2 } budgets { team: "t" task_interruptions: 1 } }`

// A drain plan replaces every worker of a cluster on loopback, under load, while leaders are killed
// and paused. Guards against faults of draining across takeovers: a task that is interrupted more
// often than the budget allows, is lost or runs twice, or an accepted job that never ends. The time
// that the replacement takes isn't checked, since the machine may be busy.
func TestEveryWorkerIsReplaced(t *testing.T) {
	cluster := startElasticCluster(t, drainSettings)
	load, stop := context.WithCancel(t.Context())
	defer stop()
	over := make(chan struct{})
	go func() {
		users := cluster.Users(5, 2)
		users.Profile = JobProfile{Run: 4 * time.Second, Saves: true}
		users.Run(load, 2*time.Minute)
		close(over)
	}()
	old := cluster.Cloud.Machines()
	leader, _ := waitForLeader(t, cluster)
	previewDrain(t, cluster, len(old))
	requestDrain(t, leader)
	for fault := 0; !allReplaced(cluster, old); fault++ {
		leader, _ := waitForLeader(t, cluster)
		if fault%2 == 0 {
			leader.Kill()
			if err := leader.Start(); err != nil {
				t.Fatal(err)
			}
		} else if err := leader.Pause(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if err := leader.Resume(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
	}
	stop()
	<-over
	for _, rule := range cluster.History.Violations() {
		t.Error(rule)
	}
	if open := cluster.History.UnfinishedJobs(); len(open) > 0 {
		t.Errorf("%d accepted jobs never came to an end: %v", len(open), open)
	}
	interrupted := map[string]int{}
	for _, interruption := range cluster.History.Interruptions() {
		task := interruption.Task
		if interrupted[task]++; interrupted[task] > 1 {
			t.Errorf("%s was interrupted %d times", task, interrupted[task])
		}
	}
	t.Logf("%d starts, %d interruptions", cluster.History.Started(), len(interrupted))
}

// previewDrain asks every controller for the preview of a plan for all machines, and checks that each
// returns the leader's answer and that no plan is started.
func previewDrain(t *testing.T, cluster *Cluster, machines int) {
	t.Helper()
	plan := drain.Plan{ID: "preview", Selector: drain.Selector{All: true}, MaxAtOnce: 3}
	for _, c := range cluster.Controllers {
		var preview drain.Preview
		var err error
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if preview, err = (&client.Client{Addr: c.Addr}).PreviewDrain(t.Context(), plan); err == nil {
				break // an error means that the controller knows of no leader at the moment
			}
		}
		if err != nil || preview.Machines != machines || preview.Stages != (machines+2)/3 || len(preview.Listed) != machines {
			t.Fatalf("%s: %+v, %v", c.Name, preview, err)
		}
	}
	_, status := waitForLeader(t, cluster)
	if len(status.Leading.Drains.Plans) != 0 {
		t.Errorf("a preview has started plans: %+v", status.Leading.Drains.Plans)
	}
}

// requestDrain starts a plan that replaces all machines, two at a time. It sends the request twice,
// since a repeated request must change nothing.
func requestDrain(t *testing.T, c *Controller) {
	t.Helper()
	plan := drain.Plan{ID: "all", Selector: drain.Selector{All: true}, MaxAtOnce: 2, Surge: 2}
	for range 2 {
		if _, err := (&client.Client{Addr: c.Addr}).StartDrain(t.Context(), plan); err != nil {
			t.Fatal(err)
		}
	}
}

// allReplaced reports whether none of the old machines exists any more.
func allReplaced(cluster *Cluster, old []string) bool {
	exists := map[string]bool{}
	for _, name := range cluster.Cloud.Machines() {
		exists[name] = true
	}
	for _, name := range old {
		if exists[name] {
			return false
		}
	}
	return true
}
