package standby

import (
	"slices"
	"time"
)

const (
	// maxFrameBytes is the largest size of a frame's entries. A single larger entry gets a frame of its
	// own.
	maxFrameBytes = 48 << 10
	// digestInterval is the number of changes after which the next Changes frame that can have a digest
	// gets one.
	digestInterval = 64
)

// Next returns the next frame to send to a follower. Ok is false if there is none now.
func (p *Publisher) Next(now time.Time, name string) (frame Frame, ok bool) {
	f := p.followers[name]
	if f == nil {
		return Frame{}, false
	}
	if f.snapshot == nil && !f.needsSnapshot && !p.keepsAfter(f.sent) {
		f.needsSnapshot = true // the follower has fallen too far behind
	}
	switch {
	case f.snapshot != nil:
		return p.snapshotPart(now, f), true
	case f.needsSnapshot && (f.lastSnapshotAt.IsZero() || now.Sub(f.lastSnapshotAt) >= p.options.SnapshotInterval):
		p.beginSnapshot(now, f)
		return p.snapshotPart(now, f), true
	case !f.needsSnapshot && f.sent < p.newest:
		return p.changes(now, f), true
	case p.successor != "" && !f.handOverSent:
		f.handOverSent = true
		return p.completeFrame(now, f, Frame{Kind: HandOver, Successor: p.successor}), true
	case now.Sub(f.lastFrameAt) >= p.options.Heartbeat:
		return p.heartbeat(now, f), true
	}
	return Frame{}, false
}

// completeFrame sets the fields that all kinds of frames have, and the time of the follower's last
// frame.
func (p *Publisher) completeFrame(now time.Time, f *follower, frame Frame) Frame {
	f.lastFrameAt = now
	frame.Term, frame.Sequence, frame.Newest = p.term, f.sent, p.newest
	return frame
}

// addDigest adds the digest of the current state to a frame whose Sequence is the newest change.
func (p *Publisher) addDigest(frame *Frame) {
	frame.HasDigest, frame.Digest = true, p.state.digest
}

// heartbeat returns a heartbeat. It has a digest unless the follower needs a snapshot: Next sends
// a heartbeat only if no changes are left to send, so that its Sequence is the newest change.
func (p *Publisher) heartbeat(now time.Time, f *follower) Frame {
	frame := p.completeFrame(now, f, Frame{Kind: Heartbeat})
	if !f.needsSnapshot {
		p.addDigest(&frame)
	}
	return frame
}

// beginSnapshot begins to send the current state to a follower. A list of the entries is a consistent
// copy, since values are never modified in place.
func (p *Publisher) beginSnapshot(now time.Time, f *follower) {
	f.snapshot, f.nextPart, f.needsSnapshot = p.state.entries(), 0, false
	f.sent, f.lastSnapshotAt = p.newest, now
	f.snapshotsBegun++
}

// snapshotPart returns the next part of the snapshot that is being sent. If, by the time it is
// complete, the changes made since it was begun aren't all kept, Next begins another one.
func (p *Publisher) snapshotPart(now time.Time, f *follower) Frame {
	count := entriesThatFit(f.snapshot)
	last := count == len(f.snapshot)
	frame := p.completeFrame(now, f, Frame{Kind: Snapshot, Part: f.nextPart, Entries: f.snapshot[:count], Last: last})
	f.nextPart++
	f.snapshot = f.snapshot[count:]
	if last {
		f.snapshot = nil
		f.lastDigestSequence = f.sent
		if f.sent == p.newest {
			p.addDigest(&frame)
		}
	}
	return frame
}

// changes returns a frame with the next changes for a follower. Only a frame that ends with the newest
// change can have a digest, since no earlier state is kept.
func (p *Publisher) changes(now time.Time, f *follower) Frame {
	pending := p.recent[uint64(len(p.recent))-(p.newest-f.sent):]
	count := entriesThatFit(pending)
	f.sent += uint64(count)
	frame := p.completeFrame(now, f, Frame{Kind: Changes, Entries: slices.Clone(pending[:count])})
	if f.sent == p.newest && f.sent-f.lastDigestSequence >= digestInterval {
		p.addDigest(&frame)
		f.lastDigestSequence = f.sent
	}
	return frame
}

// entriesThatFit returns how many of the first entries fit into one frame, but at least one if there
// are any.
func entriesThatFit(entries []Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if i > 0 && size > maxFrameBytes {
			return i
		}
	}
	return len(entries)
}
