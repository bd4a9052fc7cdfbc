package operatorapi

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"gingertally/internal/drain"
	"gingertally/internal/goldentest"
)

// The JSON form of the messages to operators, and the verbs of drains. Operators' tools and the
// gingertally commands read them, so an unintended change would break those.
func TestOperatorMessagesGolden(t *testing.T) {
	var lines goldentest.Lines
	for _, m := range []struct {
		name    string
		message any
	}{
		{"status", goldentest.Filled[Status]()},
		{"drain plan", goldentest.Filled[drain.Plan]()},
		{"drain preview", goldentest.Filled[drain.Preview]()},
		{"drain error", goldentest.Filled[drainError]()},
	} {
		text, err := json.MarshalIndent(m.message, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		lines.Add("%s %s", m.name, text)
	}
	for _, verb := range slices.Sorted(maps.Keys(drainVerbs)) {
		lines.Add("verb %s: %s", verb, drainVerbs[verb])
	}
	lines.Check(t, "operator_messages.txt")
}
