package config

import (
	"fmt"
	"strings"
)

// FieldError describes a problem in a settings file, and where it is. It serves both formats: the
// platform's settings (this package) and the operators' settings (package operator).
type FieldError struct {
	// File is the path of the file.
	File string
	// Line is the line number, counted from 1; 0 means unknown.
	Line int
	// Field is the name of the setting; empty if the problem can't be assigned to one, as in malformed
	// text.
	Field string
	// Problem describes what is wrong.
	Problem string
	// Err is the decoder's error that caused this one; nil if a value failed its check.
	Err error
}

// Error returns one line of the form FILE:LINE: FIELD: PROBLEM, without the parts that aren't known.
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

// Unwrap returns Err, which may be nil.
func (e *FieldError) Unwrap() error { return e.Err }
