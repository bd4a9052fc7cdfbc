package operator

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"gingertally/internal/config"
)

// testTeams are the teams that the files under test may name.
var testTeams = []string{"red", "blue"}

// refusal is the text of a file that must be refused, and a part of the error that says why.
type refusal struct{ text, part string }

// checkRefused checks that each file is refused with a FieldError that names the file and contains the
// given part.
func checkRefused(t *testing.T, refusals []refusal) {
	t.Helper()
	for _, r := range refusals {
		_, err := parse("op.txt", r.text, testTeams)
		var fieldErr *config.FieldError
		if !errors.As(err, &fieldErr) || fieldErr.File != "op.txt" || !strings.Contains(err.Error(), r.part) {
			t.Errorf("%s: error %v, want one that contains %q", r.text, err, r.part)
		}
	}
}

// Settings that a file doesn't contain keep their defaults. A default that changed along with another
// setting would change the decisions of every controller unnoticed.
func TestParse(t *testing.T) {
	s, err := parse("op.txt", "restart_limit: 5\nbatch_interval { seconds: 3 }\nweights { idle_dollars: 0.2 } # more\n", testTeams)
	want := Default()
	want.RestartLimit, want.ProgressInterval, want.Weights.IdleDollars = 5, 3*time.Second, 0.2
	if err != nil || !reflect.DeepEqual(s, want) {
		t.Fatalf("%+v, %v", s, err)
	}
	if s, err := parse("op.txt", "", testTeams); err != nil || !reflect.DeepEqual(s, Default()) {
		t.Fatalf("an empty file: %+v, %v", s, err)
	}
}

// An unknown field or an invalid value is refused, with file, line and field. If a misspelt setting were
// ignored, its default would stay in force while operators believe it changed.
func TestRefused(t *testing.T) {
	for _, c := range []struct{ name, text, file, line, field string }{
		{"unknown field", "restart_limit: 3\nrestart_limits: 4\n", "op.txt", "2", "restart_limits"},
		{"wrong type", "restart_limit: \"many\"\n", "op.txt", "1", "restart_limit"},
		{"out of range", "# settings\n\nround_budget { seconds: 60 }\n", "op.txt:3:", "3", "round_budget"},
		{"negative weight", "weights {\n  idle_dollars: 1\n  move_gain: -1\n}\n", "op.txt:3:", "3", "move_gain"},
		{"not a number", "weights { small_first: nan }", "op.txt:1:", "1", "small_first"},
		{"not closed", "weights { idle_dollars: 1", "op.txt", "1", ""},
	} {
		_, err := parse("op.txt", c.text, testTeams)
		if err == nil {
			t.Errorf("%s: accepted", c.name)
			continue
		}
		for _, part := range []string{c.file, c.line, c.field} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: error %q doesn't contain %q", c.name, err, part)
			}
		}
	}
}

// Guards against settings of the warm standby that are lost or accepted outside their bounds. The standby
// is off by default; deploy/standby.txtpb switches it on.
func TestStandbySettings(t *testing.T) {
	directory := t.TempDir()
	s, err := parse("op.txt", `standby {
 enabled: true
 queue_bound: 100
 snapshot_interval { seconds: 5 }
 log_directory: "`+directory+`"
 log_bytes: 2000000
}`, testTeams)
	want := Standby{Enabled: true, QueueBound: 100, SnapshotInterval: 5 * time.Second, LogDirectory: directory, LogBytes: 2_000_000}
	if err != nil || s.Standby != want {
		t.Fatalf("%+v, %v", s.Standby, err)
	}
	if s, err := parse("op.txt", "standby {}", testTeams); err != nil || s.Standby.Enabled {
		t.Fatalf("an empty message: %+v, %v", s.Standby, err)
	}
	if s, err := Load("../../deploy/standby.txtpb", nil); err != nil || !s.Standby.Enabled {
		t.Fatalf("deploy/standby.txtpb: %+v, %v", s.Standby, err)
	}
	checkRefused(t, []refusal{
		{"standby {\n  enabled: true\n  queue_bound: 1\n}", "op.txt:3: queue_bound"},
		{"standby { snapshot_interval { seconds: 600 } }", "op.txt:1: snapshot_interval"},
		{"standby {\n enabled: true\n log_bytes: 5\n}", "op.txt:3: log_bytes"},
		{"standby {\n enabled: true\n\n log_directory: \"/does/not/exist\"\n}", "op.txt:4: log_directory"},
		{"standby { log_directory: \"" + directory + "\" }", "op.txt:1: log_directory: needs enabled"},
		{"standby { enabled: 3 }", "enabled"},
		{"standby { enable: true }", "enable"},
	})
}

// Guards against settings of admission control that are lost or accepted outside their bounds, and weights
// that are accepted for unknown teams. Admission control is off by default; deploy/admission.txtpb
// switches it on and leaves the standby off.
func TestAdmissionSettings(t *testing.T) {
	s, err := parse("op.txt", `admission {
 enabled: true
 floor: 0.05
 enter_backlog { seconds: 300 }
 weights { team: "red" weight: 2.5 }
}`, testTeams)
	want := Default().Admission
	want.Enabled, want.Floor, want.EnterBacklog = true, 0.05, 5*time.Minute
	want.Weights = map[string]float64{"red": 2.5}
	if err != nil || !reflect.DeepEqual(s.Admission, want) || want.ExitBacklog != time.Minute {
		t.Fatalf("%+v, %v", s.Admission, err)
	}
	if s, err := Load("../../deploy/admission.txtpb", nil); err != nil || !s.Admission.Enabled || s.Standby.Enabled {
		t.Fatalf("deploy/admission.txtpb: %+v, %v", s, err)
	}
	if Default().Admission.Enabled {
		t.Fatal("admission control is on by default")
	}
	checkRefused(t, []refusal{
		{"admission {\n floor: 0.9\n}", "op.txt:2: floor"},
		{"admission {\n enter_backlog { seconds: 10 }\n}", "op.txt: exit_backlog: must be less"},
		{"admission {\n\n policy_age { seconds: 1 }\n}", "op.txt:3: policy_age"},
		{"admission {\n weights { team: \"green\" weight: 1 }\n}", "op.txt:2: weights: unknown team \"green\""},
		{"admission {\n weights { team: \"red\" weight: 0 }\n}", "op.txt:2: weight: of team \"red\""},
		{
			"admission {\n weights { team: \"red\" weight: 1 }\n weights { team: \"red\" weight: 2 }\n}",
			"op.txt:3: weights: team \"red\" is listed twice",
		},
		{"admission { weight: 1 }", "weight"},
	})
}

// Guards against settings of the rate of task starts after a takeover that are lost or accepted
// outside their bounds. The rate is not limited by default; deploy/recovery.txtpb switches the limit
// on.
func TestRecoverySettings(t *testing.T) {
	s, err := parse("op.txt", "recovery { paced: true initial_pace: 5 highest_pace: 50 }", nil)
	if r := s.Recovery; err != nil || !r.Enabled || r.Initial != 5 || r.Highest != 50 {
		t.Fatalf("%+v, %v", r, err)
	}
	if s, err := Load("../../deploy/recovery.txtpb", nil); err != nil || !s.Recovery.Enabled || Default().Recovery.Enabled {
		t.Fatalf("deploy/recovery.txtpb: %+v, %v", s.Recovery, err)
	}
	checkRefused(t, []refusal{
		{"recovery {\n initial_pace: 0\n}", "op.txt:2: initial_pace"},
		{"recovery {\n initial_pace: 600\n}", "op.txt: highest_pace: must be more"},
		{"recovery { pace: 1 }", "pace"},
	})
}
