package standby

import (
	"testing"

	"gingertally/internal/core"
	"gingertally/internal/goldentest"
)

// warmRecords returns a record of each kind with every field set, and a deleted record.
func warmRecords() []core.WarmRecord {
	machine, attempt := goldentest.Filled[core.WarmMachine](), goldentest.Filled[core.WarmAttempt]()
	class, offer := goldentest.Filled[core.WarmClass](), goldentest.Filled[core.WarmBackoff]()
	job := goldentest.Filled[core.WarmJob]()
	return []core.WarmRecord{
		{Key: core.WarmKey{Kind: core.WarmMachineKind, Name: "m-1"}, Machine: &machine},
		{Key: core.WarmKey{Kind: core.WarmAttemptKind, Name: "j-1", Task: 3}, Attempt: &attempt},
		{Key: core.WarmKey{Kind: core.WarmClassKind, Name: "c"}, Class: &class},
		{Key: core.WarmKey{Kind: core.WarmBackoffKind, Name: "g8", Zone: "a", Spot: true}, Backoff: &offer},
		{Key: core.WarmKey{Kind: core.WarmJobKind, Name: "j-1"}, Job: &job},
		{Key: core.WarmKey{Kind: core.WarmMachineKind, Name: "m-2"}},
	}
}

// The encoded form in which the warm state is replicated and logged doesn't change. Controllers of
// other versions have to read it during an upgrade, and this one after a restart.
func TestWarmRecordsGolden(t *testing.T) {
	var lines goldentest.Lines
	entries := Encode(warmRecords())
	for _, e := range entries {
		lines.Add("%x %x", e.Key, e.Value)
	}
	lines.Check(t, "warm_records.txt")
	read, err := Decode(entries[:5])
	if err != nil {
		t.Fatal(err)
	}
	for i, e := range Encode(read) {
		if e.Key != entries[i].Key || string(e.Value) != string(entries[i].Value) {
			t.Errorf("record %d is %x %x after decoding and encoding it again", i, e.Key, e.Value)
		}
	}
}
