// Package operator reads and checks the operators' own settings, a file in
// protobuf text format. Each setting has a default that works.
package operator

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/types/known/durationpb"

	"gingertally/internal/core"
	"gingertally/internal/operator/operatorpb"
)

// Settings are the operators' settings with defaults filled in.
type Settings struct {
	RestartLimit  int
	BatchInterval time.Duration
	RoundBudget   time.Duration
	Weights       core.Weights
	Standby       Standby
}

// Standby are the settings of the warm standby.
type Standby struct {
	Enabled          bool
	QueueBound       int           // changes that a leader keeps for controllers that are behind
	SnapshotInterval time.Duration // between two snapshots to one controller, at the least
	LogDirectory     string        // of the decision log; none if empty
	LogBytes         int64         // that the decision log may take
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		RestartLimit: 3, BatchInterval: 2 * time.Second, RoundBudget: 60 * time.Millisecond,
		Weights: core.DefaultWeights(),
		Standby: Standby{QueueBound: 4096, SnapshotInterval: 2 * time.Second, LogBytes: 64 << 20},
	}
}

// Load reads a file; an empty path stands for an empty file.
func Load(path string) (Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("operator settings: %w", err)
	}
	return parse(path, string(text))
}

// Bounds of the settings.
const (
	maxRestartLimit  = 1000
	minBatchInterval = 100 * time.Millisecond
	maxBatchInterval = time.Minute
	minRoundBudget   = time.Millisecond
	maxRoundBudget   = 5 * time.Second
	maxMoneyWeight   = 100  // of weights in seconds or dollars
	maxPlainWeight   = 1000 // of weights without a unit
	minQueueBound    = 64
	maxQueueBound    = 1_000_000
	minSnapshots     = 100 * time.Millisecond
	maxSnapshots     = time.Minute
	minLogBytes      = 1 << 20
	maxLogBytes      = 16 << 30
)

func parse(path, text string) (Settings, error) {
	var message operatorpb.Settings
	if err := prototext.Unmarshal([]byte(text), &message); err != nil {
		return Settings{}, locate(path, text, err)
	}
	settings := Default()
	c := checker{path: path, text: text}
	if message.RestartLimit != nil {
		settings.RestartLimit = int(c.number("restart_limit", float64(message.GetRestartLimit()), 0, maxRestartLimit))
	}
	c.duration("batch_interval", message.BatchInterval, &settings.BatchInterval, minBatchInterval, maxBatchInterval)
	c.duration("round_budget", message.RoundBudget, &settings.RoundBudget, minRoundBudget, maxRoundBudget)
	if weights := message.Weights; weights != nil {
		c.weight("seconds_per_dollar_hour", weights.SecondsPerDollarHour, &settings.Weights.SecondsPerDollarHour, maxMoneyWeight)
		c.weight("idle_dollars", weights.IdleDollars, &settings.Weights.IdleDollars, maxMoneyWeight)
		c.weight("move_gain", weights.MoveGain, &settings.Weights.MoveGain, maxPlainWeight)
		c.weight("small_first", weights.SmallFirst, &settings.Weights.SmallFirst, maxPlainWeight)
	}
	c.standby(message.Standby, &settings.Standby)
	return settings, c.err
}

// standby checks the settings of the warm standby and takes them over.
func (c *checker) standby(message *operatorpb.Standby, target *Standby) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	if message.QueueBound != nil {
		target.QueueBound = int(c.number("queue_bound", float64(message.GetQueueBound()), minQueueBound, maxQueueBound))
	}
	c.duration("snapshot_interval", message.SnapshotInterval, &target.SnapshotInterval, minSnapshots, maxSnapshots)
	if message.LogBytes != nil {
		target.LogBytes = int64(c.number("log_bytes", float64(message.GetLogBytes()), minLogBytes, maxLogBytes))
	}
	target.LogDirectory = message.GetLogDirectory()
	if target.LogDirectory == "" {
		return
	}
	if !target.Enabled {
		c.fail("log_directory", "needs enabled: true")
	}
	if info, err := os.Stat(target.LogDirectory); err != nil || !info.IsDir() {
		c.fail("log_directory", "%q is no directory", target.LogDirectory)
	}
}

var (
	position  = regexp.MustCompile(`\(line (\d+):\d+\): `)
	fieldName = regexp.MustCompile(`(\w+)\s*[:{]`)
)

// locate gives an error of the text format its file, line and field. The library
// mostly names the line, but not always the field, and varies its spaces.
func locate(path, text string, err error) error {
	reason := strings.Join(strings.Fields(strings.TrimPrefix(err.Error(), "proto:")), " ")
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	line := len(lines) // where a file ends too soon
	if match := position.FindStringSubmatch(reason); match != nil {
		if number, err := strconv.Atoi(match[1]); err == nil {
			line = number
		}
		reason = strings.Replace(reason, match[0], "", 1)
	}
	field := ""
	if names := fieldName.FindAllStringSubmatch(lines[min(line, len(lines))-1], -1); names != nil {
		field = names[len(names)-1][1] + ": "
	}
	return fmt.Errorf("%s:%d: %s%s", path, line, field, reason)
}

// checker checks values and keeps the first complaint, with file, line and field.
type checker struct {
	path, text string
	err        error
}

func (c *checker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s:%d: %s: %s", c.path, c.line(field), field, fmt.Sprintf(format, args...))
	}
}

// line finds where a field is set.
func (c *checker) line(field string) int {
	at := regexp.MustCompile(`(?m)(^|[^#\w])` + field + `\s*[:{]`).FindStringIndex(c.text)
	if at == nil {
		return 1
	}
	return 1 + strings.Count(c.text[:at[1]], "\n")
}

// number checks a value against its bounds, and returns it.
func (c *checker) number(field string, value, low, high float64) float64 {
	if math.IsNaN(value) || value < low || value > high {
		c.fail(field, "must be from %g to %g, is %g", low, high, value)
	}
	return value
}

// weight checks a weight and takes it over, if it is set.
func (c *checker) weight(field string, value *float64, target *float64, high float64) {
	if value != nil {
		*target = c.number(field, *value, 0, high)
	}
}

// duration checks a duration and takes it over, if it is set.
func (c *checker) duration(field string, value *durationpb.Duration, target *time.Duration, low, high time.Duration) {
	if value == nil {
		return
	}
	duration := value.AsDuration()
	if err := value.CheckValid(); err != nil || duration < low || duration > high {
		c.fail(field, "must be from %s to %s, is %s", low, high, duration)
	}
	*target = duration
}
