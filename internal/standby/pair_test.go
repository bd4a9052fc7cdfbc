package standby

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(5000, 0)

func testOptions() Options {
	return Options{QueueBound: 40, SnapshotInterval: time.Second, Heartbeat: 500 * time.Millisecond}
}

func testTimeouts() Timeouts {
	return Timeouts{
		Freshness: 11 * time.Second, ClaimDelay: 400 * time.Millisecond,
		HandOverDelay: time.Second, ResyncInterval: time.Second,
	}
}

// lossyStream is a stream that may delay, lose, duplicate and reorder frames.
type lossyStream struct {
	rng     *rand.Rand
	frames  []Frame
	loss    float64 // share of frames that are lost
	reorder bool    // whether frames are reordered and duplicated
}

// send passes a frame from the leader to the stream.
func (l *lossyStream) send(f Frame) {
	if l.rng.Float64() < l.loss {
		return
	}
	l.frames = append(l.frames, f)
	if l.reorder && l.rng.IntN(5) == 0 {
		l.frames = append(l.frames, f)
	}
}

// receive returns the next frame for the follower, or false if there is none.
func (l *lossyStream) receive() (Frame, bool) {
	if len(l.frames) == 0 {
		return Frame{}, false
	}
	i := 0
	if l.reorder {
		i = l.rng.IntN(min(len(l.frames), 4))
	}
	f := l.frames[i]
	l.frames = slices.Delete(l.frames, i, i+1)
	return f, true
}

// pair is a leader and a follower, with a stream between them.
type pair struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	publisher *Publisher
	follower  *Standby
	stream    *lossyStream
	digests   map[Position]uint64 // digest of the leader's state at each position
	snapshots []time.Time         // when each snapshot of the current term was begun
}

// newPair returns a leader in term 1 and a follower without a copy.
func newPair(t *testing.T, seed uint64) *pair {
	rng := rand.New(rand.NewPCG(seed, 3))
	p := &pair{t: t, rng: rng, now: start, follower: New("b", testTimeouts()),
		stream: &lossyStream{rng: rng}, digests: map[Position]uint64{}}
	p.beginTerm(1)
	return p
}

// beginTerm replaces the leader by that of a new term.
func (p *pair) beginTerm(term uint64) {
	p.publisher = NewPublisher(term, testOptions())
	p.snapshots = nil // each leader limits its own snapshots
	p.publisher.AddFollower("b", p.follower.Position())
	p.recordDigest()
}

// recordDigest records the digest of the leader's current state.
func (p *pair) recordDigest() {
	p.digests[Position{p.publisher.term, p.publisher.newest}] = p.publisher.state.digest
}

// publishChanges publishes n random changes.
func (p *pair) publishChanges(n int) {
	for range n {
		e := Entry{Key: fmt.Sprint("k", p.rng.IntN(30))}
		if p.rng.IntN(4) > 0 {
			e.Value = fmt.Append(nil, p.rng.IntN(1000))
		}
		p.publisher.Publish([]Entry{e})
		p.recordDigest()
	}
}

// deliverFrames moves frames from the leader to the follower until there are none left. After each, it
// checks that the copy equals the leader's state at the copy's position, or isn't complete.
func (p *pair) deliverFrames() {
	for {
		before := p.publisher.Snapshots("b")
		f, ok := p.publisher.Next(p.now, "b")
		if !ok {
			break
		}
		if p.publisher.Snapshots("b") > before {
			p.snapshots = append(p.snapshots, p.now)
		}
		p.stream.send(f)
	}
	for f, ok := p.stream.receive(); ok; f, ok = p.stream.receive() {
		outcome := p.follower.Receive(p.now, f)
		if at := p.follower.Position(); at != (Position{}) {
			if want, known := p.digests[at]; !known || want != p.follower.replica.state.digest {
				p.t.Fatalf("the copy at %+v differs from the leader's state (position known: %v)", at, known)
			}
		}
		p.publisher.Acknowledge("b", p.follower.Position())
		if outcome.NeedsSnapshot() && p.follower.MayResync(p.now) {
			p.publisher.AddFollower("b", p.follower.Position())
		}
	}
}

// step advances the time, publishes changes and, at random, begins a new term or a new connection.
func (p *pair) step() {
	p.now = p.now.Add(time.Duration(p.rng.IntN(400)) * time.Millisecond)
	p.publishChanges(p.rng.IntN(12))
	if p.rng.IntN(30) == 0 {
		p.publishChanges(testOptions().QueueBound + 5) // more than the leader keeps
	}
	if p.rng.IntN(40) == 0 {
		p.beginTerm(p.publisher.term + 1)
	}
	if p.rng.IntN(40) == 0 { // a new connection
		p.publisher.RemoveFollower("b")
		p.publisher.AddFollower("b", p.follower.Position())
	}
}
