package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gingertally/internal/daemon"
	"gingertally/internal/emulator"
)

// nodeStatus is a controller's status.
type nodeStatus = daemon.Status

// killer ends the leaders of one cluster.
type killer struct {
	options options
	rng     *rand.Rand
	cluster *emulator.Cluster
	result  *result
}

func newKiller(o options, stream uint64, cluster *emulator.Cluster, r *result) *killer {
	return &killer{options: o, rng: rand.New(rand.NewPCG(o.Seed, stream)), cluster: cluster, result: r}
}

const (
	// settleBound bounds the wait for a leader with work before it is ended.
	settleBound = 40 * time.Second
	// takeoverBound is when a takeover that hasn't come about counts as failed.
	takeoverBound = 30 * time.Second
	// drainBound bounds the wait for all jobs at the end.
	drainBound = 2 * time.Minute
	pollEvery  = 20 * time.Millisecond
)

// run ends so many leaders, and then waits for all jobs.
func (k *killer) run(kills int, began time.Time) {
	load, stop := context.WithCancel(context.Background())
	defer stop()
	users := make(chan struct{})
	go func() {
		k.cluster.Users(k.options.OpenJobs, k.options.MaxTasks).Run(load, drainBound)
		close(users)
	}()
	for range kills {
		if time.Since(began) > k.options.Limit {
			k.result.count("not run: the time limit", 1)
			continue
		}
		k.endLeader()
	}
	stop()
	<-users
	if open := k.cluster.History.Open(); len(open) > 0 {
		k.result.fail(fmt.Sprintf("%d accepted jobs never came to an end, such as %s", len(open), open[0]))
	}
}

// settled waits until a leader leads whose followers are current and which has given starts,
// and returns it with its term.
func (k *killer) settled() (*emulator.Controller, uint64) {
	for end := time.Now().Add(settleBound); time.Now().Before(end); time.Sleep(5 * pollEvery) {
		s, err := k.cluster.Controllers[k.rng.IntN(len(k.cluster.Controllers))].Status()
		if err != nil || s.Leading == nil || s.Leading.Term != k.cluster.History.Term() || len(s.Versions) < len(k.cluster.Controllers) {
			continue
		}
		if _, start := k.cluster.History.FirstOf(s.Leading.Term); start.IsZero() {
			continue
		}
		if !k.allAnswer(&s) || k.options.Warm && !current(&s) {
			continue
		}
		for _, c := range k.cluster.Controllers {
			if c.Name == s.Node {
				return c, s.Leading.Term
			}
		}
	}
	return nil, 0
}

// allAnswer tells whether all controllers are up.
func (k *killer) allAnswer(s *nodeStatus) bool {
	for _, c := range k.cluster.Controllers {
		if s.Versions[c.Name] != daemon.Version {
			return false
		}
	}
	return true
}

// current tells whether all followers have the leader's state.
func current(s *nodeStatus) bool {
	if len(s.Standbys) < len(s.Versions) {
		return false
	}
	for name, standby := range s.Standbys {
		if name != s.Node && standby.State != "following" {
			return false
		}
	}
	return true
}

// endLeader ends the leader in one of the ways, and measures the takeover.
func (k *killer) endLeader() {
	leader, term := k.settled()
	if leader == nil {
		k.result.count("not run: no settled leader", 1)
		return
	}
	time.Sleep(time.Duration(k.rng.Int64N(int64(time.Second)))) // at any moment of its work
	way := k.chooseWay()
	if k.cluster.History.Term() != term {
		// It has lost the lead meanwhile: ending it would bring no takeover.
		k.result.count("not run: another leader meanwhile", 1)
		return
	}
	at := time.Now()
	switch way {
	case wayPaused:
		if err := leader.Pause(); err != nil {
			k.result.fail(err.Error())
			return
		}
	case wayHandOver:
		_ = leader.Signal(syscall.SIGTERM)
	default:
		leader.Kill()
	}
	k.measure(way, term, at)
	switch way {
	case wayPaused:
		time.Sleep(time.Duration(k.rng.Int64N(int64(time.Second))))
		if err := leader.Resume(); err != nil {
			k.result.fail(err.Error())
		}
		return
	case wayHandOver:
		if !leader.WaitEnd(takeoverBound) {
			k.result.fail(leader.Name + " didn't end after SIGTERM")
			leader.Kill()
		}
	}
	time.Sleep(time.Duration(k.rng.Int64N(int64(500 * time.Millisecond))))
	if err := leader.Start(); err != nil {
		k.result.fail(err.Error())
	}
}

// Ways of ending a leader.
const (
	wayKilled   = "killed"
	wayPaused   = "paused"
	wayHandOver = "told to end"
)

func (k *killer) chooseWay() string {
	switch x := k.rng.Float64(); {
	case x < k.options.Paused:
		return wayPaused
	case x < k.options.Paused+k.options.HandOvers:
		return wayHandOver
	}
	return wayKilled
}

// measure waits for the takeover and notes its times.
func (k *killer) measure(way string, term uint64, at time.Time) {
	var answer, start time.Time
	for time.Since(at) < takeoverBound && start.IsZero() {
		time.Sleep(pollEvery)
		for next := term + 1; next <= k.cluster.History.Term() && start.IsZero(); next++ {
			a, s := k.cluster.History.FirstOf(next)
			if answer.IsZero() {
				answer = a
			}
			start = s
		}
	}
	k.result.count(way, 1)
	if start.IsZero() {
		k.result.count("takeovers without a start within "+takeoverBound.String(), 1)
		return
	}
	k.result.observe(way+", first answer", answer.Sub(at))
	k.result.observe(way+", first start", start.Sub(at))
	k.phases()
}

// phases notes the phases of the last takeover as the new leader tells them.
func (k *killer) phases() {
	for _, c := range k.cluster.Controllers {
		s, err := c.Status()
		if err != nil || s.Leading == nil || s.Standby == nil || s.Standby.LastTakeover == nil {
			continue
		}
		t := s.Standby.LastTakeover
		if t.Warm {
			k.result.count("warm takeovers", 1)
		} else {
			k.result.count("cold takeovers", 1)
		}
		for phase, since := range t.Phases {
			k.result.observe("from vacant: "+phase, since)
		}
		return
	}
}
