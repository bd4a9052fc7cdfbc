// Command outage measures restarts after a total outage. It repeatedly kills all controllers of a
// cluster on loopback under load and starts them after a while with the same workers. It checks the
// protocol's rules against the answers that workers and users got. It prints the distributions of
// the times until recovery is over and of the rates at which tasks were started, and writes them as
// plots.
package main

import (
	"time"

	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
)

type options struct {
	loadtest.Options
	Outages  int           `default:"200" help:"Over all clusters."`
	Clusters int           `default:"4" help:"Clusters that run at the same time."`
	Machines int           `default:"50" help:"Workers of a cluster."`
	Paced    bool          `help:"With a bounded pace of orders."`
	Shortest time.Duration `default:"300ms" help:"Of the outages."`
	Longest  time.Duration `default:"20s" help:"Of the outages; the workers' lease is 10 s."`
	Limit    time.Duration `default:"20m" help:"After which no further outage begins."`
}

// Parameters of a cluster. Its jobs have up to four tasks of two CPUs, which run for about three
// seconds.
const (
	controllers       = 3
	heartbeatInterval = time.Second
	lease             = 10 * time.Second
	runTime           = 3 * time.Second
	openJobs          = 80
	maxTasks          = 4
)

// pacedSettings is the text of the operators' settings that bound the pace of starts during recovery.
const pacedSettings = "recovery { paced: true initial_pace: 10 highest_pace: 60 }\n"

func main() {
	loadtest.Main("outage", "Kills all controllers on loopback and measures the restarts.", run)
}

// run runs all clusters and prints the result. It returns an error if a rule was violated.
func run(o options) error {
	return loadtest.InDirectory("", "outage", func(directory string) error {
		result := newResult()
		began := time.Now()
		loadtest.RunClusters(result.Result, o.Clusters, o.Outages, directory, func(c loadtest.ClusterRun) error {
			return runCluster(o, c, result, began)
		})
		return result.finish(o, time.Since(began))
	})
}

// runCluster runs one cluster through its share of the outages.
func runCluster(o options, c loadtest.ClusterRun, result *result, began time.Time) error {
	settings := ""
	if o.Paced {
		settings = pacedSettings
	}
	cluster, err := emulator.StartCluster(emulator.ClusterOptions{
		Directory: c.Directory, Controllers: controllers, Machines: o.Machines, OperatorSettings: settings,
		Timings: emulator.Timings{Heartbeat: heartbeatInterval, Lease: lease, RunTime: runTime},
		Command: emulator.CommandOf(o.Binary),
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	test := &outageTest{options: o, random: loadtest.NewRandom(o.Seed, uint64(c.Number)), cluster: cluster, result: result}
	c.RunRounds(result.Result, began.Add(o.Limit), cluster, cluster.Users(openJobs, maxTasks), test.outage)
	return nil
}
