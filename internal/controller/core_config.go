package controller

import (
	"context"
	"log/slog"
	"time"

	"gingertally/internal/config"
	"gingertally/internal/controller/limits"
	"gingertally/internal/core"
	"gingertally/internal/core/placement"
	"gingertally/internal/operator"
)

// maxRoundSteps limits the jobs considered plus the tasks placed in one pass of a round of decisions.
const maxRoundSteps = 2000

// coreConfig returns the engine's configuration for a deployment and its operators' settings.
func coreConfig(settings *config.Settings, operatorSettings operator.Settings) core.Config {
	params := &settings.Deployment
	shares := limits.New(settings)
	c := core.Config{
		Teams:             map[string]placement.Quota{},
		Objectives:        objectives(params.Objectives),
		HeartbeatInterval: params.Workers.HeartbeatInterval.Duration(),
		Lease:             params.Workers.Lease.Duration(),
		CancelWithin:      params.Workers.Cancel.Duration(),
		GangWait:          params.Workers.GangWait.Duration(),
		InstanceListLag:   params.Cloud.ListLag.Duration(),
		RestartLimit:      operatorSettings.RestartLimit,
		ProgressInterval:  operatorSettings.ProgressInterval,
		Weights:           operatorSettings.Weights,
		Pace:              operatorSettings.Recovery,
		Admission:         operatorSettings.Admission.Enabled,
		MaxValueBytes:     shares.MaxValueBytes(),
		WritesPerSecond:   shares.Leader().Writes,
		MaxRoundSteps:     maxRoundSteps,
		Drain:             operatorSettings.Draining.Policy(time.Duration(params.SkewMS * float64(time.Millisecond))),
		Debug:             slog.Default().Enabled(context.Background(), slog.LevelDebug),
	}
	for _, team := range params.Teams {
		c.Teams[team.Name] = placement.Quota{GuaranteedCPUs: team.GuaranteedCPUs, GuaranteedGPUs: team.GuaranteedGPUs,
			CPULimit: team.CPULimit, GPULimit: team.GPULimit}
	}
	return c
}

// objectiveKinds maps the names of objective kinds in the settings to the core's kinds.
var objectiveKinds = map[string]core.ObjectiveKind{
	"wait": core.StartObjective, "finished": core.FinishObjective, "deadline": core.DeadlineObjective,
}

// objectives returns the service-level objectives by class of jobs. Objectives of unknown kinds are
// ignored.
func objectives(settings []config.Objective) map[string][]core.Objective {
	byClass := map[string][]core.Objective{}
	for _, objective := range settings {
		kind, known := objectiveKinds[objective.Kind]
		if !known {
			continue
		}
		times := objective.Times
		if times <= 0 {
			times = 1
		}
		byClass[objective.Class] = append(byClass[objective.Class], core.Objective{
			Kind:   kind,
			Within: objective.Within.Duration(),
			Times:  times,
		})
	}
	return byClass
}
