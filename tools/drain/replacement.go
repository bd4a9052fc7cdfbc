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
	// jobEndTimeout is how long users wait for their jobs to end after the replacement.
	jobEndTimeout = 3 * time.Minute
	// warmUp is the time that the cluster is given to become busy.
	warmUp       = 10 * heartbeatInterval
	pollInterval = 100 * time.Millisecond
	// Bounds of the time between two faults.
	shortestFaultFree, longestFaultFree = time.Second, 5 * time.Second
	// Bounds of a leader's pause, which is longer than the leader's lease.
	shortestPause, longestPause = 3500 * time.Millisecond, 8 * time.Second
	// Bounds of the time for which a killed leader is down.
	shortestDown, longestDown = 10 * time.Millisecond, 2 * time.Second
	// pauseOneIn: on average one in so many faults is a pause, and the others are kills.
	pauseOneIn = 3
)

// replacement is a rolling replacement of all machines under load and faults.
type replacement struct {
	options     options
	cluster     *emulator.Cluster
	budgets     *budgets
	random      loadtest.Random
	oldMachines []string // names of the machines to replace

	began, ended time.Time
	removed      map[string]time.Time // when each of the old machines was seen to be deleted
	killed       int
	paused       int
}

func newReplacement(o options, cluster *emulator.Cluster, budgets *budgets) *replacement {
	return &replacement{
		options: o, cluster: cluster, budgets: budgets, random: loadtest.NewRandom(o.Seed, 1),
		oldMachines: cluster.Cloud.Machines(), removed: map[string]time.Time{},
	}
}

// run starts the load and the drain plan, and injects faults until all machines are replaced and
// there were enough faults.
func (r *replacement) run() error {
	load := loadtest.StartLoad(jobEndTimeout, r.users()...)
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
		r.recordRemoved()
		time.Sleep(pollInterval)
	}
	r.ended = time.Now()
	return nil
}

// users returns the users of all teams.
func (r *replacement) users() []*emulator.Users {
	var all []*emulator.Users
	for i, team := range teams {
		users := r.cluster.Users(team.users, maxTasks)
		users.Team, users.Profile, users.RunTime = team.name, team.profile, team.profile.Run
		users.FirstNumber = i * userNumbersPerTeam
		all = append(all, users)
	}
	return all
}

// faultFreeTime returns the random time until the next fault.
func (r *replacement) faultFreeTime() time.Duration {
	return r.random.Between(shortestFaultFree, longestFaultFree)
}

// startPlan submits the drain plan to randomly chosen controllers until one accepts it. Submitting it
// again changes nothing.
func (r *replacement) startPlan() error {
	plan := drain.Plan{ID: planID, Selector: drain.Selector{All: true}, MaxAtOnce: r.options.MaxAtOnce, Surge: surge}
	err := errors.New("the time limit has passed")
	for time.Since(r.began) < r.options.Limit {
		controller := r.cluster.Controllers[r.random.IntN(len(r.cluster.Controllers))]
		if _, err = (&client.Client{Addr: controller.Addr}).StartDrain(context.Background(), plan); err == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("no controller accepts the plan: %w", err)
}

// recordRemoved records the time for each old machine that was deleted since the last call.
func (r *replacement) recordRemoved() {
	present := map[string]bool{}
	for _, name := range r.cluster.Cloud.Machines() {
		present[name] = true
	}
	for _, name := range r.oldMachines {
		if !present[name] && r.removed[name].IsZero() {
			r.removed[name] = time.Now()
		}
	}
}

// done reports whether all old machines are deleted and there were enough faults.
func (r *replacement) done() bool {
	return len(r.removed) == len(r.oldMachines) && r.killed+r.paused >= r.options.Faults
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

// pause pauses the leader for a random time that is longer than its lease.
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

// printWaiting prints the drain plans, and why machines haven't been emptied yet.
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
