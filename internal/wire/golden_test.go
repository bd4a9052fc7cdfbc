package wire

import (
	"bytes"
	"maps"
	"slices"
	"testing"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
	"gingertally/internal/goldentest"
)

// addMessage adds the encoded form of a message in which every field is set, and checks that decoding
// it and encoding the result gives the same bytes.
func addMessage[T any](t *testing.T, lines *goldentest.Lines, name string) {
	t.Helper()
	encoded := codec.MustMarshal(goldentest.Filled[T]())
	lines.Add("%s %x", name, encoded)
	var read T
	if err := codec.Unmarshal(encoded, &read); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	if again := codec.MustMarshal(read); !bytes.Equal(again, encoded) {
		t.Errorf("%s: decoded and encoded again: %x, want %x", name, again, encoded)
	}
}

// The encoded form of the messages of the external interfaces mustn't change: users, workers, the
// cloud and the state service couldn't read them any more.
func TestMessagesGolden(t *testing.T) {
	var lines goldentest.Lines
	addMessage[Heartbeat](t, &lines, "heartbeat")
	addMessage[Orders](t, &lines, "orders")
	addMessage[Redirect](t, &lines, "redirect")
	addMessage[submission](t, &lines, "submission")
	addMessage[RunState](t, &lines, "run state")
	addMessage[StoreItem](t, &lines, "store item")
	addMessage[StorePage](t, &lines, "store page")
	addMessage[Commit](t, &lines, "commit")
	addMessage[CommitResult](t, &lines, "commit result")
	addMessage[LeaseRequest](t, &lines, "lease request")
	addMessage[LeaseGrant](t, &lines, "lease grant")
	addMessage[News](t, &lines, "news")
	addMessage[Flavors](t, &lines, "flavors")
	addMessage[RentalRequest](t, &lines, "rental request")
	addMessage[Stalls](t, &lines, "stalls")
	addMessage[RentalPage](t, &lines, "rental page")
	lines.Check(t, "messages.txt")
}

// The protocol's words for states, causes, shapes and priorities, and the encoded form of each kind of
// command, mustn't change.
func TestWordsGolden(t *testing.T) {
	var lines goldentest.Lines
	for _, word := range slices.Sorted(maps.Keys(taskStates)) {
		lines.Add("task state %s %d", word, taskStates[word])
	}
	for _, word := range slices.Sorted(maps.Keys(exitCauses)) {
		lines.Add("exit cause %s %d", word, exitCauses[word])
	}
	for _, word := range slices.Sorted(maps.Keys(shapes)) {
		lines.Add("shape %s %d", word, shapes[word])
	}
	for _, word := range slices.Sorted(maps.Keys(priorities)) {
		lines.Add("priority %s %d", word, priorities[word])
	}
	for _, op := range []fleet.CommandKind{fleet.Start, fleet.Stop, fleet.Forget} {
		command := fleet.Command{Kind: op, Ref: "j-000412", Task: 3, Attempt: 1<<24 + 9, Grace: 10e9}
		lines.Add("command %d %x", op, codec.MustMarshal(OrdersOf([]fleet.Command{command})))
	}
	lines.Check(t, "words.txt")
}

// A submission must always be parsed to the same spec and the same dependencies, without duplicates.
func TestParseSubmissionGolden(t *testing.T) {
	body := validSubmission()
	body["awaits"] = []string{"j-000001", "j-000002", "j-000001"}
	spec, dependencies, err := ParseSubmission(codec.MustMarshal(body))
	if err != nil {
		t.Fatal(err)
	}
	var lines goldentest.Lines
	lines.Add("spec %x", codec.MustMarshal(spec))
	lines.Add("dependencies %q", dependencies)
	lines.Check(t, "submission.txt")
}
