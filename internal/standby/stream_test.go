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
	return Timeouts{Recent: 11 * time.Second, ClaimDelay: 400 * time.Millisecond, HandOver: time.Second, Resync: time.Second}
}

// lossyStream is a stream whose frames are delayed, lost, doubled and come out of order.
type lossyStream struct {
	rng    *rand.Rand
	frames []Frame
	cut    float64 // share of frames lost
	mixed  bool    // frames overtake each other and come twice
}

func (l *lossyStream) send(f Frame) {
	if l.rng.Float64() < l.cut {
		return
	}
	l.frames = append(l.frames, f)
	if l.mixed && l.rng.IntN(5) == 0 {
		l.frames = append(l.frames, f)
	}
}

func (l *lossyStream) receive() (Frame, bool) {
	if len(l.frames) == 0 {
		return Frame{}, false
	}
	i := 0
	if l.mixed {
		i = l.rng.IntN(min(len(l.frames), 4))
	}
	f := l.frames[i]
	l.frames = slices.Delete(l.frames, i, i+1)
	return f, true
}

// pair is a leader and a follower with a stream between them.
type pair struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	publisher *Publisher
	follower  *Standby
	stream    *lossyStream
	history   map[Position]uint64 // digest of the leader's state at each position
	snapshots []time.Time         // when each was begun
}

func newPair(t *testing.T, seed uint64) *pair {
	rng := rand.New(rand.NewPCG(seed, 3))
	p := &pair{t: t, rng: rng, now: start, follower: New("b", testTimeouts()),
		stream: &lossyStream{rng: rng}, history: map[Position]uint64{}}
	p.lead(1)
	return p
}

// lead begins a term of the leader.
func (p *pair) lead(term uint64) {
	p.publisher = NewPublisher(term, testOptions())
	p.snapshots = nil // the pace is each leader's own
	p.publisher.Follow("b", p.follower.Position())
	p.note()
}

func (p *pair) note() {
	p.history[Position{p.publisher.term, p.publisher.newest}] = p.publisher.state.digest
}

func (p *pair) change(n int) {
	for range n {
		e := Entry{Key: fmt.Sprint("k", p.rng.IntN(30))}
		if p.rng.IntN(4) > 0 {
			e.Value = fmt.Append(nil, p.rng.IntN(1000))
		}
		p.publisher.Publish([]Entry{e})
		p.note()
	}
}

// pump moves frames from the leader to the follower, and checks after each that the copy is
// exactly what the leader had at that position, or isn't taken for complete.
func (p *pair) pump() {
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
		verdict := p.follower.Receive(p.now, f)
		if at := p.follower.Position(); at != (Position{}) {
			if want, known := p.history[at]; !known || want != p.follower.replica.state.digest {
				p.t.Fatalf("the copy at %+v isn't what the leader had (known %v)", at, known)
			}
		}
		p.publisher.Acknowledge("b", p.follower.Position())
		if verdict.Lost() && p.follower.MayResync(p.now) {
			p.publisher.Follow("b", p.follower.Position())
		}
	}
}

// somethingHappens lets time pass, and has the leader and the connection change by chance.
func (p *pair) somethingHappens() {
	p.now = p.now.Add(time.Duration(p.rng.IntN(400)) * time.Millisecond)
	p.change(p.rng.IntN(12))
	if p.rng.IntN(30) == 0 {
		p.change(testOptions().QueueBound + 5) // more than is kept for one that is behind
	}
	if p.rng.IntN(40) == 0 {
		p.lead(p.publisher.term + 1)
	}
	if p.rng.IntN(40) == 0 { // the connection is made anew
		p.publisher.Leave("b")
		p.publisher.Follow("b", p.follower.Position())
	}
}

