package operator

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"gingertally/internal/config"
)

// checker checks the values of a file and keeps the first thing that is wrong, so that checking needs no
// branch after each field. Teams are those that may be named.
type checker struct {
	path, text string
	teams      []string
	err        *config.FieldError
}

// fail says what is wrong with a field.
func (c *checker) fail(field, format string, args ...any) {
	c.failAt(c.line(field), field, format, args...)
}

// failAt says what is wrong with a field on a line, 0 for unknown.
func (c *checker) failAt(line int, field, format string, args ...any) {
	if c.err == nil {
		c.err = &config.FieldError{File: c.path, Line: line, Field: field, Problem: fmt.Sprintf(format, args...)}
	}
}

// line finds the first line on which a field is set; 0 if it isn't.
func (c *checker) line(field string) int {
	at := regexp.MustCompile(`(?m)(^|[^#\w])` + field + `\s*[:{]`).FindStringIndex(c.text)
	if at == nil {
		return 0
	}
	return 1 + strings.Count(c.text[:at[1]], "\n")
}

// lineOf finds the last line that has a value in quotes, or else the first on which a field is set.
func (c *checker) lineOf(value, field string) int {
	if at := strings.LastIndex(c.text, strconv.Quote(value)); at >= 0 {
		return 1 + strings.Count(c.text[:at], "\n")
	}
	return c.line(field)
}

// number checks a value against its bounds, and returns it.
func (c *checker) number(field string, value, low, high float64) float64 {
	if math.IsNaN(value) || value < low || value > high {
		c.fail(field, "must be from %g to %g, is %g", low, high, value)
	}
	return value
}

// duration checks a duration and sets the target, if the duration is set.
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

var (
	positionInError = regexp.MustCompile(`\(line (\d+):\d+\): `)
	fieldName       = regexp.MustCompile(`(\w+)\s*[:{]`)
)

// decodeError gives an error of the text format its file, line and field. The library mostly names the
// line, but not always the field, and varies its spaces.
func decodeError(path, text string, err error) *config.FieldError {
	problem := strings.Join(strings.Fields(strings.TrimPrefix(err.Error(), "proto:")), " ")
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	line := len(lines) // where a file ends too soon
	if match := positionInError.FindStringSubmatch(problem); match != nil {
		if number, err := strconv.Atoi(match[1]); err == nil {
			line = number
		}
		problem = strings.Replace(problem, match[0], "", 1)
	}
	failed := &config.FieldError{File: path, Line: line, Problem: problem, Err: err}
	if names := fieldName.FindAllStringSubmatch(lines[min(line, len(lines))-1], -1); names != nil {
		failed.Field = names[len(names)-1][1]
	}
	return failed
}
