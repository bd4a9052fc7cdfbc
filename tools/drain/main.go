// Command drain measures a rolling replacement: it runs a cluster of real controllers on
// loopback against stand-ins of all else, has every worker replaced under the load of three
// teams with different disruption budgets, and kills or pauses the leader again and again
// meanwhile. It counts interruptions at the workers, holds them against the budgets and the
// protocol's rules, and writes how long machines took to replace, with plots.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"gingertally/internal/client"
	"gingertally/internal/config"
	"gingertally/internal/drain"
	"gingertally/internal/emulator"
)

type options struct {
	Binary    string        `default:"target/gingertally" help:"The controller's program."`
	Machines  int           `default:"20" help:"Workers, all of which are replaced."`
	MaxAtOnce int           `default:"1" help:"Machines that are cordoned at a time."`
	Faults    int           `default:"30" help:"Leaders that are killed or paused meanwhile at the least."`
	Ignore    bool          `help:"Baseline: the controllers know of no budgets."`
	Seed      uint64        `default:"1" help:"Of the choices."`
	Limit     time.Duration `default:"20m" help:"After which the replacement counts as stuck."`
	Page      string        `help:"File for the page with plots (HTML)."`
	Keep      string        `help:"Directory for the controllers' logs; else they are removed."`
}

// The cluster.
const (
	reportEvery = time.Second
	lease       = 15 * time.Second
	runTime     = 4 * time.Second
	maxTasks    = 3
	drainBound  = 3 * time.Minute
	pollEvery   = 100 * time.Millisecond
	planID      = "replace-all"
	// Time between two faults.
	shortestPeace, longestPeace = time.Second, 5 * time.Second
	// Of a leader's pause, which is longer than the leader's lease.
	shortestPause, longestPause = 3500 * time.Millisecond, 8 * time.Second
)

func main() {
	var o options
	kong.Parse(&o, kong.Description("Replaces every worker of a cluster on loopback and counts interruptions against budgets."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "drain:", err)
		os.Exit(1)
	}
}

// run plays the replacement and reports on it.
func run(o options) error {
	directory := o.Keep
	if directory == "" {
		temporary, err := os.MkdirTemp("", "drain")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		directory = temporary
	}
	budgets := newBudgets(time.Now())
	cluster, err := emulator.StartCluster(emulator.ClusterOptions{
		Directory: directory, Controllers: 3, Machines: o.Machines, Elastic: true,
		Timings:          emulator.Timings{Heartbeat: reportEvery, Lease: lease, RunTime: runTime},
		Teams:            []config.Team{{Name: teamRuns}, {Name: teamDesk}, {Name: teamBatch}},
		OperatorSettings: budgets.settings(o.Ignore),
		Command:          emulator.Program(o.Binary),
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	r := &replacement{options: o, cluster: cluster, budgets: budgets, rng: rand.New(rand.NewPCG(o.Seed, 1)), old: cluster.Cloud.Machines(), gone: map[string]time.Time{}}
	if err := r.play(); err != nil {
		return err
	}
	return r.report()
}

// replacement is one run.
type replacement struct {
	options options
	cluster *emulator.Cluster
	budgets *budgets
	rng     *rand.Rand
	old     []string // machines that are to be replaced

	began, ended time.Time
	gone         map[string]time.Time // when each was released
	killed       int
	paused       int
}

// play runs the load, the plan and the faults until all machines are replaced.
func (r *replacement) play() error {
	load, stop := context.WithCancel(context.Background())
	defer stop()
	var users sync.WaitGroup
	for i, team := range teams {
		u := r.cluster.Users(team.users, maxTasks)
		u.Team, u.Profile, u.First, u.RunTime = team.name, team.profile, i*1000, team.profile.Run
		users.Go(func() { u.Run(load, drainBound) })
	}
	time.Sleep(10 * reportEvery) // until the cluster is busy
	r.began = time.Now()
	plan := drain.Plan{ID: planID, Selector: drain.Selector{All: true}, MaxAtOnce: r.options.MaxAtOnce, Surge: 2}
	if err := r.request(plan); err != nil {
		return err
	}
	nextFault := time.Now().Add(r.between(shortestPeace, longestPeace))
	for !r.done() {
		if time.Since(r.began) > r.options.Limit {
			r.showStuck()
			return errors.New("not all machines were replaced in time")
		}
		if time.Now().After(nextFault) {
			r.fault()
			nextFault = time.Now().Add(r.between(shortestPeace, longestPeace))
		}
		r.observe()
		time.Sleep(pollEvery)
	}
	r.ended = time.Now()
	stop()
	users.Wait()
	return nil
}

func (r *replacement) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Int64N(int64(high-low)))
}

// request asks some controller for the plan until one takes it; repeats change nothing.
func (r *replacement) request(plan drain.Plan) error {
	for time.Since(r.began) < r.options.Limit {
		c := r.cluster.Controllers[r.rng.IntN(len(r.cluster.Controllers))]
		if _, err := (&client.Client{Addr: c.Addr}).StartDrain(context.Background(), plan); err == nil {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return errors.New("no controller takes the plan")
}

// observe notes which machines are gone.
func (r *replacement) observe() {
	there := map[string]bool{}
	for _, name := range r.cluster.Cloud.Machines() {
		there[name] = true
	}
	for _, name := range r.old {
		if !there[name] && r.gone[name].IsZero() {
			r.gone[name] = time.Now()
		}
	}
}

// done tells whether all machines are replaced and enough faults were brought about.
func (r *replacement) done() bool {
	return len(r.gone) == len(r.old) && r.killed+r.paused >= r.options.Faults
}

// fault kills or pauses the leader, if there is one.
func (r *replacement) fault() {
	leader, _ := r.cluster.Leader()
	if leader == nil {
		return
	}
	if r.rng.IntN(3) == 0 {
		if err := leader.Pause(); err != nil {
			fmt.Println("pause:", err)
			return
		}
		time.Sleep(r.between(shortestPause, longestPause))
		if err := leader.Resume(); err != nil {
			fmt.Println("resume:", err)
		}
		r.paused++
		return
	}
	leader.Kill()
	time.Sleep(r.between(10*time.Millisecond, 2*time.Second))
	if err := leader.Start(); err != nil {
		fmt.Println("start:", err)
	}
	r.killed++
}

// showStuck prints why machines aren't empty.
func (r *replacement) showStuck() {
	_, status := r.cluster.Leader()
	if status.Leading == nil || status.Leading.Drains == nil {
		return
	}
	for _, p := range status.Leading.Drains.Plans {
		fmt.Println(p.ID, p.PhaseName, p.Machines)
		for _, m := range p.Waiting {
			fmt.Println("  ", m.Name, m.State, m.Reason)
		}
	}
}