// TestLossyStream plays seeded streams that are cut, doubled and reordered, with changes of
// term: whatever comes, the copy is the leader's state at its position or none, and once the
// stream is sound again it catches up. Snapshots are paced.
func TestLossyStream(t *testing.T) {
	lost := uint64(0)
	for seed := range uint64(300) {
		p := newPair(t, seed)
		p.stream.cut, p.stream.mixed = float64(seed%4)/10, seed%2 == 0
		for range 120 {
			p.somethingHappens()
			p.pump()
		}
		lost += p.follower.Counts().Gaps
		for i := 1; i < len(p.snapshots); i++ {
			if gap := p.snapshots[i].Sub(p.snapshots[i-1]); gap < testOptions().SnapshotInterval {
				t.Fatalf("seed %d: snapshots %s apart", seed, gap)
			}
		}
		p.stream.cut, p.stream.mixed = 0, false
		for range 40 {
			p.now = p.now.Add(400 * time.Millisecond)
			p.pump()
			if p.follower.State() != Following && p.follower.MayResync(p.now) {
				p.publisher.Follow("b", p.follower.Position())
			}
		}
		if p.follower.State() != Following || p.follower.Position() != (Position{p.publisher.term, p.publisher.newest}) || !p.publisher.CaughtUp("b") {
			t.Fatalf("seed %d: %v at %+v, the leader at %d", seed, p.follower.State(), p.follower.Position(), p.publisher.newest)
		}
	}
	if lost < 300 {
		t.Errorf("only %d gaps: the streams did too little to prove anything", lost)
	}
}

// A follower that is too far behind gets a snapshot, but no more often than the interval:
// meanwhile it hears only signs of life, and the leader keeps no more than its bound.
func TestSnapshotsArePaced(t *testing.T) {
	p := newPair(t, 1)
	p.change(5)
	p.pump()
	first := p.publisher.Snapshots("b")
	for range 20 {
		p.now = p.now.Add(100 * time.Millisecond)
		p.change(testOptions().QueueBound * 2)
		if kept := len(p.publisher.recent); kept > testOptions().QueueBound {
			t.Fatalf("the leader keeps %d changes", kept)
		}
		p.pump()
	}
	if n := p.publisher.Snapshots("b") - first; n < 1 || n > 3 {
		t.Fatalf("%d snapshots within 2 s", n)
	}
}

// A copy that differs from the leader's state, though no change is missing, is found out by
// the digest and dropped.
func TestDigestFindsADifference(t *testing.T) {
	p := newPair(t, 2)
	p.change(20)
	p.pump()
	p.follower.replica.state.set(Entry{Key: "k1", Value: []byte("flipped")})
	p.now = p.now.Add(time.Second)
	f, ok := p.publisher.Next(p.now, "b")
	if !ok || !f.HasDigest {
		t.Fatalf("no digest after a second without changes: %+v", f)
	}
	if verdict := p.follower.Receive(p.now, f); verdict != Mismatch || p.follower.State() != CatchingUp || p.follower.Position() != (Position{}) {
		t.Fatalf("%v, %v", verdict, p.follower.State())
	}
}

// A snapshot that is cut midway leaves no half of a state behind.
func TestSnapshotCutMidway(t *testing.T) {
	p := newPair(t, 3)
	big := make([]byte, frameBytes/2+1)
	for i := range 9 {
		p.publisher.Publish([]Entry{{Key: fmt.Sprint("big", i), Value: append([]byte{byte(i)}, big...)}})
		p.note()
	}
	p.publisher.Follow("b", Position{})
	var parts []Frame
	for f, ok := p.publisher.Next(p.now, "b"); ok; f, ok = p.publisher.Next(p.now, "b") {
		parts = append(parts, f)
	}
	if len(parts) < 5 {
		t.Fatalf("%d parts", len(parts))
	}
	for _, f := range parts[:3] {
		p.follower.Receive(p.now, f)
	}
	if p.follower.Position() != (Position{}) || p.follower.State() == Following {
		t.Fatal("half a snapshot counts as a copy")
	}
	if verdict := p.follower.Receive(p.now, parts[4]); !verdict.Lost() {
		t.Fatalf("a missing part isn't noticed: %v", verdict)
	}
	for _, f := range parts {
		p.follower.Receive(p.now, f)
	}
	if p.follower.State() != Following || p.follower.replica.state.digest != p.publisher.state.digest {
		t.Fatalf("%v after the whole snapshot", p.follower.State())
	}
}
