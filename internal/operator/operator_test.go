package operator

import (
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	s, err := parse("op.txt", "restart_limit: 5\nbatch_interval { seconds: 3 }\nweights { idle_dollars: 0.2 } # more\n")
	want := Default()
	want.RestartLimit, want.BatchInterval, want.Weights.IdleDollars = 5, 3*time.Second, 0.2
	if err != nil || s != want {
		t.Fatalf("%+v, %v", s, err)
	}
	if s, err := parse("op.txt", ""); err != nil || s != Default() {
		t.Fatalf("an empty file: %+v, %v", s, err)
	}
}

// A file that isn't understood in full is refused, with file, line and field.
func TestRefused(t *testing.T) {
	for _, c := range []struct{ name, text, file, line, field string }{
		{"unknown field", "restart_limit: 3\nrestart_limits: 4\n", "op.txt", "2", "restart_limits"},
		{"wrong type", "restart_limit: \"many\"\n", "op.txt", "1", "restart_limit"},
		{"out of range", "# settings\n\nround_budget { seconds: 60 }\n", "op.txt:3:", "3", "round_budget"},
		{"negative weight", "weights {\n  idle_dollars: 1\n  move_gain: -1\n}\n", "op.txt:3:", "3", "move_gain"},
		{"not a number", "weights { small_first: nan }", "op.txt:1:", "1", "small_first"},
		{"not closed", "weights { idle_dollars: 1", "op.txt", "1", ""},
	} {
		_, err := parse("op.txt", c.text)
		if err == nil {
			t.Errorf("%s: accepted", c.name)
			continue
		}
		for _, part := range []string{c.file, c.line, c.field} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: %q doesn't say %q", c.name, err, part)
			}
		}
	}
}
