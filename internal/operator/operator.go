// Package operator reads and checks the operators' own settings, a file in protobuf text format that
// operatorpb/settings.proto describes. Each setting has a default that works, and each has its bounds. A
// file that isn't understood in full is refused with a *config.FieldError, which names file, line and
// field: a setting that is misspelt mustn't be ignored.
//
// The command calls Load once, before anything else runs; afterwards the settings aren't changed and may
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

// Settings are the operators' settings with defaults filled in.
type Settings struct {
	RestartLimit  int
	BatchInterval time.Duration
	RoundBudget   time.Duration
	Weights       core.Weights
	Standby       Standby
	Admission     Admission
	Recovery      recovery.PaceOptions
	Draining      Draining
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		RestartLimit:  3,
		BatchInterval: 2 * time.Second,
		RoundBudget:   60 * time.Millisecond,
		Weights:       core.DefaultWeights(),
		Standby:       Standby{QueueBound: 4096, SnapshotInterval: 2 * time.Second, LogBytes: 64 << 20},
		Admission: Admission{
			Floor: 0.02, EnterBacklog: 2 * time.Minute, ExitBacklog: time.Minute, PolicyAge: 15 * time.Second,
		},
		Recovery: recovery.PaceOptions{Initial: 10, Highest: 500},
		Draining: Draining{FinishWait: 5 * time.Minute},
	}
}

// Load reads and checks a file; an empty path stands for an empty file. Teams are those of the platform's
// settings, the only ones that may be named. If the file can be read, the error is a *config.FieldError.
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

// Bounds of the settings that belong to no section.
const (
	maxRestartLimit  = 1000
	minBatchInterval = 100 * time.Millisecond
	maxBatchInterval = time.Minute
	minRoundBudget   = time.Millisecond
	maxRoundBudget   = 5 * time.Second
	maxMoneyWeight   = 100  // of weights in seconds or dollars
	maxPlainWeight   = 1000 // of weights without a unit
)

// parse reads and checks the text of a file.
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
	c.duration("batch_interval", message.BatchInterval, &settings.BatchInterval, minBatchInterval, maxBatchInterval)
	c.duration("round_budget", message.RoundBudget, &settings.RoundBudget, minRoundBudget, maxRoundBudget)
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

// weights checks the weights of placement and sets those that the file has.
func (c *checker) weights(message *operatorpb.Weights, target *core.Weights) {
	if message == nil {
		return
	}
	c.weight("seconds_per_dollar_hour", message.SecondsPerDollarHour, &target.SecondsPerDollarHour, maxMoneyWeight)
	c.weight("idle_dollars", message.IdleDollars, &target.IdleDollars, maxMoneyWeight)
	c.weight("move_gain", message.MoveGain, &target.MoveGain, maxPlainWeight)
	c.weight("small_first", message.SmallFirst, &target.SmallFirst, maxPlainWeight)
}

// weight checks a weight and sets the target, if the weight is set.
func (c *checker) weight(field string, value, target *float64, high float64) {
	if value != nil {
		*target = c.number(field, *value, 0, high)
	}
}
