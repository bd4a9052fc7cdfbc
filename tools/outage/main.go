// Command outage measures restarts after a total outage: it kills all controllers of a cluster
// on loopback under load, again and again, starts them after a while against the same workers,
// and holds the protocol's rules against what workers were told and users heard. It writes how
// long until all is settled, and at what rate orders went out, as distributions with plots.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"gingertally/internal/daemon"
	"gingertally/internal/emulator"
)

type options struct {
	Binary   string        `default:"target/gingertally" help:"The controller's program."`
	Outages  int           `default:"200" help:"Over all clusters."`
	Clusters int           `default:"4" help:"Clusters that run at the same time."`
	Machines int           `default:"50" help:"Workers of a cluster."`
	Paced    bool          `help:"With a bounded pace of orders."`
	Seed     uint64        `default:"1" help:"Of the choices."`
	Shortest time.Duration `default:"300ms" help:"Of the outages."`
	Longest  time.Duration `default:"20s" help:"Of the outages; the workers' lease is 10 s."`
	Limit    time.Duration `default:"20m" help:"After which no further outage begins."`
	Page     string        `help:"File for the page with plots (HTML)."`
}

// The clusters: jobs of up to four tasks of two GuaranteedCPUs that run for about three seconds.
const (
	reportEvery = time.Second
	lease       = 10 * time.Second
	runTime     = 3 * time.Second
	openJobs    = 80
	maxTasks    = 4
	drainBound  = 2 * time.Minute
	settleBound = time.Minute
	pollEvery   = 50 * time.Millisecond
)

const pacedSettings = "recovery { paced: true initial_pace: 10 highest_pace: 60 }\n"

func main() {
	var o options
	kong.Parse(&o, kong.Description("Kills all controllers on loopback and measures the restarts."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "outage:", err)
		os.Exit(1)
	}
}

// run runs all clusters, prints the result, and fails if a rule was broken.
func run(o options) error {
	directory, err := os.MkdirTemp("", "outage")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	result := newResult()
	began := time.Now()
	var clusters sync.WaitGroup
	for i := range o.Clusters {
		outages := o.Outages / o.Clusters
		if i < o.Outages%o.Clusters {
			outages++
		}
		clusters.Go(func() {
			if err := runCluster(o, i, outages, filepath.Join(directory, fmt.Sprint(i)), result, began); err != nil {
				result.fail(fmt.Sprintf("cluster %d: %v", i, err))
			}
		})
	}
	clusters.Wait()
	return result.finish(o, time.Since(began))
}

// runCluster runs one cluster through its outages.
func runCluster(o options, number, outages int, directory string, result *result, began time.Time) error {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	settings := ""
	if o.Paced {
		settings = pacedSettings
	}
	cluster, err := emulator.StartCluster(emulator.ClusterOptions{
		Directory: directory, Controllers: 3, Machines: o.Machines, OperatorSettings: settings,
		Timings: emulator.Timings{Heartbeat: reportEvery, Lease: lease, RunTime: runTime},
		Command: emulator.Program(o.Binary),
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	load, stop := context.WithCancel(context.Background())
	defer stop()
	users := make(chan struct{})
	go func() {
		cluster.Users(openJobs, maxTasks).Run(load, drainBound)
		close(users)
	}()
	rng := rand.New(rand.NewPCG(o.Seed, uint64(number)))
	for range outages {
		if time.Since(began) > o.Limit {
			result.count("not run: the time limit")
			continue
		}
		outage(o, rng, cluster, result)
	}
	stop()
	<-users
	if open := cluster.History.Open(); len(open) > 0 {
		result.fail(fmt.Sprintf("%d accepted jobs never came to an end, such as %s", len(open), open[0]))
	}
	result.note(cluster.History)
	return nil
}

// outage kills all controllers, starts them after a while, and measures the restart.
func outage(o options, rng *rand.Rand, cluster *emulator.Cluster, result *result) {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rng.Int64N(int64(high-low)+1))
	}
	if _, err := settled(cluster); err != nil {
		result.count("not run: " + err.Error())
		return
	}
	time.Sleep(between(2*time.Second, 4*time.Second))
	for _, c := range cluster.Controllers {
		c.Kill()
	}
	length := between(o.Shortest, o.Longest)
	if rng.IntN(2) == 0 {
		length = between(o.Shortest, 2*time.Second)
	}
	time.Sleep(length)
	term, restarted := cluster.History.Term(), time.Now()
	for _, i := range rng.Perm(len(cluster.Controllers)) {
		if err := cluster.Controllers[i].Start(); err != nil {
			result.fail(err.Error())
		}
		time.Sleep(between(0, 200*time.Millisecond))
	}
	s, err := settled(cluster)
	if err != nil {
		result.count("not settled within " + settleBound.String())
		return
	}
	result.count("restarts")
	result.observe("restart to normal", time.Since(restarted))
	result.observe("term's start to normal", s.Leading.Recovery.Took)
	for next := term + 1; next <= cluster.History.Term(); next++ {
		if answer, start := cluster.History.FirstOf(next); !start.IsZero() {
			result.observe("restart to first answer", answer.Sub(restarted))
			result.observe("restart to first start", start.Sub(restarted))
			break
		}
	}
	result.rates(cluster.History.Starts(restarted, restarted.Add(10*time.Second)))
	for reason, n := range s.Leading.Recovery.Findings {
		result.found(reason, n)
	}
}

var errNotSettled = errors.New("no settled leader")

// settled waits until a leader's recovery is over.
func settled(cluster *emulator.Cluster) (daemon.Status, error) {
	for end := time.Now().Add(settleBound); time.Now().Before(end); time.Sleep(pollEvery) {
		for _, c := range cluster.Controllers {
			s, err := c.Status()
			if err == nil && s.Leading != nil && s.Leading.Recovery.State == "normal" {
				return s, nil
			}
		}
	}
	return daemon.Status{}, errNotSettled
}
