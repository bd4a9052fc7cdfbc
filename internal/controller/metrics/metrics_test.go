package metrics

import (
	"regexp"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/goldentest"
)

// metricName matches the name and the labels in a metric's description.
var metricName = regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: (\{[^}]*\})`)

// The names of the metrics and of their labels must not change, since operators' dashboards and
// alerts depend on them.
func TestMetricNamesGolden(t *testing.T) {
	m := New()
	m.Standby.RegisterState(func() StandbyState { return StandbyState{} }) // registers the standby's gauges
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
