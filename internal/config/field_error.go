package config

import (
	"fmt"
	"strings"
)

// FieldError says what is wrong with a file of settings, and where. It is the error of both formats:
// the platform's settings (this package) and the operators' own (package operator).
type FieldError struct {
	// File is the path of the file.
	File string
	// Line is the line in the file, counted from 1; 0 means that it isn't known.
	Line int
	// Field is the name of the setting; it is empty if the file as a whole can't be read.
	Field string
	// Problem says what is wrong.
	Problem string
	// Err is the cause, if it was an error.
	Err error
}

// Error is one line of the form FILE:LINE: FIELD: PROBLEM, without the parts that aren't known.
func (e *FieldError) Error() string {
	var text strings.Builder
	text.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Field != "" {
		text.WriteString(": " + e.Field)
	}
	text.WriteString(": " + e.Problem)
	return text.String()
}

// Unwrap returns the cause, which may be nil.
func (e *FieldError) Unwrap() error { return e.Err }
