// Package operator reads and checks the operators' own settings, a file in
// protobuf text format. Each setting has a default that works.
package operator

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/types/known/durationpb"

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

// Admission are the settings of admission control.
type Admission struct {
	Enabled      bool
	Weights      map[string]float64 // by team; those that aren't named weigh 1
	Floor        float64            // part of the capacity that each class is left at the least
	EnterBacklog time.Duration      // that the machines need for what waits when overload begins
	ExitBacklog  time.Duration      // and when it ends
	PolicyAge    time.Duration      // after which a policy without news isn't relied on
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
		Weights:   core.DefaultWeights(),
		Standby:   Standby{QueueBound: 4096, SnapshotInterval: 2 * time.Second, LogBytes: 64 << 20},
		Recovery:  recovery.PaceOptions{Initial: 10, Highest: 500},
		Draining:  Draining{FinishWait: 5 * time.Minute},
		Admission: Admission{Floor: 0.02, EnterBacklog: 2 * time.Minute, ExitBacklog: time.Minute, PolicyAge: 15 * time.Second},
	}
}

// Load reads a file; an empty path stands for an empty file. Teams are those of the platform's
// settings, the only ones that may be named.
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
	minTeamWeight    = 0.01
	maxTeamWeight    = 1000
	maxFloor         = 0.5
	minBacklog       = time.Second
	maxBacklog       = 24 * time.Hour
	minPolicyAge     = 3 * time.Second
	maxPolicyAge     = 10 * time.Minute
	minPace          = 1
	maxPace          = 100_000
)

func parse(path, text string, teams []string) (Settings, error) {
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
	c.admission(message.Admission, &settings.Admission, teams)
	c.recovery(message.Recovery, &settings.Recovery)
	c.draining(message.Draining, &settings.Draining, teams)
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

// admission checks the settings of admission control and takes them over.
func (c *checker) admission(message *operatorpb.Admission, target *Admission, teams []string) {
	if message == nil {
		return
	}
	target.Enabled = message.GetEnabled()
	if message.Floor != nil {
		target.Floor = c.number("floor", message.GetFloor(), 0, maxFloor)
	}
	c.duration("enter_backlog", message.EnterBacklog, &target.EnterBacklog, minBacklog, maxBacklog)
	c.duration("exit_backlog", message.ExitBacklog, &target.ExitBacklog, minBacklog, maxBacklog)
	c.duration("policy_age", message.PolicyAge, &target.PolicyAge, minPolicyAge, maxPolicyAge)
	if target.ExitBacklog >= target.EnterBacklog {
		c.fail("exit_backlog", "must be less than enter_backlog, %s, is %s", target.EnterBacklog, target.ExitBacklog)
	}
	for _, w := range message.Weights {
		c.teamWeight(w, target, teams)
	}
}

// teamWeight checks the weight of one team and takes it over.
func (c *checker) teamWeight(w *operatorpb.TeamWeight, target *Admission, teams []string) {
	team := w.GetTeam()
	switch _, twice := target.Weights[team]; {
	case !slices.Contains(teams, team):
		c.failAt(c.lineOf(strconv.Quote(team), "weights"), "weights", "unknown team %q", team)
		return
	case twice:
		c.failAt(c.lineOf(strconv.Quote(team), "weights"), "weights", "team %q twice", team)
		return
	case w.Weight == nil || math.IsNaN(w.GetWeight()) || w.GetWeight() < minTeamWeight || w.GetWeight() > maxTeamWeight:
		c.failAt(c.lineOf(strconv.Quote(team), "weights"), "weight", "of team %q must be from %g to %g", team, minTeamWeight, float64(maxTeamWeight))
		return
	}
	if target.Weights == nil {
		target.Weights = map[string]float64{}
	}
	target.Weights[team] = w.GetWeight()
}

// lineOf finds where a text stands, or else where a field is set.
func (c *checker) lineOf(text, field string) int {
	if at := strings.LastIndex(c.text, text); at >= 0 {
		return 1 + strings.Count(c.text[:at], "\n")
	}
	return c.line(field)
}

func (c *checker) failAt(line int, field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s:%d: %s: %s", c.path, line, field, fmt.Sprintf(format, args...))
	}
}

// recovery checks the settings of the pace of orders and takes them over.
func (c *checker) recovery(message *operatorpb.Recovery, target *recovery.PaceOptions) {
	if message == nil {
		return
	}
	target.Enabled = message.GetPaced()
	if message.InitialPace != nil {
		target.Initial = c.number("initial_pace", message.GetInitialPace(), minPace, maxPace)
	}
	if message.HighestPace != nil {
		target.Highest = c.number("highest_pace", message.GetHighestPace(), minPace, maxPace)
	}
	if target.Initial >= target.Highest {
		c.fail("highest_pace", "must be more than initial_pace, %g, is %g", target.Initial, target.Highest)
	}
}
