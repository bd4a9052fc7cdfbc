package main

import (
	"syscall"
	"time"

	"gingertally/internal/controller"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
)

const (
	// settleTimeout bounds the wait until the cluster is settled (waitSettled).
	settleTimeout = 40 * time.Second
	// takeoverTimeout is how long a takeover may take before it counts as failed.
	takeoverTimeout = 30 * time.Second
	// pollInterval is the time between two checks for a takeover, and settlePollInterval between two
	// checks for a settled leader.
	pollInterval       = 20 * time.Millisecond
	settlePollInterval = 5 * pollInterval
	// maxEndDelay bounds the random time from when the cluster has settled until the leader is ended.
	// The time is random so that leaders are ended at different points of their work.
	maxEndDelay = time.Second
	// maxResumeDelay bounds the random time from a takeover until the old leader is resumed.
	maxResumeDelay = time.Second
	// maxRestartDelay bounds the random time from a takeover until the old leader is started again.
	maxRestartDelay = 500 * time.Millisecond
)

// ending is a way of ending a leader.
type ending string

// The ways of ending a leader, with the names that the result has for them.
const (
	endingKilled   ending = "killed"
	endingPaused   ending = "paused"
	endingHandOver ending = "told to end"
)

// takeoverTest ends the leaders of one cluster and measures the takeovers.
type takeoverTest struct {
	options options
	random  loadtest.Random
	cluster *emulator.Cluster
	result  *result
}

func newTakeoverTest(o options, stream uint64, cluster *emulator.Cluster, result *result) *takeoverTest {
	return &takeoverTest{options: o, random: loadtest.NewRandom(o.Seed, stream), cluster: cluster, result: result}
}

// endLeader ends the leader, measures the takeover, and resumes or restarts the old leader.
func (t *takeoverTest) endLeader() {
	leader, term := t.waitSettled()
	if leader == nil {
		t.result.Count("not run: no settled leader", 1)
		return
	}
	time.Sleep(t.random.Between(0, maxEndDelay))
	how := t.chooseEnding()
	if t.cluster.History.Term() != term {
		// The leader has lost its leadership meanwhile, so ending it would cause no takeover.
		t.result.Count("not run: another leader meanwhile", 1)
		return
	}
	at := time.Now()
	if err := end(leader, how); err != nil {
		t.result.Fail("%v", err)
		return
	}
	t.measure(how, term, at)
	if how == endingPaused {
		time.Sleep(t.random.Between(0, maxResumeDelay))
		if err := leader.Resume(); err != nil {
			t.result.Fail("%v", err)
		}
		return
	}
	if how == endingHandOver && !leader.WaitEnd(takeoverTimeout) {
		t.result.Fail("%s didn't end after SIGTERM", leader.Name)
		leader.Kill()
	}
	time.Sleep(t.random.Between(0, maxRestartDelay))
	if err := leader.Start(); err != nil {
		t.result.Fail("%v", err)
	}
}

// end ends a leader in the given way. Only Kill waits for the process to exit.
func end(leader *emulator.Controller, how ending) error {
	switch how {
	case endingPaused:
		return leader.Pause()
	case endingHandOver:
		return leader.Signal(syscall.SIGTERM)
	case endingKilled:
		leader.Kill()
	}
	return nil
}

// chooseEnding chooses a way of ending a leader at random, by the shares in the options.
func (t *takeoverTest) chooseEnding() ending {
	switch x := t.random.Float64(); {
	case x < t.options.Paused:
		return endingPaused
	case x < t.options.Paused+t.options.HandOvers:
		return endingHandOver
	}
	return endingKilled
}

// waitSettled waits until the cluster is settled: a task was started in the leader's term, all
// controllers are up and, with the warm standby, all followers are current. It returns the leader and
// its term, or nil if the cluster didn't settle in time.
func (t *takeoverTest) waitSettled() (*emulator.Controller, uint64) {
	controllers := t.cluster.Controllers
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(settlePollInterval) {
		status, err := controllers[t.random.IntN(len(controllers))].Status()
		if err != nil || !t.isSettled(&status) {
			continue
		}
		for _, node := range controllers {
			if node.Name == status.Node {
				return node, status.Leading.Term
			}
		}
	}
	return nil, 0
}

// isSettled reports whether a controller's status is that of the leader of a settled cluster.
func (t *takeoverTest) isSettled(status *operatorapi.Status) bool {
	if status.Leading == nil || status.Leading.Term != t.cluster.History.Term() {
		return false
	}
	if _, start := t.cluster.History.FirstAnswerAndStart(status.Leading.Term); start.IsZero() {
		return false
	}
	return t.allUp(status) && (!t.options.Warm || followersCurrent(status))
}

// allUp reports whether the status lists all controllers, with this version.
func (t *takeoverTest) allUp(status *operatorapi.Status) bool {
	for _, node := range t.cluster.Controllers {
		if status.Versions[node.Name] != controller.Version {
			return false
		}
	}
	return true
}

// followersCurrent reports whether the standbys of all controllers are known, and those of the
// followers are in the state "following".
func followersCurrent(status *operatorapi.Status) bool {
	if len(status.Standbys) < len(status.Versions) {
		return false
	}
	for name, standby := range status.Standbys {
		if name != status.Node && standby.State != "following" {
			return false
		}
	}
	return true
}

// measure waits for the takeover after a leader was ended, and records how long it took.
func (t *takeoverTest) measure(how ending, term uint64, ended time.Time) {
	answer, start := t.waitTakeover(term, ended)
	t.result.Count(string(how), 1)
	if start.IsZero() {
		t.result.Count("takeovers without a start within "+takeoverTimeout.String(), 1)
		return
	}
	t.result.Observe(string(how)+", first answer", answer.Sub(ended))
	t.result.Observe(string(how)+", first start", start.Sub(ended))
	t.recordPhases()
}

// waitTakeover waits until a task is started in a later term. It returns the times at which a worker
// first accepted an answer, and first started a task, in a later term. The time of the start is zero
// if there was none within takeoverTimeout.
func (t *takeoverTest) waitTakeover(term uint64, ended time.Time) (answer, start time.Time) {
	for time.Since(ended) < takeoverTimeout && start.IsZero() {
		time.Sleep(pollInterval)
		for next := term + 1; next <= t.cluster.History.Term() && start.IsZero(); next++ {
			var firstAnswer time.Time
			firstAnswer, start = t.cluster.History.FirstAnswerAndStart(next)
			if answer.IsZero() {
				answer = firstAnswer
			}
		}
	}
	return answer, start
}

// recordPhases records the phases of the last takeover, as the new leader reports them.
func (t *takeoverTest) recordPhases() {
	for _, node := range t.cluster.Controllers {
		status, err := node.Status()
		if err != nil || status.Leading == nil || status.Standby == nil || status.Standby.LastTakeover == nil {
			continue
		}
		takeover := status.Standby.LastTakeover
		kind := "cold takeovers"
		if takeover.Warm {
			kind = "warm takeovers"
		}
		t.result.Count(kind, 1)
		for phase, since := range takeover.Phases {
			t.result.Observe("from vacant: "+phase, since)
		}
		return
	}
}
