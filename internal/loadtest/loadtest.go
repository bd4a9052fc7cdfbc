// Package loadtest holds what the measurement tools under tools/ share: parsing of the command line,
// running clusters of package emulator, putting load on them, and collecting results. Each tool adds
// its faults, its measurements and how it prints them.
//
// The tools' main functions call it. The methods that collect results may be called concurrently by
// the goroutines of several clusters.
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

// Options are the command-line options that the tools share. A tool embeds them in its own options.
type Options struct {
	Binary string `default:"target/gingertally" help:"The controller's program."`
	Seed   uint64 `default:"1" help:"Of the choices."`
	Page   string `help:"File for the page with plots (HTML)."`
}

// Main is the main function of a tool: it parses the command line into the options, runs the tool,
// and exits with code 1 on an error.
func Main[O any](name, description string, run func(O) error) {
	var options O
	kong.Parse(&options, kong.Description(description))
	if err := run(options); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// InDirectory calls a function with a directory for the controllers' settings and logs: keep, or, if
// keep is empty, a temporary directory that is removed afterwards.
func InDirectory(keep, name string, run func(directory string) error) error {
	if keep != "" {
		return run(keep)
	}
	directory, err := os.MkdirTemp("", name)
	if err != nil {
		return fmt.Errorf("create a directory for the clusters: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	return run(directory)
}

// ClusterRun is one cluster's part of a measurement in which several clusters run at the same time.
type ClusterRun struct {
	Number    int
	Directory string // the cluster's own
	Rounds    int    // the cluster's share of all rounds
}

// RunClusters divides the rounds among clusters, runs the clusters concurrently, and records their
// errors in the result.
func RunClusters(result *Result, clusters, rounds int, directory string, run func(ClusterRun) error) {
	var group sync.WaitGroup
	for i := range clusters {
		cluster := ClusterRun{
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

// share returns the i-th part of a total that is divided as evenly as possible into count parts.
func share(total, count, i int) int {
	part := total / count
	if i < total%count {
		part++
	}
	return part
}

// Load is a set of emulated users that are submitting jobs.
type Load struct {
	cancel context.CancelFunc
	users  sync.WaitGroup
}

// StartLoad starts the users. Once the load is stopped, they wait for up to the given time for their
// jobs to end.
func StartLoad(wait time.Duration, all ...*emulator.Users) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	load := &Load{cancel: cancel}
	for _, users := range all {
		load.users.Go(func() { users.Run(ctx, wait) })
	}
	return load
}

// Stop ends submissions, and waits until all jobs have ended or the users' wait has timed out. A
// repeated call has no effect.
func (l *Load) Stop() {
	l.cancel()
	l.users.Wait()
}

// jobEndTimeout is how long the users of RunRounds wait for their jobs to end after the last round.
const jobEndTimeout = 2 * time.Minute

// RunRounds runs the cluster's rounds one after the other under load. Rounds that would begin after
// the deadline are counted as not run. Finally it adds the cluster's history to the result.
func (c ClusterRun) RunRounds(
	result *Result, deadline time.Time, cluster *emulator.Cluster, users *emulator.Users, round func(),
) {
	load := StartLoad(jobEndTimeout, users)
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

// Random makes a tool's random choices, which are the same for the same seed and stream.
type Random struct{ *rand.Rand }

// NewRandom returns the random choices of a stream. Different streams of a seed make different
// choices.
func NewRandom(seed, stream uint64) Random { return Random{rand.New(rand.NewPCG(seed, stream))} }

// Between returns a random duration from low to high, both inclusive.
func (r Random) Between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
