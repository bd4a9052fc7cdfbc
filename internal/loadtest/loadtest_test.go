package loadtest

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// All rounds are run, even if their number isn't a multiple of the number of clusters. Otherwise a
// measurement would claim more rounds than it ran.
func TestRunClustersDividesAllRounds(t *testing.T) {
	for _, c := range []struct{ rounds, clusters int }{{10, 4}, {3, 4}, {8, 4}, {1, 1}} {
		var mu sync.Mutex
		rounds, directories := 0, map[string]bool{}
		result := NewResult()
		RunClusters(result, c.clusters, c.rounds, t.TempDir(), func(cluster ClusterRun) error {
			mu.Lock()
			defer mu.Unlock()
			rounds += cluster.Rounds
			directories[cluster.Directory] = true
			_, err := os.Stat(cluster.Directory)
			return err
		})
		if rounds != c.rounds || len(directories) != c.clusters || result.Err() != nil {
			t.Errorf("%+v: %d rounds in %d directories, failures %v", c, rounds, len(directories), result.Failures)
		}
	}
}

// A cluster that fails makes the tool fail. Otherwise a measurement without that cluster would look
// like a complete one.
func TestRunClustersNotesErrors(t *testing.T) {
	result := NewResult()
	RunClusters(result, 2, 2, t.TempDir(), func(c ClusterRun) error {
		if c.Number == 1 {
			return errors.New("no port")
		}
		return nil
	})
	if !errors.Is(result.Err(), ErrRulesBroken) || len(result.Failures) != 1 || result.Failures[0] != "cluster 1: no port" {
		t.Errorf("wrong failures: %v", result.Failures)
	}
}

// A temporary directory is removed; a directory that the caller wants to keep is not.
func TestInDirectory(t *testing.T) {
	keep := t.TempDir()
	for _, kept := range []string{"", keep} {
		used := ""
		err := InDirectory(kept, "loadtest", func(directory string) error {
			used = directory
			return os.WriteFile(filepath.Join(directory, "log"), nil, 0o600)
		})
		_, statErr := os.Stat(filepath.Join(used, "log"))
		if err != nil || (statErr == nil) != (kept != "") {
			t.Errorf("keep %q: run: %v, file afterwards: %v", kept, err, statErr)
		}
	}
}

// Values outside a histogram's bounds are recorded as the nearest bound, so that a takeover that took
// too long isn't lost.
func TestHistogramKeepsOutliers(t *testing.T) {
	result := NewResult()
	result.Observe("takeover", 0)
	result.Observe("takeover", 20*time.Millisecond)
	result.Observe("takeover", 30*time.Hour)
	histogram := result.Histograms["takeover"]
	if histogram.TotalCount() != 3 || histogram.Quantile(50) != 20*time.Millisecond || histogram.Quantile(100) < time.Hour {
		t.Errorf("%d values, median %s, maximum %s", histogram.TotalCount(), histogram.Quantile(50), histogram.Quantile(100))
	}
}
