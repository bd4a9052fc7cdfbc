package standby

// FrameKind says what a frame of the stream holds.
type FrameKind uint8

// Kinds of frames.
const (
	// Snapshot is a part of the whole state as of a sequence number.
	Snapshot FrameKind = iota + 1
	// Changes are the changes that follow a sequence number.
	Changes
	// Heartbeat holds nothing but the number of the newest change.
	Heartbeat
	// HandOver says that the leader is about to resign, and names its successor.
	HandOver
)

// Frame is one message of the stream from a leader to a follower.
type Frame struct {
	Kind     FrameKind
	Term     uint64
	Sequence uint64 // of the newest change that is in the follower's copy after this frame
	Newest   uint64 // of the newest change that the leader had made
	Entries  []Entry

	Part int  // of a snapshot, from 0
	Last bool // the snapshot is complete with this part

	HasDigest bool
	Digest    uint64 // of the whole state at Sequence

	Successor string // of a hand-over
}

// Position is what a follower has: the changes of a term up to a sequence number. The zero
// position is that of a follower that has nothing.
type Position struct{ Term, Sequence uint64 }
