package standby

// FrameKind says what a frame of the stream holds.
type FrameKind uint8

// Kinds of frames.
const (
	// Snapshot holds one part of the whole state as of a sequence number.
	Snapshot FrameKind = iota + 1
	// Changes holds changes that follow each other, up to a sequence number.
	Changes
	// Heartbeat holds no entries: it shows that the leader is there, and how far it is.
	Heartbeat
	// HandOver says that the leader is about to give up its lease, and names its successor.
	HandOver
)

// Frame is one message of the stream from a leader to a follower.
type Frame struct {
	Kind     FrameKind
	Term     uint64
	Sequence uint64 // number of the newest change that the follower's copy has after this frame
	Newest   uint64 // number of the newest change that the leader had made
	Entries  []Entry

	Part int  // of a snapshot: number of the part, from 0
	Last bool // of a snapshot: this part completes it

	HasDigest bool
	Digest    uint64 // if HasDigest: of the whole state as of Sequence

	Successor string // of a hand-over: name of the follower that is to claim first
}

// Position says what a follower's copy has: the changes of a term up to a sequence number. The zero
// Position is that of a follower without a copy.
type Position struct{ Term, Sequence uint64 }
