package controller

import (
	"testing"

	"gingertally/internal/admission"
	"gingertally/internal/agentapi"
	"gingertally/internal/codec"
	"gingertally/internal/controller/machinetypes"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/overload"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
	"gingertally/internal/goldentest"
	"gingertally/internal/leadership"
	"gingertally/internal/recovery"
	"gingertally/internal/standby"
	"gingertally/internal/userapi"
	"gingertally/internal/wire"
)

// The CBOR messages and paths that controllers, workers and clients use, and the admission policy and
// machine types that the leader stores, must not change.
func TestNodeMessagesGolden(t *testing.T) {
	var lines goldentest.Lines
	lines.Add("view %x", encodeView(goldentest.Filled[core.JobView]()))
	lines.Add("%s %x", overload.PolicyKey, codec.MustMarshal(goldentest.Filled[admission.Policy]()))
	lines.Add("counts %x", codec.MustMarshal(goldentest.Filled[admission.Batch]()))
	lines.Add("%s %x", machinetypes.Key, codec.MustMarshal(goldentest.Filled[wire.Flavors]()))
	lines.Add("refusal %x", codec.MustMarshal(goldentest.Filled[userapi.Refusal]()))
	for _, path := range []string{
		agentapi.HeartbeatPath, pingPath, extensionPath, overload.ExchangePath, operatorapi.DrainPreviewPath,
		operatorapi.StatusPath, viewPath, operatorapi.DrainsPath, userapi.RunsPath, userapi.CancelSuffix,
		healthPath, metricsPath, agentapi.DirectCommandsPath,
	} {
		lines.Add("path %s", path)
	}
	lines.Check(t, "node_messages.txt")
}

// addNames adds a line with the number and the name of each state from first to last.
func addNames[S interface {
	~uint8 | ~int
	String() string
}](lines *goldentest.Lines, what string, first, last S) {
	for s := first; s <= last; s++ {
		lines.Add("%s %d %s", what, s, s)
	}
}

// The names of states, phases and reasons that the status and the metrics show must not change.
func TestStateNamesGolden(t *testing.T) {
	var lines goldentest.Lines
	addNames(&lines, "machine", fleet.Booting, fleet.MachineStates-1)
	addNames(&lines, "drain phase", drain.Running, drain.Expired)
	addNames(&lines, "drained machine", drain.Planned, drain.Failed)
	addNames(&lines, "interruption", drain.Voluntary, drain.Involuntary)
	addNames(&lines, "role", leadership.Follower, leadership.Resigned)
	addNames(&lines, "standby", standby.CatchingUp, standby.SteppedDown)
	addNames(&lines, "takeover phase", standby.LastHeard, standby.FirstStart)
	addNames(&lines, "admission", admission.NotOverloaded, admission.Writes)
	addNames(&lines, "machine in recovery", recovery.Expected, recovery.Unknown)
	addNames(&lines, "recovery", recovery.Collecting, recovery.Normal)
	for _, reason := range recovery.Reasons() {
		lines.Add("finding %d %s", reason, reason)
	}
	for _, reason := range []string{
		core.ReasonTakeover, core.ReasonPause, core.ReasonFails, core.ReasonQuota, core.ReasonOldGang,
		core.ReasonRequested, core.ReasonRefused, core.ReasonNoCapacity,
	} {
		lines.Add("waiting: %s", reason)
	}
	lines.Check(t, "state_names.txt")
}
