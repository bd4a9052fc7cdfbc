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

// checker validates the values of a settings file. It records the first problem and ignores later ones,
// so that callers can check field after field without testing for an error in between.
type checker struct {
	path, text string   // of the file
	teams      []string // that the file may name
	err        *config.FieldError
}

// fail records a problem with a field, on the first line that sets the field.
func (c *checker) fail(field, format string, args ...any) {
	c.failAt(c.fieldLine(field), field, format, args...)
}

// failAt records a problem with a field on the given line (0: unknown), unless there is an earlier one.
func (c *checker) failAt(line int, field, format string, args ...any) {
	if c.err == nil {
		c.err = &config.FieldError{File: c.path, Line: line, Field: field, Problem: fmt.Sprintf(format, args...)}
	}
}

// fieldLine returns the first line on which a field of this name is set, 0 if there is none. It doesn't
// tell apart fields of the same name in different messages.
func (c *checker) fieldLine(field string) int {
	at := regexp.MustCompile(`(?m)(^|[^#\w])` + field + `\s*[:{]`).FindStringIndex(c.text)
	if at == nil {
		return 0
	}
	return 1 + strings.Count(c.text[:at[1]], "\n")
}

// valueLine returns the last line that contains the value in quotes; if there is none, the first one on
// which the field is set.
func (c *checker) valueLine(value, field string) int {
	if at := strings.LastIndex(c.text, strconv.Quote(value)); at >= 0 {
		return 1 + strings.Count(c.text[:at], "\n")
	}
	return c.fieldLine(field)
}

// number fails unless a value is within its bounds, and returns the value in any case.
func (c *checker) number(field string, value, low, high float64) float64 {
	if math.IsNaN(value) || value < low || value > high {
		c.fail(field, "must be from %g to %g, is %g", low, high, value)
	}
	return value
}

// duration checks a duration against its bounds and stores it in target, unless value is nil.
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

// decodeError converts an error of the prototext decoder to a FieldError. The decoder usually names the
// line, not always the field, and varies the spaces in its messages on purpose. The field is taken to be
// the last one that the line sets.
func decodeError(path, text string, err error) *config.FieldError {
	problem := strings.Join(strings.Fields(strings.TrimPrefix(err.Error(), "proto:")), " ")
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	line := len(lines) // an unexpected end of the file is reported without a line
	if match := positionInError.FindStringSubmatch(problem); match != nil {
		if number, err := strconv.Atoi(match[1]); err == nil {
			line = number
		}
		problem = strings.Replace(problem, match[0], "", 1)
	}
	fieldErr := &config.FieldError{File: path, Line: line, Problem: problem, Err: err}
	if names := fieldName.FindAllStringSubmatch(lines[min(line, len(lines))-1], -1); names != nil {
		fieldErr.Field = names[len(names)-1][1]
	}
	return fieldErr
}
