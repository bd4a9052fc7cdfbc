package standby

import (
	"slices"
	"time"
)

// Options bound the stream.
type Options struct {
	// QueueBound is how many changes a leader keeps for followers that are behind. One
	// that is further behind gets a snapshot.
	QueueBound int
	// SnapshotInterval is how much time lies between two snapshots to one follower at the
	// least.
	SnapshotInterval time.Duration
	// Heartbeat is how often a follower hears of its leader at the least.
	Heartbeat time.Duration
}

const (
	// frameBytes is about how large a frame may get.
	frameBytes = 48 << 10
	// digestEvery is after how many changes at the most a frame has a digest.
	digestEvery = 64
)

// Publisher is the leader's end of the stream: it numbers the changes of its term, and says
// for each follower what comes next. It never waits for a follower. It isn't safe for
// concurrent use.
type Publisher struct {
	term      uint64
	options   Options
	state     table
	newest    uint64  // sequence number of the newest change
	recent    []Entry // the newest changes, the last of them numbered newest
	followers map[string]*follower
	successor string // once the leader hands over
}

// follower is what the leader knows of a follower.
type follower struct {
	sent         uint64 // the newest change sent to it
	acknowledged uint64
	parts        []Entry // what is left of a snapshot under way
	part         int
	needsAll     bool // it needs a snapshot
	snapshotAt   time.Time
	snapshots    int
	sentAt       time.Time
	lastDigest   uint64 // sequence number of its last frame with a digest
	toldHandOver bool
}

// NewPublisher makes the leader's end of the stream of a term.
func NewPublisher(term uint64, options Options) *Publisher {
	return &Publisher{term: term, options: options, state: newTable(), followers: map[string]*follower{}}
}

// Publish numbers changes of the state. What changes nothing gets no number.
func (p *Publisher) Publish(entries []Entry) {
	for _, e := range entries {
		if !p.state.set(e) {
			continue
		}
		p.newest++
		p.recent = append(p.recent, e)
	}
	if excess := len(p.recent) - p.options.QueueBound; excess > 0 {
		p.recent = slices.Clone(p.recent[excess:])
	}
}

// Snapshot is the whole state as one frame.
func (p *Publisher) Snapshot() Frame {
	return Frame{
		Kind: Snapshot, Term: p.term, Sequence: p.newest, Newest: p.newest, Entries: p.state.entries(),
		Last: true, HasDigest: true, Digest: p.state.digest,
	}
}

// Followers lists how far each follower has acknowledged, by name.
func (p *Publisher) Followers() map[string]uint64 {
	out := make(map[string]uint64, len(p.followers))
	for name, f := range p.followers {
		out[name] = f.acknowledged
	}
	return out
}

// Newest is the number of the newest change.
func (p *Publisher) Newest() uint64 { return p.newest }

// Follow has a follower served from a position on. One that has nothing of this term, or is
// too far behind, gets a snapshot first.
func (p *Publisher) Follow(name string, from Position) {
	f := p.followers[name]
	if f == nil {
		f = &follower{}
		p.followers[name] = f
	}
	f.parts, f.part, f.toldHandOver = nil, 0, false
	f.sent, f.acknowledged, f.lastDigest = from.Sequence, from.Sequence, from.Sequence
	f.needsAll = from.Term != p.term || from.Sequence > p.newest || !p.keeps(from.Sequence)
	if f.needsAll {
		f.acknowledged = 0
	}
	f.sentAt = time.Time{}
}

// Leave forgets that a follower is served. When it had its last snapshot is remembered.
func (p *Publisher) Leave(name string) {
	if f := p.followers[name]; f != nil {
		f.acknowledged, f.parts, f.needsAll = 0, nil, true
	}
}

// keeps tells whether all changes after a number are still kept.
func (p *Publisher) keeps(sequence uint64) bool {
	return p.newest-sequence <= uint64(len(p.recent))
}

// Acknowledge notes what a follower has.
func (p *Publisher) Acknowledge(name string, at Position) {
	if f := p.followers[name]; f != nil && at.Term == p.term && at.Sequence <= p.newest {
		f.acknowledged = max(f.acknowledged, at.Sequence)
	}
}

// Snapshots counts the snapshots begun for a follower.
func (p *Publisher) Snapshots(name string) int {
	if f := p.followers[name]; f != nil {
		return f.snapshots
	}
	return 0
}

