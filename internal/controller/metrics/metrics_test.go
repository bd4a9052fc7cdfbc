package metrics

import (
	"regexp"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/goldentest"
)

// metricName finds the name and labels in a metric's description.
var metricName = regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: (\{[^}]*\})`)

// Operators' dashboards and alerts hang on the names of all metrics and of their labels.
func TestMetricNamesGolden(t *testing.T) {
	m := New()
	m.Standby.Watch(func() StandbyState { return StandbyState{} }) // registers its own
	descriptions := make(chan *prometheus.Desc)
	go func() {
		m.registry.Describe(descriptions)
		close(descriptions)
	}()
	var names []string
	for d := range descriptions {
		found := metricName.FindStringSubmatch(d.String())
		if found == nil {
			t.Fatalf("no name in %s", d)
		}
		names = append(names, found[1]+" "+found[2])
	}
	slices.Sort(names)
	var lines goldentest.Lines
	for _, name := range names {
		lines.Add("%s", name)
	}
	lines.Check(t, "metrics.txt")
}
