package standby

// FrameKind is the kind of a frame.
type FrameKind uint8

// Kinds of frames.
const (
	// Snapshot holds one part of the whole state at a sequence number.
	Snapshot FrameKind = iota + 1
	// Changes holds consecutive changes, the last of which has the frame's sequence number.
	Changes
	// Heartbeat holds no entries. It shows that the leader is alive, and the number of its newest change.
	Heartbeat
	// HandOver announces that the leader is about to give up its lease, and names its successor.
	HandOver
)

// Frame is one message of the stream from a leader to a follower.
type Frame struct {
	Kind     FrameKind
	Term     uint64
	Sequence uint64 // number of the newest change in the follower's copy once it has applied this frame
	Newest   uint64 // number of the leader's newest change when it made the frame
	Entries  []Entry

	Part int  // of a Snapshot: number of the part, from 0
	Last bool // of a Snapshot: whether this is the last part

	HasDigest bool
	Digest    uint64 // digest of the whole state at Sequence; valid if HasDigest is set

	Successor string // of a HandOver: name of the follower that is to claim the next term first
}

// Position says which changes a follower's copy contains: those of a term up to a sequence number. The
// zero Position is that of a follower without a complete copy.
type Position struct{ Term, Sequence uint64 }
