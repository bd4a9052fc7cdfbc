package decisionlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"

	"gingertally/internal/codec"
)

// recordOf returns a record with a payload and the checksum of that payload.
func recordOf(payload []byte) []byte {
	record := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, checksumTable))
	return append(record, payload...)
}

// A record that this version can't decode counts as torn even if its checksum is right. The first
// version stored the entries in another field; if its records were accepted, they would be read
// without their entries.
func TestUnreadableRecordIsTorn(t *testing.T) {
	frame := map[string]any{"Kind": 2, "Term": 1, "Sequence": 1, "Entries": nil}
	if _, _, err := readRecord(bytes.NewReader(recordOf(codec.MustMarshal(frame)))); err != nil {
		t.Fatalf("a record without entries: %v", err)
	}
	frame["Entries"] = []map[string]any{{"Key": "k", "Value": []byte{1}}}
	wrongSum := recordOf(codec.MustMarshal("text"))
	wrongSum[headerBytes-1] ^= 1
	for name, record := range map[string][]byte{
		"of the first version": recordOf(codec.MustMarshal(frame)),
		"not a frame":          recordOf(codec.MustMarshal("text")),
		"not CBOR":             recordOf([]byte{0xff}),
		"wrong checksum":       wrongSum,
		"too long":             binary.LittleEndian.AppendUint64(nil, maxRecordBytes+1),
		"end of the segment":   nil,
	} {
		if frame, size, err := readRecord(bytes.NewReader(record)); !errors.Is(err, errTorn) || size != 0 {
			t.Errorf("%s: %+v, %d bytes, %v", name, frame, size, err)
		}
	}
}
