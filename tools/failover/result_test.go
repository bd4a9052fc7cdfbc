package main

import (
	"testing"
	"time"

	"gingertally/internal/loadtest"
)

// Takeovers above the objective are counted, and their share of all is computed. An empty histogram
// has the share 0.
func TestDistributionCountsAboveObjective(t *testing.T) {
	histogram := loadtest.NewHistogram()
	for _, d := range []time.Duration{time.Second, 2 * time.Second, objective - time.Millisecond, 2 * objective} {
		histogram.Observe(d)
	}
	d := distributionOf(histogram)
	if d.Count != 4 || d.AboveObjective != 1 || d.AboveObjectiveShare != 0.25 || d.Min != 1000 {
		t.Errorf("wrong distribution: %+v", d)
	}
	if empty := distributionOf(loadtest.NewHistogram()); empty.AboveObjectiveShare != 0 {
		t.Errorf("empty histogram: %+v", empty)
	}
}
