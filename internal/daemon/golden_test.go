package daemon

import (
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/admission"
	"gingertally/internal/agentapi"
	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
	"gingertally/internal/goldentest"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/recovery"
	"gingertally/internal/standby"
	"gingertally/internal/userapi"
	"gingertally/internal/wire"
)

// What nodes say to each other beside protobuf messages, and what the leader stores beside jobs.
func TestNodeMessagesGolden(t *testing.T) {
	var lines goldentest.Lines
	lines.Add("view %x", encodeView(goldentest.Filled[core.JobView]()))
	lines.Add("%s %x", policyKey, codec.MustMarshal(goldentest.Filled[admission.Policy]()))
	lines.Add("counts %x", codec.MustMarshal(goldentest.Filled[admission.Batch]()))
	lines.Add("%s %x", catalogKey, codec.MustMarshal(goldentest.Filled[wire.Flavors]()))
	lines.Add("refusal %x", codec.MustMarshal(goldentest.Filled[userapi.Refusal]()))
	for _, path := range []string{heartbeatPath, pingPath, extensionPath, admissionPath, drainPreviewPath, StatusPath, viewPath, DrainsPath, runsPath, cancelVerb, healthPath, metricsPath, agentapi.OrdersPath} {
		lines.Add("path %s", path)
	}
	lines.Check(t, "node_messages.txt")
}

// The JSON that operators get.
func TestOperatorMessagesGolden(t *testing.T) {
	var lines goldentest.Lines
	for _, m := range []struct {
		name    string
		message any
	}{
		{"status", goldentest.Filled[Status]()},
		{"drain plan", goldentest.Filled[drain.Plan]()},
		{"drain preview", goldentest.Filled[drain.Preview]()},
		{"drain error", goldentest.Filled[drainError]()},
	} {
		text, err := json.MarshalIndent(m.message, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		lines.Add("%s %s", m.name, text)
	}
	for _, verb := range slices.Sorted(maps.Keys(drainVerbs)) {
		lines.Add("verb %s: %s", verb, drainVerbs[verb])
	}
	lines.Check(t, "operator_messages.txt")
}

// metricName finds the name and labels in a metric's description.
var metricName = regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: (\{[^}]*\})`)

// The names of all metrics and of their labels.
func TestMetricNamesGolden(t *testing.T) {
	m := newMetrics()
	newStandbyNode("node-1", operator.Standby{Enabled: true}, time.Second, m.standby) // registers its own
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

// addNames adds the names of states from the first one up to the last.
func addNames[S interface {
	~uint8 | ~int
	String() string
}](lines *goldentest.Lines, what string, first, last S) {
	for s := first; s <= last; s++ {
		lines.Add("%s %d %s", what, s, s)
	}
}

// The names of states, phases and reasons that the status and the metrics show.
func TestStateNamesGolden(t *testing.T) {
	var lines goldentest.Lines
	addNames(&lines, "machine", fleet.Booting, fleet.MachineStates-1)
	addNames(&lines, "drain phase", drain.Running, drain.Expired)
	addNames(&lines, "drained machine", drain.Planned, drain.Failed)
	addNames(&lines, "interruption", drain.Voluntary, drain.Involuntary)
	addNames(&lines, "role", leadership.Follower, leadership.Resting)
	addNames(&lines, "standby", standby.CatchingUp, standby.SteppedDown)
	addNames(&lines, "takeover phase", standby.LastHeard, standby.FirstStart)
	addNames(&lines, "admission", admission.NotOverloaded, admission.Writes)
	addNames(&lines, "machine in recovery", recovery.Expected, recovery.Unknown)
	addNames(&lines, "recovery", recovery.Collecting, recovery.Normal)
	for _, reason := range recovery.Reasons() {
		lines.Add("finding %d %s", reason, reason)
	}
	for _, reason := range []string{core.ReasonTakeover, core.ReasonPause, core.ReasonFails, core.ReasonQuota, core.ReasonOldGang, core.ReasonAsking, core.ReasonRefused, core.ReasonRoom} {
		lines.Add("waiting: %s", reason)
	}
	lines.Check(t, "state_names.txt")
}
