package main

import (
	"errors"
	"time"

	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
)

const (
	// recoveryTimeout bounds the wait until a leader has finished its recovery.
	recoveryTimeout = time.Minute
	pollInterval    = 50 * time.Millisecond
	// Bounds of the time from a leader's finished recovery to the outage.
	minTimeInNormal, maxTimeInNormal = 2 * time.Second, 4 * time.Second
	// longestShortOutage bounds the length of the outages that are chosen to be short, on average half
	// of all. The others may be as short by chance.
	longestShortOutage = 2 * time.Second
	// longestStartGap bounds the random time between the starts of two controllers.
	longestStartGap = 200 * time.Millisecond
	// rateWindow is the time after a restart during which the starts of tasks are counted.
	rateWindow = 10 * time.Second
)

// outageTest causes the outages of one cluster and measures the restarts.
type outageTest struct {
	options options
	random  loadtest.Random
	cluster *emulator.Cluster
	result  *result
}

// outage kills all controllers, starts them again after a while, and measures the restart.
func (t *outageTest) outage() {
	if _, err := t.waitRecovered(); err != nil {
		t.result.Count("not run: "+err.Error(), 1)
		return
	}
	time.Sleep(t.random.Between(minTimeInNormal, maxTimeInNormal))
	for _, controller := range t.cluster.Controllers {
		controller.Kill()
	}
	time.Sleep(t.chooseLength())
	lastTerm, restarted := t.cluster.History.Term(), time.Now()
	t.startControllers()
	status, err := t.waitRecovered()
	if err != nil {
		t.result.Count("not settled within "+recoveryTimeout.String(), 1)
		return
	}
	t.result.Count("restarts", 1)
	t.result.observe("restart to normal", time.Since(restarted))
	t.result.observe("term's start to normal", status.Leading.Recovery.Took)
	t.measureFirstEvents(lastTerm, restarted)
	t.result.recordRates(t.cluster.History.Starts(restarted, restarted.Add(rateWindow)))
	for reason, times := range status.Leading.Recovery.Findings {
		t.result.countFinding(reason, times)
	}
}

// chooseLength returns a random length for an outage. With probability 1/2 it is a short one.
func (t *outageTest) chooseLength() time.Duration {
	length := t.random.Between(t.options.Shortest, t.options.Longest)
	if t.random.IntN(2) == 0 {
		length = t.random.Between(t.options.Shortest, longestShortOutage)
	}
	return length
}

// startControllers starts all controllers one after the other, in random order.
func (t *outageTest) startControllers() {
	for _, i := range t.random.Perm(len(t.cluster.Controllers)) {
		if err := t.cluster.Controllers[i].Start(); err != nil {
			t.result.Fail("%v", err)
		}
		time.Sleep(t.random.Between(0, longestStartGap))
	}
}

// measureFirstEvents measures the times from the restart to the first answer to a heartbeat that a
// worker accepted, and to the first start of a task, in the first term in which a task was started.
func (t *outageTest) measureFirstEvents(lastTerm uint64, restarted time.Time) {
	for term := lastTerm + 1; term <= t.cluster.History.Term(); term++ {
		if answer, start := t.cluster.History.FirstAnswerAndStart(term); !start.IsZero() {
			t.result.observe("restart to first answer", answer.Sub(restarted))
			t.result.observe("restart to first start", start.Sub(restarted))
			return
		}
	}
}

// errNotRecovered says that no leader finished its recovery in time.
var errNotRecovered = errors.New("no settled leader")

// waitRecovered waits until a leader has finished its recovery, and returns the leader's status.
func (t *outageTest) waitRecovered() (operatorapi.Status, error) {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, controller := range t.cluster.Controllers {
			status, err := controller.Status()
			if err == nil && status.Leading != nil && status.Leading.Recovery.State == "normal" {
				return status, nil
			}
		}
	}
	return operatorapi.Status{}, errNotRecovered
}
