package standby

import (
	"slices"
	"time"
)

const (
	// maxFrameBytes bounds the entries of a frame, unless a single one is larger.
	maxFrameBytes = 48 << 10
	// digestInterval is after how many changes the next frame that can have a digest has one.
	digestInterval = 64
)

// Next returns the frame that is to be sent to a follower now; false if there is none.
func (p *Publisher) Next(now time.Time, name string) (frame Frame, ok bool) {
	f := p.followers[name]
	if f == nil {
		return Frame{}, false
	}
	if f.snapshot == nil && !f.needsSnapshot && !p.keepsAfter(f.sent) {
		f.needsSnapshot = true // it has fallen too far behind
	}
	switch {
	case f.snapshot != nil:
		return p.snapshotPart(now, f), true
	case f.needsSnapshot && (f.snapshotAt.IsZero() || now.Sub(f.snapshotAt) >= p.options.SnapshotInterval):
		p.beginSnapshot(now, f)
		return p.snapshotPart(now, f), true
	case !f.needsSnapshot && f.sent < p.newest:
		return p.changes(now, f), true
	case p.successor != "" && !f.handOverSent:
		f.handOverSent = true
		return p.frame(now, f, Frame{Kind: HandOver, Successor: p.successor}), true
	case now.Sub(f.frameAt) >= p.options.Heartbeat:
		return p.heartbeat(now, f), true
	}
	return Frame{}, false
}

// frame completes a frame with the fields that all kinds have, and notes that it is sent now.
func (p *Publisher) frame(now time.Time, f *follower, frame Frame) Frame {
	f.frameAt = now
	frame.Term, frame.Sequence, frame.Newest = p.term, f.sent, p.newest
	return frame
}

// addDigest adds the digest of the present state to a frame as of the newest change.
func (p *Publisher) addDigest(frame *Frame) {
	frame.HasDigest, frame.Digest = true, p.state.digest
}

// heartbeat returns a heartbeat. It has a digest if the follower was sent all changes, as there is
// otherwise nothing to send.
func (p *Publisher) heartbeat(now time.Time, f *follower) Frame {
	frame := p.frame(now, f, Frame{Kind: Heartbeat})
	if !f.needsSnapshot {
		p.addDigest(&frame)
	}
	return frame
}

// beginSnapshot begins to send the present state. It stays as it is while it is sent: values are
// never modified in place, so that a list of them is enough.
func (p *Publisher) beginSnapshot(now time.Time, f *follower) {
	f.snapshot, f.nextPart, f.needsSnapshot = p.state.entries(), 0, false
	f.sent, f.snapshotAt = p.newest, now
	f.snapshots++
}

// snapshotPart returns the next part of the snapshot that is being sent. If the changes made since it
// was begun aren't kept any more when it is complete, Next begins another one.
func (p *Publisher) snapshotPart(now time.Time, f *follower) Frame {
	count := entriesOfFrame(f.snapshot)
	last := count == len(f.snapshot)
	frame := p.frame(now, f, Frame{Kind: Snapshot, Part: f.nextPart, Entries: f.snapshot[:count], Last: last})
	f.nextPart++
	f.snapshot = f.snapshot[count:]
	if last {
		f.snapshot = nil
		f.lastDigest = f.sent
		if f.sent == p.newest {
			p.addDigest(&frame)
		}
	}
	return frame
}

// changes returns the next changes for a follower. Only a frame that brings it up to the newest
// change can have a digest, since no earlier state is kept.
func (p *Publisher) changes(now time.Time, f *follower) Frame {
	pending := p.recent[uint64(len(p.recent))-(p.newest-f.sent):]
	count := entriesOfFrame(pending)
	f.sent += uint64(count)
	frame := p.frame(now, f, Frame{Kind: Changes, Entries: slices.Clone(pending[:count])})
	if f.sent == p.newest && f.sent-f.lastDigest >= digestInterval {
		p.addDigest(&frame)
		f.lastDigest = f.sent
	}
	return frame
}

// entriesOfFrame returns how many of some entries make up the next frame: as many as fit, and one
// at least if there are any.
func entriesOfFrame(entries []Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if i > 0 && size > maxFrameBytes {
			return i
		}
	}
	return len(entries)
}
