package standby

import (
	"errors"
	"testing"

	"gingertally/internal/codec"
	"gingertally/internal/core"
)

// Records of kinds that only a later version knows are left out, and no records are returned if any is
// malformed. A copy that lost records unnoticed would be used as the leader's whole state.
func TestDecodeUnknownAndMalformed(t *testing.T) {
	class := core.WarmClass{}
	known := core.WarmRecord{Key: core.WarmKey{Kind: core.WarmClassKind, Name: "c"}, Class: &class}
	unknown := known
	unknown.Key.Kind = 200
	records, err := Decode(Encode([]core.WarmRecord{unknown, known}))
	if err != nil || len(records) != 1 || records[0].Key != known.Key {
		t.Errorf("with a record of an unknown kind: %+v, %v", records, err)
	}
	for name, change := range map[string]func(*Entry){
		"key":   func(e *Entry) { e.Key = "\xff" },
		"value": func(e *Entry) { e.Value = codec.MustMarshal("text") },
	} {
		entries := Encode([]core.WarmRecord{known, known})
		change(&entries[1])
		if records, err := Decode(entries); !errors.Is(err, codec.ErrMalformed) || records != nil {
			t.Errorf("with a malformed %s: %+v, %v", name, records, err)
		}
	}
}
