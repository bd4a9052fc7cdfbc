package standby

import (
	"slices"
	"time"
)

// Options are the settings of the stream.
type Options struct {
	// QueueBound is the largest number of changes that a leader keeps for followers that are behind. A
	// follower that is further behind is sent a snapshot.
	QueueBound int
	// SnapshotInterval is the shortest time between two snapshots to one follower.
	SnapshotInterval time.Duration
	// Heartbeat is the longest time between two frames to one follower.
	Heartbeat time.Duration
}

// Publisher is the leader's end of the stream in one term. It numbers the changes of the warm state,
// starting at 1, and decides which frame to send next to each follower. It never waits for a follower.
// It isn't safe for concurrent use.
type Publisher struct {
	term      uint64
	options   Options
	state     entrySet
	newest    uint64  // number of the newest change
	recent    []Entry // the newest changes, at most QueueBound; the number of the last one is newest
	followers map[string]*follower
	successor string // follower that ChooseSuccessor has chosen; empty if none
}

// follower is the leader's state for one follower.
type follower struct {
	sent               uint64    // number of the newest change sent, also in a snapshot
	acknowledged       uint64    // number of the newest change that the follower is known to have
	needsSnapshot      bool      // a snapshot has to be sent before any changes
	snapshot           []Entry   // entries left to send of a snapshot; nil if none is being sent
	nextPart           int       // number of the snapshot's next part
	lastSnapshotAt     time.Time // when the last snapshot was begun
	snapshotsBegun     int
	lastFrameAt        time.Time
	lastDigestSequence uint64 // sequence number from which digestInterval counts
	handOverSent       bool
}

// NewPublisher returns the Publisher of a term, with an empty state and no followers.
func NewPublisher(term uint64, options Options) *Publisher {
	return &Publisher{term: term, options: options, state: newEntrySet(), followers: map[string]*follower{}}
}

// Publish applies changes to the state and numbers them. An entry that changes nothing gets no number.
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

// Snapshot returns the whole state as one frame.
func (p *Publisher) Snapshot() Frame {
	return p.state.snapshot(Position{Term: p.term, Sequence: p.newest})
}

// Newest returns the number of the newest change.
func (p *Publisher) Newest() uint64 { return p.newest }

// AddFollower starts or restarts serving a follower from its position. If the position is of another term,
// or the kept changes don't continue from it, the follower is sent a snapshot first.
func (p *Publisher) AddFollower(name string, from Position) {
	f := p.followers[name]
	if f == nil {
		f = &follower{}
		p.followers[name] = f
	}
	f.snapshot, f.nextPart, f.handOverSent = nil, 0, false
	f.sent, f.acknowledged, f.lastDigestSequence = from.Sequence, from.Sequence, from.Sequence
	f.needsSnapshot = from.Term != p.term || from.Sequence > p.newest || !p.keepsAfter(from.Sequence)
	if f.needsSnapshot {
		f.acknowledged = 0
	}
	f.lastFrameAt = time.Time{}
}

// RemoveFollower stops serving a follower. The time of its last snapshot is kept, so that a follower which
// reconnects at once doesn't get snapshots more often.
func (p *Publisher) RemoveFollower(name string) {
	if f := p.followers[name]; f != nil {
		f.acknowledged, f.snapshot, f.needsSnapshot = 0, nil, true
	}
}

// keepsAfter reports whether all changes after a sequence number are still kept.
func (p *Publisher) keepsAfter(sequence uint64) bool {
	return p.newest-sequence <= uint64(len(p.recent))
}

// Acknowledge records which changes a follower has. It ignores a position of another term, or one
// after the newest change.
func (p *Publisher) Acknowledge(name string, at Position) {
	if f := p.followers[name]; f != nil && at.Term == p.term && at.Sequence <= p.newest {
		f.acknowledged = max(f.acknowledged, at.Sequence)
	}
}

// Followers returns the number of the newest change that each follower has acknowledged, by name.
func (p *Publisher) Followers() map[string]uint64 {
	acknowledged := make(map[string]uint64, len(p.followers))
	for name, f := range p.followers {
		acknowledged[name] = f.acknowledged
	}
	return acknowledged
}

// CaughtUp reports whether a follower has acknowledged all changes.
func (p *Publisher) CaughtUp(name string) bool {
	f := p.followers[name]
	return f != nil && f.hasState() && f.acknowledged == p.newest
}

// hasState reports whether the follower was sent the whole state, so that it needs only changes.
func (f *follower) hasState() bool { return !f.needsSnapshot && f.snapshot == nil }

// Snapshots returns the number of snapshots begun for a follower.
func (p *Publisher) Snapshots(name string) int {
	if f := p.followers[name]; f != nil {
		return f.snapshotsBegun
	}
	return 0
}

// ChooseSuccessor chooses the successor of a leader that is about to give up its lease: the candidate that
// has acknowledged the most changes of this term, or the first of these by name. It returns the
// successor's name, which Next then sends to all followers, or an empty string if no candidate has
// any state of this term.
func (p *Publisher) ChooseSuccessor(candidates []string) string {
	var best *follower
	for _, name := range slices.Sorted(slices.Values(candidates)) {
		f := p.followers[name]
		if f == nil || !f.hasState() || f.acknowledged == 0 {
			continue
		}
		if best == nil || f.acknowledged > best.acknowledged {
			best, p.successor = f, name
		}
	}
	return p.successor
}
