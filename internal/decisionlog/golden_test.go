package decisionlog

import (
	"bytes"
	"reflect"
	"testing"

	"gingertally/internal/goldentest"
	"gingertally/internal/standby"
)

// The form of a segment on disk, which a controller has to be able to read after an upgrade. Every
// field of a frame is stored: one that is added to standby.Frame alone would be lost by a restart.
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
		t.Errorf("read again it is %+v (%d bytes, %v), not %+v", read, size, err, frame)
	}
}
