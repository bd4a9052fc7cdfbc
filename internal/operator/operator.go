// Package operator reads and validates the operators' settings, a file in protobuf text format whose
// schema is operatorpb/settings.proto. Every setting has a default, and numbers and durations have bounds.
// A file with unknown fields or invalid values is refused with a *config.FieldError, which names the
// file and, where known, line and field: a misspelt setting must not be ignored.
//
// The command calls Load once, before anything else runs. After that the settings don't change and may
// be read from any goroutine.
package operator

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"gingertally/internal/core"
	"gingertally/internal/operator/operatorpb"
	"gingertally/internal/recovery"
)

// Settings holds the operators' settings; those that the file doesn't set have their defaults.
type Settings struct {
	RestartLimit     int           // failures after which a task is retried less often
	ProgressInterval time.Duration // how often the progress of unfinished jobs is written
	RoundTime        time.Duration // time limit of one pass of a round of decisions
	Weights          core.Weights
	Standby          Standby
	Admission        Admission
	Recovery         recovery.PaceOptions
	Draining         Draining
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		RestartLimit:     3,
		ProgressInterval: 2 * time.Second,
		RoundTime:        60 * time.Millisecond,
		Weights:          core.DefaultWeights(),
		Standby:          Standby{QueueBound: 4096, SnapshotInterval: 2 * time.Second, LogBytes: 64 << 20},
		Admission: Admission{
			Floor: 0.02, EnterBacklog: 2 * time.Minute, ExitBacklog: time.Minute, PolicyAge: 15 * time.Second,
		},
		Recovery: recovery.PaceOptions{Initial: 10, Highest: 500},
		Draining: Draining{FinishWait: 5 * time.Minute},
	}
}

// Load reads and validates a settings file; an empty path stands for an empty file. The file may name
// only the given teams, which are those of the platform's settings. If the file can be read, any error
// is a *config.FieldError.
func Load(path string, teams []string) (Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("operator settings: %w", err)
	}
	return parse(path, string(text), teams)
}

// Bounds of the top-level settings and of the weights of placement.
const (
	maxRestartLimit   = 1000
	minBatchInterval  = 100 * time.Millisecond
	maxBatchInterval  = time.Minute
	minRoundBudget    = time.Millisecond
	maxRoundBudget    = 5 * time.Second
	maxMoneyWeight    = 100  // of weights that involve dollars
	maxUnitlessWeight = 1000 // of factors
)

// parse decodes and validates the text of a settings file.
func parse(path, text string, teams []string) (Settings, error) {
	var message operatorpb.Settings
	if err := prototext.Unmarshal([]byte(text), &message); err != nil {
		return Settings{}, decodeError(path, text, err)
	}
	settings := Default()
	c := checker{path: path, text: text, teams: teams}
	if message.RestartLimit != nil {
		settings.RestartLimit = int(c.number("restart_limit", float64(message.GetRestartLimit()), 0, maxRestartLimit))
	}
	c.duration("batch_interval", message.BatchInterval, &settings.ProgressInterval, minBatchInterval, maxBatchInterval)
	c.duration("round_budget", message.RoundBudget, &settings.RoundTime, minRoundBudget, maxRoundBudget)
	c.weights(message.Weights, &settings.Weights)
	c.standby(message.Standby, &settings.Standby)
	c.admission(message.Admission, &settings.Admission)
	c.recovery(message.Recovery, &settings.Recovery)
	c.draining(message.Draining, &settings.Draining)
	if c.err != nil {
		return settings, c.err
	}
	return settings, nil
}

// weights validates the weights of placement and sets those that the file has.
func (c *checker) weights(message *operatorpb.Weights, target *core.Weights) {
	if message == nil {
		return
	}
	c.weight("seconds_per_dollar_hour", message.SecondsPerDollarHour, &target.SecondsPerDollarHour, maxMoneyWeight)
	c.weight("idle_dollars", message.IdleDollars, &target.IdleDollars, maxMoneyWeight)
	c.weight("move_gain", message.MoveGain, &target.MoveGain, maxUnitlessWeight)
	c.weight("small_first", message.SmallFirst, &target.SmallFirst, maxUnitlessWeight)
}

// weight validates a weight and stores it in target, unless it is nil.
func (c *checker) weight(field string, value, target *float64, high float64) {
	if value != nil {
		*target = c.number(field, *value, 0, high)
	}
}
