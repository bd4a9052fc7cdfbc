package standbyrpc

import (
	"gingertally/internal/standby"
	"gingertally/internal/standby/standbypb"
)

// toWire converts a frame to its protobuf message.
func toWire(f standby.Frame) *standbypb.Frame {
	message := &standbypb.Frame{
		Kind: kindToWire(f.Kind), Term: f.Term, Sequence: f.Sequence, Newest: f.Newest,
		Part: uint32(f.Part), Last: f.Last, Successor: f.Successor,
		Entries: make([]*standbypb.Entry, 0, len(f.Entries)),
	}
	if f.HasDigest {
		message.Digest = &f.Digest
	}
	for _, e := range f.Entries {
		message.Entries = append(message.Entries, &standbypb.Entry{Key: []byte(e.Key), Value: e.Value})
	}
	return message
}

// fromWire converts a protobuf message to its frame.
func fromWire(message *standbypb.Frame) standby.Frame {
	f := standby.Frame{
		Kind: kindFromWire(message.Kind), Term: message.Term, Sequence: message.Sequence, Newest: message.Newest,
		Part: int(message.Part), Last: message.Last, Successor: message.Successor,
	}
	if message.Digest != nil {
		f.HasDigest, f.Digest = true, *message.Digest
	}
	for _, e := range message.Entries {
		f.Entries = append(f.Entries, standby.Entry{Key: string(e.Key), Value: e.Value})
	}
	return f
}

// kindToWire returns the protobuf value of a kind of frame.
func kindToWire(kind standby.FrameKind) standbypb.Frame_Kind {
	switch kind {
	case standby.Snapshot:
		return standbypb.Frame_SNAPSHOT
	case standby.Changes:
		return standbypb.Frame_CHANGES
	case standby.Heartbeat:
		return standbypb.Frame_HEARTBEAT
	case standby.HandOver:
		return standbypb.Frame_HAND_OVER
	}
	return standbypb.Frame_UNKNOWN
}

// kindFromWire returns the kind of frame for a protobuf value. It returns Heartbeat for a kind that
// only a later version knows. If such a frame holds changes, the follower's copy lacks them, which the
// next digest shows.
func kindFromWire(kind standbypb.Frame_Kind) standby.FrameKind {
	switch kind {
	case standbypb.Frame_SNAPSHOT:
		return standby.Snapshot
	case standbypb.Frame_CHANGES:
		return standby.Changes
	case standbypb.Frame_HAND_OVER:
		return standby.HandOver
	}
	return standby.Heartbeat
}
