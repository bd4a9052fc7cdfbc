package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gingertally/internal/client"
	"gingertally/internal/drain"
	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
)

const (
	planID = "replace-all"
	surge  = 2
	// loadWait is how long users wait for the ends of their jobs.
	loadWait = 3 * time.Minute
	// warmUp is the time until the cluster is busy.
	warmUp       = 10 * heartbeatInterval
	pollInterval = 100 * time.Millisecond
	// Fault-free time between two faults.
	shortestFaultFree, longestFaultFree = time.Second, 5 * time.Second
	// Length of a leader's pause, which is longer than the leader's lease.
	shortestPause, longestPause = 3500 * time.Millisecond, 8 * time.Second
	// Time for which a killed leader is down.
	shortestDown, longestDown = 10 * time.Millisecond, 2 * time.Second
	// pauseOneIn is how many faults there are for each pause; the others are kills.
	pauseOneIn = 3
)

// replacement is one run.
type replacement struct {
	options options
	cluster *emulator.Cluster
	budgets *budgets
	random  loadtest.Random
	old     []string // machines that are to be replaced

	began, ended time.Time
	removed      map[string]time.Time // when each of the old machines was deleted
	killed       int
	paused       int
}

func newReplacement(o options, cluster *emulator.Cluster, budgets *budgets) *replacement {
	return &replacement{
		options: o, cluster: cluster, budgets: budgets, random: loadtest.NewRandom(o.Seed, 1),
		old: cluster.Cloud.Machines(), removed: map[string]time.Time{},
	}
}

// play runs load, plan and faults until all machines are replaced.
func (r *replacement) play() error {
	load := loadtest.StartLoad(loadWait, r.users()...)
	defer load.Stop()
	time.Sleep(warmUp)
	r.began = time.Now()
	if err := r.startPlan(); err != nil {
		return err
	}
	nextFault := time.Now().Add(r.faultFreeTime())
	for !r.done() {
		if time.Since(r.began) > r.options.Limit {
			r.printWaiting()
			return errors.New("not all machines were replaced in time")
		}
		if time.Now().After(nextFault) {
			r.injectFault()
			nextFault = time.Now().Add(r.faultFreeTime())
		}
		r.noteRemoved()
		time.Sleep(pollInterval)
	}
	r.ended = time.Now()
	return nil
}

// users are the users of all teams.
func (r *replacement) users() []*emulator.Users {
	var all []*emulator.Users
	for i, team := range teams {
		users := r.cluster.Users(team.users, maxTasks)
		users.Team, users.Profile, users.RunTime = team.name, team.profile, team.profile.Run
		users.First = i * usersPerTeam
		all = append(all, users)
	}
	return all
}

func (r *replacement) faultFreeTime() time.Duration {
	return r.random.Between(shortestFaultFree, longestFaultFree)
}

// startPlan asks one controller after the other for the plan until one accepts it; repeats change nothing.
func (r *replacement) startPlan() error {
	plan := drain.Plan{ID: planID, Selector: drain.Selector{All: true}, MaxAtOnce: r.options.MaxAtOnce, Surge: surge}
	err := errors.New("the time limit is over")
	for time.Since(r.began) < r.options.Limit {
		controller := r.cluster.Controllers[r.random.IntN(len(r.cluster.Controllers))]
		if _, err = (&client.Client{Addr: controller.Addr}).StartDrain(context.Background(), plan); err == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("no controller accepts the plan: %w", err)
}

// noteRemoved notes which of the old machines were deleted.
func (r *replacement) noteRemoved() {
	there := map[string]bool{}
	for _, name := range r.cluster.Cloud.Machines() {
		there[name] = true
	}
	for _, name := range r.old {
		if !there[name] && r.removed[name].IsZero() {
			r.removed[name] = time.Now()
		}
	}
}

// done reports whether all machines are replaced and there were enough faults.
func (r *replacement) done() bool {
	return len(r.removed) == len(r.old) && r.killed+r.paused >= r.options.Faults
}

// injectFault kills or pauses the leader, if there is one.
func (r *replacement) injectFault() {
	leader, _ := r.cluster.Leader()
	if leader == nil {
		return
	}
	if r.random.IntN(pauseOneIn) == 0 {
		r.pause(leader)
		return
	}
	leader.Kill()
	time.Sleep(r.random.Between(shortestDown, longestDown))
	if err := leader.Start(); err != nil {
		fmt.Println("start:", err)
	}
	r.killed++
}

func (r *replacement) pause(leader *emulator.Controller) {
	if err := leader.Pause(); err != nil {
		fmt.Println("pause:", err)
		return
	}
	time.Sleep(r.random.Between(shortestPause, longestPause))
	if err := leader.Resume(); err != nil {
		fmt.Println("resume:", err)
	}
	r.paused++
}

// printWaiting prints why machines aren't empty.
func (r *replacement) printWaiting() {
	_, status := r.cluster.Leader()
	if status.Leading == nil || status.Leading.Drains == nil {
		return
	}
	for _, plan := range status.Leading.Drains.Plans {
		fmt.Println(plan.ID, plan.PhaseName, plan.Machines)
		for _, machine := range plan.Waiting {
			fmt.Println("  ", machine.Name, machine.State, machine.Reason)
		}
	}
}
