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
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{RestartLimit: 3, BatchInterval: 2 * time.Second, RoundBudget: 60 * time.Millisecond, Weights: core.DefaultWeights()}
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

func parse(path, text string) (Settings, error) {
	var p operatorpb.Settings
	if err := prototext.Unmarshal([]byte(text), &p); err != nil {
		return Settings{}, placed(path, text, err)
	}
	s := Default()
	c := checker{path: path, text: text}
	if p.RestartLimit != nil {
		s.RestartLimit = int(c.number("restart_limit", float64(p.GetRestartLimit()), 0, 1000))
	}
	c.duration("batch_interval", p.BatchInterval, &s.BatchInterval, 100*time.Millisecond, time.Minute)
	c.duration("round_budget", p.RoundBudget, &s.RoundBudget, time.Millisecond, 5*time.Second)
	if w := p.Weights; w != nil {
		c.weight("seconds_per_dollar_hour", w.SecondsPerDollarHour, &s.Weights.SecondsPerDollarHour, 100)
		c.weight("idle_dollars", w.IdleDollars, &s.Weights.IdleDollars, 100)
		c.weight("move_gain", w.MoveGain, &s.Weights.MoveGain, 1000)
		c.weight("small_first", w.SmallFirst, &s.Weights.SmallFirst, 1000)
	}
	return s, c.err
}

var (
	position  = regexp.MustCompile(`\(line (\d+):\d+\): `)
	fieldName = regexp.MustCompile(`(\w+)\s*[:{]`)
)

// placed gives an error of the text format file, line and field. The library
// mostly names the line, but not always the field, and varies its spaces.
func placed(path, text string, err error) error {
	msg := strings.Join(strings.Fields(strings.TrimPrefix(err.Error(), "proto:")), " ")
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	line := len(lines) // where a file ends too soon
	if m := position.FindStringSubmatch(msg); m != nil {
		line, _ = strconv.Atoi(m[1])
		msg = strings.Replace(msg, m[0], "", 1)
	}
	field := ""
	if m := fieldName.FindAllStringSubmatch(lines[min(line, len(lines))-1], -1); m != nil {
		field = m[len(m)-1][1] + ": "
	}
	return fmt.Errorf("%s:%d: %s%s", path, line, field, msg)
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

func (c *checker) number(field string, v, least, most float64) float64 {
	if math.IsNaN(v) || v < least || v > most {
		c.fail(field, "must be from %g to %g, is %g", least, most, v)
	}
	return v
}

func (c *checker) weight(field string, v *float64, to *float64, most float64) {
	if v != nil {
		*to = c.number(field, *v, 0, most)
	}
}

func (c *checker) duration(field string, v *durationpb.Duration, to *time.Duration, least, most time.Duration) {
	if v == nil {
		return
	}
	if err := v.CheckValid(); err != nil || v.AsDuration() < least || v.AsDuration() > most {
		c.fail(field, "must be from %s to %s, is %s", least, most, v.AsDuration())
	}
	*to = v.AsDuration()
}
