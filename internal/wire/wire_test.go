package wire

import (
	"errors"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
)

// validSubmission returns a submission with all fields except awaits; its yard is null.
func validSubmission() map[string]any {
	return map[string]any{
		"ref": "j-000412", "lot_kind": "train", "owner": "vision", "shape": "ensemble", "urgency": "urgent",
		"lots": 16, "vcpus": 8.0, "cards": 1.0, "mem_gb": 64.0, "kit": "img-07", "pull_gb": 6.2, "builds": []string{"g8"},
		"yard": nil, "one_zone": true, "apart": false, "loaners": true, "guess_s": 240.0,
		"mark_s": 30.0, "stash_s": 4.0, "due_s": 900.0,
	}
}

// ParseSubmission accepts the submissions that the protocol allows and rejects all others as
// malformed. Most rows change or leave out one field of a valid submission. A malformed job that is
// accepted can't be refused later, and a valid one that is rejected isn't submitted again.
func TestParseSubmission(t *testing.T) {
	spec, _, err := ParseSubmission(codec.MustMarshal(validSubmission()))
	if err != nil || spec.Tasks != 16 || spec.Types[0] != "g8" || spec.Deadline.Seconds() != 900 {
		t.Fatalf("valid submission: %+v, error %v", spec, err)
	}
	change := func(field string, v any) []byte {
		m := validSubmission()
		m[field] = v
		return codec.MustMarshal(m)
	}
	without := func(field string) []byte {
		m := validSubmission()
		delete(m, field)
		return codec.MustMarshal(m)
	}
	for name, body := range map[string][]byte{
		"no builds":      without("builds"),
		"no deadline":    without("due_s"),
		"unknown field":  change("colour", "red"),
		"whole seconds":  change("guess_s", 240),
		"most tasks":     change("lots", MaxTasks),
		"long reference": change("ref", "j-1234567"),
	} {
		if _, _, err := ParseSubmission(body); err != nil {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for name, body := range map[string][]byte{
		"empty":            {},
		"not CBOR":         []byte("{\"ref\":1}"),
		"null":             codec.MustMarshal(nil),
		"a list":           codec.MustMarshal([]int{1}),
		"more than one":    append(codec.MustMarshal(validSubmission()), 0),
		"too long":         change("kit", strings.Repeat("x", MaxBody)),
		"no ref":           without("ref"),
		"no one_zone":      without("one_zone"),
		"no guess":         without("guess_s"),
		"malformed ref":    change("ref", "k-1"),
		"ref with slash":   change("ref", "j-1/2"),
		"wrong type":       change("owner", 7),
		"text for bool":    change("loaners", "yes"),
		"unknown shape":    change("shape", "heap"),
		"unknown urgency":  change("urgency", "now"),
		"no tasks":         change("lots", 0),
		"too many tasks":   change("lots", MaxTasks+1),
		"negative tasks":   change("lots", -1),
		"half a task":      change("lots", 1.5),
		"negative CPUs":    change("vcpus", -1.0),
		"NaN":              change("mem_gb", math.NaN()),
		"infinite":         change("pull_gb", math.Inf(1)),
		"deadline NaN":     change("due_s", math.NaN()),
		"types not a list": change("builds", "g8"),
		"type null":        change("builds", []any{nil}),
	} {
		if _, _, err := ParseSubmission(body); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
}

// validHeartbeat returns a heartbeat with a running task and an exited one.
func validHeartbeat() map[string]any {
	return map[string]any{"stall": "m-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "yard": "a", "loaners": true,
		"shift": 1, "tick": 88, "gavel": 41, "warning_s": nil, "lots": []any{
			map[string]any{"lot": "j-000412/3", "try": 2, "status": "running"},
			map[string]any{"lot": "j-000398/0", "try": uint64(1) << 63, "status": "ended", "cause": "stopped", "kept": true}}}
}

// A heartbeat with a missing or malformed part is rejected as a whole. If such a part were ignored,
// the machine could seem to have no tasks, and its tasks would be started a second time.
func TestParseHeartbeat(t *testing.T) {
	heartbeat, err := ParseHeartbeat(codec.MustMarshal(validHeartbeat()))
	if err != nil || len(heartbeat.Tasks) != 2 || heartbeat.InterruptionIn >= 0 || heartbeat.Tasks[0].State != fleet.Running ||
		heartbeat.Tasks[1].Cause != fleet.CauseStopped || !heartbeat.Tasks[1].Checkpointed || heartbeat.Tasks[1].Attempt != 1<<63 {
		t.Fatalf("valid heartbeat: %+v, error %v", heartbeat, err)
	}
	for field, v := range map[string]any{"stall": nil, "shift": -1, "tick": "x", "gavel": nil, "warning_s": math.NaN(),
		"lots": []any{map[string]any{"lot": "j-000412", "try": 2, "status": "running"}}} {
		m := validHeartbeat()
		m[field] = v
		if _, err := ParseHeartbeat(codec.MustMarshal(m)); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%s = %v: error %v, want ErrMalformed", field, v, err)
		}
	}
	for _, lot := range []any{
		map[string]any{"lot": "j-1/-1", "try": 2, "status": "running"},
		map[string]any{"lot": "j-1/01", "try": 2, "status": "running"},
		map[string]any{"lot": "j-1/1", "status": "running"},
		map[string]any{"lot": "j-1/1", "try": 2, "status": "resting"},
		map[string]any{"lot": "j-1/1", "try": 2, "status": "ended"},
	} {
		m := validHeartbeat()
		m["lots"] = []any{lot}
		if _, err := ParseHeartbeat(codec.MustMarshal(m)); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%v: error %v, want ErrMalformed", lot, err)
		}
	}
}

// HeartbeatOf and CommandsOf, which emulated workers use, are the inverses of ParseHeartbeat and
// OrdersOf, which controllers use. Otherwise tests with emulated workers would test another protocol.
func TestStandInsSpeakTheProtocol(t *testing.T) {
	heartbeat, err := ParseHeartbeat(codec.MustMarshal(validHeartbeat()))
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseHeartbeat(codec.MustMarshal(HeartbeatOf(heartbeat)))
	if err != nil || !reflect.DeepEqual(again, heartbeat) {
		t.Errorf("heartbeat %+v, want %+v, error %v", again, heartbeat, err)
	}
	commands := []fleet.Command{
		{Kind: fleet.Start, Ref: "j-000412", Task: 4, Attempt: 2},
		{Kind: fleet.Stop, Ref: "j-000377", Task: 1, Attempt: 1, Grace: 10 * time.Second},
		{Kind: fleet.Forget, Ref: "j-000398", Attempt: 1 << 63},
	}
	if got, err := CommandsOf(OrdersOf(commands)); err != nil || !slices.Equal(got, commands) {
		t.Errorf("commands %+v, want %+v, error %v", got, commands, err)
	}
	for _, order := range []Order{{Verb: "burn", Lot: "j-000412/4"}, {Verb: VerbStart, Lot: "j-000412"}} {
		if _, err := CommandsOf([]Order{order}); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%+v: error %v, want ErrMalformed", order, err)
		}
	}
}

// The responses to users that the golden files don't cover have the field names that users expect.
func TestAnswersToUsers(t *testing.T) {
	for _, c := range []struct {
		message any
		want    map[string]any
	}{
		{CancelResult{Ref: "j-000412", Status: StatusCancelled}, map[string]any{"ref": "j-000412", "status": "aborted"}},
		{OverloadRefusal{Error: "overloaded", RetryAfterS: 10}, map[string]any{"error": "overloaded", "retry_after_s": 10.0}},
		{ErrorMessage{Error: "no"}, map[string]any{"error": "no"}},
	} {
		var got map[string]any
		if err := codec.Unmarshal(codec.MustMarshal(c.message), &got); err != nil || !maps.Equal(got, c.want) {
			t.Errorf("%T: %v, want %v, error %v", c.message, got, c.want, err)
		}
	}
}
