package decisionlog

import (
	"bytes"
	"reflect"
	"testing"

	"gingertally/internal/goldentest"
	"gingertally/internal/standby"
)

// The format of a segment doesn't change, since a controller has to read its log after an upgrade.
// Every field of a frame is stored: a field that was added to standby.Frame alone would be lost in a
// restart.
func TestSegmentGolden(t *testing.T) {
	frame := goldentest.Filled[standby.Frame]()
	frame.Entries = append(frame.Entries, standby.Entry{Key: "\xff\x80"})
	written := encodeRecord(frame)
	var lines goldentest.Lines
	lines.Add("magic %q", magic)
	lines.Add("record %x", written)
	lines.Add("name %s", (&Log{}).path(17))
	lines.Check(t, "segment.txt")
	read, size, err := readRecord(bytes.NewReader(written))
	if err != nil || size != int64(len(written)) || !reflect.DeepEqual(read, frame) {
		t.Errorf("read back as %+v (%d bytes, %v), want %+v", read, size, err, frame)
	}
}
