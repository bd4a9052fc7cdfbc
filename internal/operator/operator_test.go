package operator

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"gingertally/internal/config"
)

// testTeams are the teams of the platform's settings.
var testTeams = []string{"red", "blue"}

// refusal is a file that is refused, and a part of the error that says why.
type refusal struct{ text, part string }

// checkRefused checks that files are refused with an error that names the file and says the given part.
func checkRefused(t *testing.T, refusals []refusal) {
	t.Helper()
	for _, r := range refusals {
		_, err := parse("op.txt", r.text, testTeams)
		var failed *config.FieldError
		if !errors.As(err, &failed) || failed.File != "op.txt" || !strings.Contains(err.Error(), r.part) {
			t.Errorf("%s: %v", r.text, err)
		}
	}
}

// What a file sets is taken over, and all else keeps its default: a default that a file changes in passing would
// change how every controller decides.
func TestParse(t *testing.T) {
	s, err := parse("op.txt", "restart_limit: 5\nbatch_interval { seconds: 3 }\nweights { idle_dollars: 0.2 } # more\n", testTeams)
	want := Default()
	want.RestartLimit, want.BatchInterval, want.Weights.IdleDollars = 5, 3*time.Second, 0.2
	if err != nil || !reflect.DeepEqual(s, want) {
		t.Fatalf("%+v, %v", s, err)
	}
	if s, err := parse("op.txt", "", testTeams); err != nil || !reflect.DeepEqual(s, Default()) {
		t.Fatalf("an empty file: %+v, %v", s, err)
	}
}

// A file that isn't understood in full is refused, with file, line and field: a misspelt setting that is ignored
// would leave operators with a default that they believe changed.
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
				t.Errorf("%s: %q doesn't say %q", c.name, err, part)
			}
		}
	}
}

// The settings of the warm standby, each with its bounds; it is off unless switched on.
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
		t.Fatalf("the file that switches it on: %+v, %v", s.Standby, err)
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

// The settings of admission control, each with its bounds; teams must be those of the
// platform's settings. It is off unless switched on.
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
		t.Fatalf("the file that switches it on: %+v, %v", s, err)
	}
	if Default().Admission.Enabled {
		t.Fatal("on by default")
	}
	checkRefused(t, []refusal{
		{"admission {\n floor: 0.9\n}", "op.txt:2: floor"},
		{"admission {\n enter_backlog { seconds: 10 }\n}", "op.txt: exit_backlog: must be less"},
		{"admission {\n\n policy_age { seconds: 1 }\n}", "op.txt:3: policy_age"},
		{"admission {\n weights { team: \"green\" weight: 1 }\n}", "op.txt:2: weights: unknown team \"green\""},
		{"admission {\n weights { team: \"red\" weight: 0 }\n}", "op.txt:2: weight: of team \"red\""},
		{
			"admission {\n weights { team: \"red\" weight: 1 }\n weights { team: \"red\" weight: 2 }\n}",
			"op.txt:3: weights: team \"red\" twice",
		},
		{"admission { weight: 1 }", "weight"},
	})
}

// The settings of the pace after a takeover; off unless switched on.
func TestRecoverySettings(t *testing.T) {
	s, err := parse("op.txt", "recovery { paced: true initial_pace: 5 highest_pace: 50 }", nil)
	if r := s.Recovery; err != nil || !r.Enabled || r.Initial != 5 || r.Highest != 50 {
		t.Fatalf("%+v, %v", r, err)
	}
	if s, err := Load("../../deploy/recovery.txtpb", nil); err != nil || !s.Recovery.Enabled || Default().Recovery.Enabled {
		t.Fatalf("the file that switches it on: %+v, %v", s.Recovery, err)
	}
	checkRefused(t, []refusal{
		{"recovery {\n initial_pace: 0\n}", "op.txt:2: initial_pace"},
		{"recovery {\n initial_pace: 600\n}", "op.txt: highest_pace: must be more"},
		{"recovery { pace: 1 }", "pace"},
	})
}
