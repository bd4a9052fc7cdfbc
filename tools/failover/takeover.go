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
	// settleTimeout bounds the wait for a leader with work before it is ended.
	settleTimeout = 40 * time.Second
	// takeoverTimeout is when a takeover that hasn't come about counts as failed.
	takeoverTimeout = 30 * time.Second
	// pollInterval is the time between two looks for a takeover, settlePollInterval between two for a leader.
	pollInterval       = 20 * time.Millisecond
	settlePollInterval = 5 * pollInterval
	// longestWork is the longest time from a settled leader to its end, at any moment of its work.
	longestWork = time.Second
	// longestPaused is the longest time from a takeover to the end of the old leader's pause.
	longestPaused = time.Second
	// longestDown is the longest time from a leader's end, with the takeover, to its next start.
	longestDown = 500 * time.Millisecond
)

// ending is a way of ending a leader.
type ending string

// The ways of ending a leader, by their names in the result.
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

// endLeader ends the leader, measures the takeover, and has the old leader go on or start again.
func (t *takeoverTest) endLeader() {
	leader, term := t.waitSettled()
	if leader == nil {
		t.result.Count("not run: no settled leader", 1)
		return
	}
	time.Sleep(t.random.Between(0, longestWork))
	how := t.chooseEnding()
	if t.cluster.History.Term() != term {
		// It has lost the leadership meanwhile: ending it would bring no takeover.
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
		time.Sleep(t.random.Between(0, longestPaused))
		if err := leader.Resume(); err != nil {
			t.result.Fail("%v", err)
		}
		return
	}
	if how == endingHandOver && !leader.WaitEnd(takeoverTimeout) {
		t.result.Fail("%s didn't end after SIGTERM", leader.Name)
		leader.Kill()
	}
	time.Sleep(t.random.Between(0, longestDown))
	if err := leader.Start(); err != nil {
		t.result.Fail("%v", err)
	}
}

// end ends a leader in one of the ways.
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

// chooseEnding chooses among the ways by their shares.
func (t *takeoverTest) chooseEnding() ending {
	switch x := t.random.Float64(); {
	case x < t.options.Paused:
		return endingPaused
	case x < t.options.Paused+t.options.HandOvers:
		return endingHandOver
	}
	return endingKilled
}

// waitSettled waits until a leader leads in whose term a task was started, with all controllers up and, with the
// warm standby, all followers current. It returns that leader with its term; nil if there was none in time.
func (t *takeoverTest) waitSettled() (*emulator.Controller, uint64) {
	controllers := t.cluster.Controllers
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(settlePollInterval) {
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

// isSettled reports whether a status is that of a settled cluster.
func (t *takeoverTest) isSettled(status *operatorapi.Status) bool {
	if status.Leading == nil || status.Leading.Term != t.cluster.History.Term() {
		return false
	}
	if _, start := t.cluster.History.FirstOf(status.Leading.Term); start.IsZero() {
		return false
	}
	return t.allUp(status) && (!t.options.Warm || followersCurrent(status))
}

// allUp reports whether all controllers are up.
func (t *takeoverTest) allUp(status *operatorapi.Status) bool {
	for _, node := range t.cluster.Controllers {
		if status.Versions[node.Name] != controller.Version {
			return false
		}
	}
	return true
}

// followersCurrent reports whether all followers have the leader's warm state.
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

// measure waits for the takeover from a leader that was ended, and records its times.
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

// waitTakeover waits for the first start in a later term. It returns when a worker accepted the first answer and the
// first start; the start is zero if none came in time.
func (t *takeoverTest) waitTakeover(term uint64, ended time.Time) (answer, start time.Time) {
	for time.Since(ended) < takeoverTimeout && start.IsZero() {
		time.Sleep(pollInterval)
		for next := term + 1; next <= t.cluster.History.Term() && start.IsZero(); next++ {
			var firstAnswer time.Time
			firstAnswer, start = t.cluster.History.FirstOf(next)
			if answer.IsZero() {
				answer = firstAnswer
			}
		}
	}
	return answer, start
}

// recordPhases records the phases of the last takeover, as the new leader tells them.
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
