// Package loadtest is what the measurements under tools/ share: their command line, the clusters of package
// emulator that they run, load on them, and the collection of results. A tool adds its faults, what it measures,
// and how it prints that.
//
// The tools' main functions call it; what collects results may be called from the goroutines of several clusters
// at once.
package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"gingertally/internal/emulator"
)

// Options are the options that all tools have. A tool embeds them in its own.
type Options struct {
	Binary string `default:"target/gingertally" help:"The controller's program."`
	Seed   uint64 `default:"1" help:"Of the choices."`
	Page   string `help:"File for the page with plots (HTML)."`
}

// Main is the main function of a tool: it reads the command line into the options, runs the tool, and ends the
// process with code 1 on an error.
func Main[O any](name, description string, run func(O) error) {
	var options O
	kong.Parse(&options, kong.Description(description))
	if err := run(options); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// InDirectory runs a function with a directory for the controllers' settings and logs: keep, or if that is empty
// a temporary one, which is removed afterwards.
func InDirectory(keep, name string, run func(directory string) error) error {
	if keep != "" {
		return run(keep)
	}
	directory, err := os.MkdirTemp("", name)
	if err != nil {
		return fmt.Errorf("make a directory for the clusters: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	return run(directory)
}

// Cluster is the part of one of several clusters that run at the same time.
type Cluster struct {
	Number    int
	Directory string // of its own
	Rounds    int    // its share of all rounds
}

// RunClusters divides rounds among clusters, runs these at the same time, and notes their errors in the result.
func RunClusters(result *Result, clusters, rounds int, directory string, run func(Cluster) error) {
	var group sync.WaitGroup
	for i := range clusters {
		cluster := Cluster{
			Number: i, Directory: filepath.Join(directory, fmt.Sprint("cluster-", i)),
			Rounds: share(rounds, clusters, i),
		}
		group.Go(func() {
			err := os.MkdirAll(cluster.Directory, 0o700)
			if err == nil {
				err = run(cluster)
			}
			if err != nil {
				result.Fail("cluster %d: %v", i, err)
			}
		})
	}
	group.Wait()
}

// share is the part of a total that the i-th of count gets.
func share(total, count, i int) int {
	part := total / count
	if i < total%count {
		part++
	}
	return part
}

// Load is users at work.
type Load struct {
	cancel context.CancelFunc
	users  sync.WaitGroup
}

// StartLoad starts users. After the load's stop they wait so long for their jobs' ends.
func StartLoad(wait time.Duration, all ...*emulator.Users) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	load := &Load{cancel: cancel}
	for _, users := range all {
		load.users.Go(func() { users.Run(ctx, wait) })
	}
	return load
}

// Stop ends submissions, and waits until all jobs are over or the users have waited for long enough. A repeated
// call does nothing.
func (l *Load) Stop() {
	l.cancel()
	l.users.Wait()
}

// loadWait is how long the users of RunRounds wait for the ends of their jobs.
const loadWait = 2 * time.Minute

// RunRounds runs the cluster's rounds under load, one after the other; those that would begin after the deadline
// are counted as not run. Then it takes the history into the result.
func (c Cluster) RunRounds(
	result *Result, deadline time.Time, cluster *emulator.Cluster, users *emulator.Users, round func(),
) {
	load := StartLoad(loadWait, users)
	for range c.Rounds {
		if time.Now().After(deadline) {
			result.Count("not run: the time limit", 1)
			continue
		}
		round()
	}
	load.Stop()
	result.AddHistory(cluster.History)
}

// Random makes a tool's choices, the same for the same seed and stream.
type Random struct{ *rand.Rand }

// NewRandom makes the choices of one of several streams.
func NewRandom(seed, stream uint64) Random { return Random{rand.New(rand.NewPCG(seed, stream))} }

// Between is a time from low to high.
func (r Random) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
