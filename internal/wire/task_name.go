package wire

import (
	"fmt"
	"strings"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
)

// maxTaskDigits is how long a task's number may be.
const maxTaskDigits = 9

// ParseTaskName splits a task's wire name.
func ParseTaskName(s string) (ref string, task int, err error) {
	ref, digits, ok := strings.Cut(s, "/")
	if !ok || !pipeline.ValidRef(ref) {
		return "", 0, fmt.Errorf("%w: task name %q", codec.ErrMalformed, s)
	}
	if task, ok = parseTaskNumber(digits); !ok {
		return "", 0, fmt.Errorf("%w: task name %q", codec.ErrMalformed, s)
	}
	return ref, task, nil
}

// parseTaskNumber reads a number without signs and leading zeros.
func parseTaskNumber(digits string) (number int, ok bool) {
	leadingZero := len(digits) > 1 && digits[0] == '0'
	if digits == "" || len(digits) > maxTaskDigits || leadingZero {
		return 0, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = number*10 + int(digit-'0')
	}
	return number, true
}
