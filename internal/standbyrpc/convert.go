// Package standbyrpc carries the stream of the warm state between the controllers over gRPC.
package standbyrpc

import (
	"gingertally/internal/standby"
	"gingertally/internal/standby/standbypb"
)

// kinds are the wire's words for the kinds of frames.
var kinds = map[standby.FrameKind]standbypb.Frame_Kind{
	standby.Snapshot:  standbypb.Frame_SNAPSHOT,
	standby.Changes:   standbypb.Frame_CHANGES,
	standby.Heartbeat: standbypb.Frame_HEARTBEAT,
	standby.HandOver:  standbypb.Frame_HAND_OVER,
}

// toWire puts a frame into its wire form.
func toWire(f standby.Frame) *standbypb.Frame {
	message := &standbypb.Frame{
		Kind: kinds[f.Kind], Term: f.Term, Sequence: f.Sequence, Newest: f.Newest,
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

// fromWire reads a frame. Frames of unknown kinds, as of a later version, become heartbeats:
// what they bring is missing then, and the digest will tell.
func fromWire(message *standbypb.Frame) standby.Frame {
	f := standby.Frame{
		Kind: standby.Heartbeat, Term: message.Term, Sequence: message.Sequence, Newest: message.Newest,
		Part: int(message.Part), Last: message.Last, Successor: message.Successor,
	}
	for kind, name := range kinds {
		if name == message.Kind {
			f.Kind = kind
		}
	}
	if message.Digest != nil {
		f.HasDigest, f.Digest = true, *message.Digest
	}
	for _, e := range message.Entries {
		f.Entries = append(f.Entries, standby.Entry{Key: string(e.Key), Value: e.Value})
	}
	return f
}
