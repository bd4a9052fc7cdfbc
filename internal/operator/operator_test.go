package operator

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// testTeams are the teams of the platform's settings.
var testTeams = []string{"red", "blue"}

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
	s, err := parse("op.txt", "standby {\n enabled: true\n queue_bound: 100\n snapshot_interval { seconds: 5 }\n log_directory: \""+directory+"\"\n log_bytes: 2000000\n}\n", testTeams)
	if want := (Standby{Enabled: true, QueueBound: 100, SnapshotInterval: 5 * time.Second, LogDirectory: directory, LogBytes: 2_000_000}); err != nil || s.Standby != want {
		t.Fatalf("%+v, %v", s.Standby, err)
	}
	if s, err := parse("op.txt", "standby {}", testTeams); err != nil || s.Standby.Enabled {
		t.Fatalf("an empty message: %+v, %v", s.Standby, err)
	}
	if s, err := Load("../../deploy/standby.txtpb", nil); err != nil || !s.Standby.Enabled {
		t.Fatalf("the file that switches it on: %+v, %v", s.Standby, err)
	}
	for _, c := range []struct{ text, part string }{
		{"standby {\n  enabled: true\n  queue_bound: 1\n}", "op.txt:3: queue_bound"},
		{"standby { snapshot_interval { seconds: 600 } }", "op.txt:1: snapshot_interval"},
		{"standby {\n enabled: true\n log_bytes: 5\n}", "op.txt:3: log_bytes"},
		{"standby {\n enabled: true\n\n log_directory: \"/does/not/exist\"\n}", "op.txt:4: log_directory"},
		{"standby { log_directory: \"" + directory + "\" }", "op.txt:1: log_directory: needs enabled"},
		{"standby { enabled: 3 }", "enabled"},
		{"standby { enable: true }", "enable"},
	} {
		if _, err := parse("op.txt", c.text, testTeams); err == nil || !strings.Contains(err.Error(), c.part) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

// The settings of admission control, each with its bounds; teams must be those of the
// platform's settings. It is off unless switched on.
func TestAdmissionSettings(t *testing.T) {
	s, err := parse("op.txt", "admission {\n enabled: true\n floor: 0.05\n enter_backlog { seconds: 300 }\n weights { team: \"red\" weight: 2.5 }\n}\n", testTeams)
	if a := s.Admission; err != nil || !a.Enabled || a.Floor != 0.05 || a.EnterBacklog != 5*time.Minute || a.ExitBacklog != time.Minute || a.Weights["red"] != 2.5 {
		t.Fatalf("%+v, %v", a, err)
	}
	if s, err := Load("../../deploy/admission.txtpb", nil); err != nil || !s.Admission.Enabled || s.Standby.Enabled {
		t.Fatalf("the file that switches it on: %+v, %v", s, err)
	}
	if Default().Admission.Enabled {
		t.Fatal("on by default")
	}
	for _, c := range []struct{ text, part string }{
		{"admission {\n floor: 0.9\n}", "op.txt:2: floor"},
		{"admission {\n enter_backlog { seconds: 10 }\n}", "exit_backlog: must be less"},
		{"admission {\n\n policy_age { seconds: 1 }\n}", "op.txt:3: policy_age"},
		{"admission {\n weights { team: \"green\" weight: 1 }\n}", "op.txt:2: weights: unknown team \"green\""},
		{"admission {\n weights { team: \"red\" weight: 0 }\n}", "op.txt:2: weight: of team \"red\""},
		{"admission {\n weights { team: \"red\" weight: 1 }\n weights { team: \"red\" weight: 2 }\n}", "op.txt:3: weights: team \"red\" twice"},
		{"admission { weight: 1 }", "weight"},
	} {
		if _, err := parse("op.txt", c.text, testTeams); err == nil || !strings.Contains(err.Error(), c.part) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
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
	for _, c := range []struct{ text, part string }{
		{"recovery {\n initial_pace: 0\n}", "op.txt:2: initial_pace"},
		{"recovery {\n initial_pace: 600\n}", "highest_pace: must be more"},
		{"recovery { pace: 1 }", "pace"},
	} {
		if _, err := parse("op.txt", c.text, nil); err == nil || !strings.Contains(err.Error(), c.part) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}