// Next is the next frame for a follower; false if there is none for now.
func (p *Publisher) Next(now time.Time, name string) (Frame, bool) {
	f := p.followers[name]
	if f == nil {
		return Frame{}, false
	}
	if f.parts == nil && !f.needsAll && !p.keeps(f.sent) {
		f.needsAll = true // it has fallen behind
	}
	switch {
	case f.parts != nil:
		return p.snapshotPart(now, f), true
	case f.needsAll && (f.snapshotAt.IsZero() || now.Sub(f.snapshotAt) >= p.options.SnapshotInterval):
		p.beginSnapshot(now, f)
		return p.snapshotPart(now, f), true
	case !f.needsAll && f.sent < p.newest:
		return p.changes(now, f), true
	case p.successor != "" && !f.toldHandOver:
		f.toldHandOver = true
		return p.stamp(now, f, Frame{Kind: HandOver, Successor: p.successor}), true
	case now.Sub(f.sentAt) >= p.options.Heartbeat:
		return p.heartbeat(now, f), true
	}
	return Frame{}, false
}

// stamp fills in what every frame holds.
func (p *Publisher) stamp(now time.Time, f *follower, frame Frame) Frame {
	f.sentAt = now
	frame.Term, frame.Sequence, frame.Newest = p.term, f.sent, p.newest
	return frame
}

// heartbeat is a sign of life. With nothing left to send, it has a digest.
func (p *Publisher) heartbeat(now time.Time, f *follower) Frame {
	frame := p.stamp(now, f, Frame{Kind: Heartbeat})
	if !f.needsAll {
		frame.HasDigest, frame.Digest = true, p.state.digest
	}
	return frame
}

// beginSnapshot takes the state as it is now. Values are never changed in place, so that it
// is enough to take the list of them.
func (p *Publisher) beginSnapshot(now time.Time, f *follower) {
	f.parts, f.part, f.needsAll = p.state.entries(), 0, false
	f.sent, f.snapshotAt = p.newest, now
	f.snapshots++
}

// snapshotPart takes the next part off a snapshot. If the changes since it was begun aren't
// kept any more once it is sent, the next frame begins another one.
func (p *Publisher) snapshotPart(now time.Time, f *follower) Frame {
	n := fitting(f.parts)
	frame := p.stamp(now, f, Frame{Kind: Snapshot, Part: f.part, Entries: f.parts[:n], Last: n == len(f.parts)})
	f.part++
	f.parts = f.parts[n:]
	if frame.Last {
		f.parts = nil
		f.lastDigest = f.sent
		if f.sent == p.newest {
			frame.HasDigest, frame.Digest = true, p.state.digest
		}
	}
	return frame
}

// changes takes the next changes for a follower. Only a frame that brings it up to the
// newest change can have a digest, since the state itself is kept as of that change alone.
func (p *Publisher) changes(now time.Time, f *follower) Frame {
	pending := p.recent[uint64(len(p.recent))-(p.newest-f.sent):]
	n := fitting(pending)
	f.sent += uint64(n)
	frame := p.stamp(now, f, Frame{Kind: Changes, Entries: slices.Clone(pending[:n])})
	if f.sent == p.newest && f.sent-f.lastDigest >= digestEvery {
		frame.HasDigest, frame.Digest = true, p.state.digest
		f.lastDigest = f.sent
	}
	return frame
}

// fitting is how many of the entries fit into a frame, one at the least if there are any.
func fitting(entries []Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if i > 0 && size > frameBytes {
			return i
		}
	}
	return len(entries)
}

// HandOver has all followers told that the leader is about to resign, and returns the name
// of its successor: the one of the given followers that has acknowledged the most. Empty if
// none has the state of this term.
func (p *Publisher) HandOver(candidates []string) string {
	var best *follower
	for _, name := range slices.Sorted(slices.Values(candidates)) {
		f := p.followers[name]
		if f == nil || f.needsAll || f.parts != nil || f.acknowledged == 0 {
			continue
		}
		if best == nil || f.acknowledged > best.acknowledged {
			best, p.successor = f, name
		}
	}
	return p.successor
}

// CaughtUp tells whether a follower has acknowledged all changes.
func (p *Publisher) CaughtUp(name string) bool {
	f := p.followers[name]
	return f != nil && !f.needsAll && f.parts == nil && f.acknowledged == p.newest
}
