// Command drain measures a rolling replacement of machines. It runs a cluster of real controllers
// on loopback with an emulated state service, cloud, workers and users, and replaces every worker
// under the load of three teams with different disruption budgets. Meanwhile it repeatedly kills or
// pauses the leader. It counts the interruptions that the workers see and checks them against the
// budgets, checks the history against the protocol's rules, and prints the times between the removals
// of machines, with plots.
package main

import (
	"time"

	"gingertally/internal/config"
	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
)

type options struct {
	loadtest.Options
	Machines  int           `default:"20" help:"Workers, all of which are replaced."`
	MaxAtOnce int           `default:"1" help:"Machines that are cordoned at a time."`
	Faults    int           `default:"30" help:"Leaders that are killed or paused meanwhile at the least."`
	Ignore    bool          `help:"Baseline: the controllers know of no budgets."`
	Limit     time.Duration `default:"20m" help:"After which the replacement counts as stuck."`
	Keep      string        `help:"Directory for the controllers' logs; else they are removed."`
}

// Parameters of the cluster.
const (
	controllers       = 3
	heartbeatInterval = time.Second
	lease             = 15 * time.Second
	runTime           = 4 * time.Second
	maxTasks          = 3
)

func main() {
	loadtest.Main("drain", "Replaces every worker of a cluster on loopback and counts interruptions against budgets.", run)
}

// run runs the replacement and prints its result.
func run(o options) error {
	return loadtest.InDirectory(o.Keep, "drain", func(directory string) error {
		budgets := newBudgets(time.Now())
		cluster, err := emulator.StartCluster(emulator.ClusterOptions{
			Directory: directory, Controllers: controllers, Machines: o.Machines, Elastic: true,
			Timings:          emulator.Timings{Heartbeat: heartbeatInterval, Lease: lease, RunTime: runTime},
			Teams:            []config.Team{{Name: teamRuns}, {Name: teamDesk}, {Name: teamBatch}},
			OperatorSettings: budgets.settings(o.Ignore),
			Command:          emulator.CommandOf(o.Binary),
		})
		if err != nil {
			return err
		}
		defer cluster.Stop()
		r := newReplacement(o, cluster, budgets)
		if err := r.run(); err != nil {
			return err
		}
		return r.finish()
	})
}
