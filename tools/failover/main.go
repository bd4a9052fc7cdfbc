// Command failover measures takeovers. It runs clusters of real controllers on loopback with an
// emulated state service, cloud, workers and users, and repeatedly kills or pauses the leader, or
// tells it to end, under load. It checks the protocol's rules against the answers that workers and
// users got. It prints the distributions of takeover times by phase, and writes a page with plots.
package main

import (
	"os"
	"os/exec"
	"time"

	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
)

type options struct {
	loadtest.Options
	Kills             int           `default:"1000" help:"Leaders to be ended, over all clusters."`
	Clusters          int           `default:"4" help:"Clusters that run at the same time."`
	Controllers       int           `default:"3" help:"Controllers of a cluster."`
	Machines          int           `default:"20" help:"Machines of a cluster."`
	Warm              bool          `default:"true" negatable:"" help:"With the warm standby."`
	Paused            float64       `default:"0.2" help:"Share of leaders that are stopped (SIGSTOP) and go on after the takeover."`
	HandOvers         float64       `default:"0" help:"Share of leaders that are told to end (SIGTERM)."`
	HeartbeatInterval time.Duration `name:"report-every" json:"ReportEvery" default:"1s" help:"Workers' heartbeat interval."`
	Lease             time.Duration `default:"15s" help:"Workers' lease."`
	RunTime           time.Duration `default:"2s" help:"Of a task, give or take a half."`
	OpenJobs          int           `default:"60" help:"Jobs that users keep open in a cluster."`
	MaxTasks          int           `default:"4" help:"Tasks of a job at the most."`
	Limit             time.Duration `default:"30m" help:"After which no further leader is ended."`
	Result            string        `help:"File for the result in JSON."`
	Keep              string        `help:"Directory for the controllers' logs; else they are removed."`
}

func main() {
	loadtest.Main("failover", "Kills leaders on loopback and measures the takeovers.", run)
}

// run runs all clusters and prints the result. It returns an error if a rule was violated.
func run(o options) error {
	return loadtest.InDirectory(o.Keep, "failover", func(directory string) error {
		result := newResult(o)
		began := time.Now()
		loadtest.RunClusters(result.Result, o.Clusters, o.Kills, directory, func(c loadtest.ClusterRun) error {
			return runCluster(o, c, result, began)
		})
		return result.finish(time.Since(began))
	})
}

// operatorSettings returns the text of the operators' settings; empty for none.
func operatorSettings(o options) string {
	if !o.Warm {
		return ""
	}
	return "standby { enabled: true }\n"
}

// runCluster runs one cluster until its share of the leaders was ended or the time limit has passed.
func runCluster(o options, c loadtest.ClusterRun, result *result, began time.Time) error {
	cluster, err := emulator.StartCluster(emulator.ClusterOptions{
		Directory: c.Directory, Controllers: o.Controllers, Machines: o.Machines,
		Timings:          emulator.Timings{Heartbeat: o.HeartbeatInterval, Lease: o.Lease, RunTime: o.RunTime},
		OperatorSettings: operatorSettings(o),
		Command: func(settings, operatorSettings string) *exec.Cmd {
			command := emulator.CommandOf(o.Binary)(settings, operatorSettings)
			command.Env = append(os.Environ(), "LOG_LEVEL=info")
			return command
		},
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	test := newTakeoverTest(o, uint64(c.Number), cluster, result)
	c.RunRounds(result.Result, began.Add(o.Limit), cluster, cluster.Users(o.OpenJobs, o.MaxTasks), test.endLeader)
	return nil
}
