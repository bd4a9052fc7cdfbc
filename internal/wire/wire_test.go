package wire

import (
	"errors"
	"math"
	"strings"
	"testing"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
)

func good() map[string]any {
	return map[string]any{"ref": "j-000412", "lot_kind": "train", "owner": "vision", "shape": "ensemble", "urgency": "urgent",
		"lots": 16, "vcpus": 8.0, "cards": 1.0, "mem_gb": 64.0, "kit": "img-07", "pull_gb": 6.2, "builds": []string{"g8"},
		"yard": nil, "one_zone": true, "apart": false, "loaners": true, "guess_s": 240.0, "mark_s": 30.0, "stash_s": 4.0, "due_s": 900.0}
}

func TestParseSubmission(t *testing.T) {
	if s, _, err := ParseSubmission(codec.MustMarshal(good())); err != nil || s.Tasks != 16 || s.Types[0] != "g8" || s.Deadline.Seconds() != 900 {
		t.Fatalf("good submission: %+v, %v", s, err)
	}
	change := func(field string, v any) []byte {
		m := good()
		m[field] = v
		return codec.MustMarshal(m)
	}
	without := func(field string) []byte {
		m := good()
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
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, body := range map[string][]byte{
		"empty":            {},
		"not CBOR":         []byte("{\"ref\":1}"),
		"null":             codec.MustMarshal(nil),
		"a list":           codec.MustMarshal([]int{1}),
		"more than one":    append(codec.MustMarshal(good()), 0),
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
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func goodBeat() map[string]any {
	return map[string]any{"stall": "m-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "yard": "a", "loaners": true,
		"shift": 1, "tick": 88, "gavel": 41, "warning_s": nil, "lots": []any{
			map[string]any{"lot": "j-000412/3", "try": 2, "status": "running"},
			map[string]any{"lot": "j-000398/0", "try": uint64(1) << 63, "status": "ended", "cause": "stopped", "kept": true}}}
}

func TestParseReport(t *testing.T) {
	r, err := ParseHeartbeat(codec.MustMarshal(goodBeat()))
	if err != nil || len(r.Tasks) != 2 || r.InterruptionIn >= 0 || r.Tasks[0].State != fleet.Running ||
		r.Tasks[1].Cause != fleet.CauseStopped || !r.Tasks[1].Checkpointed || r.Tasks[1].Attempt != 1<<63 {
		t.Fatalf("good report: %+v, %v", r, err)
	}
	for field, v := range map[string]any{"stall": nil, "shift": -1, "tick": "x", "gavel": nil, "warning_s": math.NaN(),
		"lots": []any{map[string]any{"lot": "j-000412", "try": 2, "status": "running"}}} {
		m := goodBeat()
		m[field] = v
		if _, err := ParseHeartbeat(codec.MustMarshal(m)); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%s = %v: error %v", field, v, err)
		}
	}
	for _, lot := range []any{
		map[string]any{"lot": "j-1/-1", "try": 2, "status": "running"},
		map[string]any{"lot": "j-1/01", "try": 2, "status": "running"},
		map[string]any{"lot": "j-1/1", "status": "running"},
		map[string]any{"lot": "j-1/1", "try": 2, "status": "resting"},
		map[string]any{"lot": "j-1/1", "try": 2, "status": "ended"},
	} {
		m := goodBeat()
		m["lots"] = []any{lot}
		if _, err := ParseHeartbeat(codec.MustMarshal(m)); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%v: error %v", lot, err)
		}
	}
}
