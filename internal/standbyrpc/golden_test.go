package standbyrpc

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"gingertally/internal/goldentest"
	"gingertally/internal/standby"
	"gingertally/internal/standby/standbypb"
)

// The encoded form of the stream's messages doesn't change: controllers of different versions exchange
// them during an upgrade.
func TestFramesGolden(t *testing.T) {
	var lines goldentest.Lines
	marshal := proto.MarshalOptions{Deterministic: true}
	for _, kind := range []standby.FrameKind{standby.Snapshot, standby.Changes, standby.Heartbeat, standby.HandOver} {
		frame := goldentest.Filled[standby.Frame]()
		frame.Kind = kind
		encoded, err := marshal.Marshal(toWire(frame))
		if err != nil {
			t.Fatal(err)
		}
		lines.Add("frame %d %x", kind, encoded)
		var message standbypb.Frame
		if err := proto.Unmarshal(encoded, &message); err != nil {
			t.Fatal(err)
		}
		if read := fromWire(&message); !reflect.DeepEqual(read, frame) {
			t.Errorf("decoded frame is %+v, want %+v", read, frame)
		}
	}
	encoded, err := marshal.Marshal(&standbypb.FollowRequest{From: "node-1", Term: 2, Sequence: 3, Resync: true})
	if err != nil {
		t.Fatal(err)
	}
	lines.Add("follow request %x", encoded)
	lines.Check(t, "frames.txt")
}
