// Command failover measures takeovers: it runs clusters of real controllers on loopback
// against stand-ins of all else, kills the leader again and again under load, and holds the
// protocol's rules against what workers were told and users heard. It writes takeover times
// by phase as distributions, and a page with plots.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"gingertally/internal/emulator"
)

type options struct {
	Binary      string        `default:"target/gingertally" help:"The controller's program."`
	Kills       int           `default:"1000" help:"Leaders to be ended, over all clusters."`
	Clusters    int           `default:"4" help:"Clusters that run at the same time."`
	Controllers int           `default:"3" help:"Controllers of a cluster."`
	Machines    int           `default:"20" help:"Machines of a cluster."`
	Warm        bool          `default:"true" negatable:"" help:"With the warm standby."`
	Paused      float64       `default:"0.2" help:"Share of leaders that are stopped (SIGSTOP) and go on after the takeover."`
	HandOvers   float64       `default:"0" help:"Share of leaders that are told to end (SIGTERM)."`
	Seed        uint64        `default:"1" help:"Of the choices."`
	ReportEvery time.Duration `default:"1s" help:"Workers' report interval."`
	Lease       time.Duration `default:"15s" help:"Workers' lease."`
	RunTime     time.Duration `default:"2s" help:"Of a task, give or take a half."`
	OpenJobs    int           `default:"60" help:"Jobs that users keep open in a cluster."`
	MaxTasks    int           `default:"4" help:"Tasks of a job at the most."`
	Limit       time.Duration `default:"30m" help:"After which no further leader is ended."`
	Result      string        `help:"File for the result in JSON."`
	Page        string        `help:"File for the page with plots (HTML)."`
	Keep        string        `help:"Directory for the controllers' logs; else they are removed."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Kills leaders on loopback and measures the takeovers."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "failover:", err)
		os.Exit(1)
	}
}

// run runs all clusters, prints the result, and fails if a rule was broken.
func run(o options) error {
	directory := o.Keep
	if directory == "" {
		temporary, err := os.MkdirTemp("", "failover")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		directory = temporary
	}
	result := newResult(o)
	began := time.Now()
	var clusters sync.WaitGroup
	for i := range o.Clusters {
		kills := o.Kills / o.Clusters
		if i < o.Kills%o.Clusters {
			kills++
		}
		clusters.Go(func() {
			if err := runCluster(o, i, kills, filepath.Join(directory, fmt.Sprint("cluster-", i)), result, began); err != nil {
				result.fail(fmt.Sprintf("cluster %d: %v", i, err))
			}
		})
	}
	clusters.Wait()
	result.Took = time.Since(began).Round(time.Second).String()
	return result.finish(o)
}

// operatorText are the operators' settings of the controllers.
func operatorText(o options) string {
	if !o.Warm {
		return ""
	}
	return "standby { enabled: true }\n"
}

// runCluster runs one cluster until its leaders were ended so many times.
func runCluster(o options, number, kills int, directory string, result *result, began time.Time) error {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	cluster, err := emulator.StartCluster(emulator.ClusterOptions{
		Directory: directory, Controllers: o.Controllers, Machines: o.Machines,
		Timings:          emulator.Timings{Heartbeat: o.ReportEvery, Lease: o.Lease, RunTime: o.RunTime},
		OperatorSettings: operatorText(o),
		Command: func(settings, operatorSettings string) *exec.Cmd {
			command := emulator.Program(o.Binary)(settings, operatorSettings)
			command.Env = append(os.Environ(), "LOG_LEVEL=info")
			return command
		},
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	k := newKiller(o, uint64(number), cluster, result)
	k.run(kills, began)
	result.note(cluster.History)
	return nil
}
