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

// lossyStream is a stream whose frames may be delayed, lost, duplicated and reordered.
type lossyStream struct {
	rng    *rand.Rand
	frames []Frame
	loss   float64 // share of frames that are lost
	mixed  bool    // frames are reordered and duplicated
}

// send takes in a frame from the leader.
func (l *lossyStream) send(f Frame) {
	if l.rng.Float64() < l.loss {
		return
	}
	l.frames = append(l.frames, f)
	if l.mixed && l.rng.IntN(5) == 0 {
		l.frames = append(l.frames, f)
	}
}

// receive returns the next frame for the follower; false if there is none.
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
	snapshots []time.Time         // when each snapshot of the present term was begun
}

// newPair returns a leader in term 1 and a follower without a copy.
func newPair(t *testing.T, seed uint64) *pair {
	rng := rand.New(rand.NewPCG(seed, 3))
	p := &pair{t: t, rng: rng, now: start, follower: New("b", testTimeouts()),
		stream: &lossyStream{rng: rng}, history: map[Position]uint64{}}
	p.lead(1)
	return p
}

// lead begins a new term of the leader.
func (p *pair) lead(term uint64) {
	p.publisher = NewPublisher(term, testOptions())
	p.snapshots = nil // the pace is each leader's own
	p.publisher.Follow("b", p.follower.Position())
	p.note()
}

// note notes the digest of the leader's present state.
func (p *pair) note() {
	p.history[Position{p.publisher.term, p.publisher.newest}] = p.publisher.state.digest
}

// change publishes n random changes.
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

// pump moves frames from the leader to the follower until there are none, and checks after each that
// the copy is exactly what the leader had at that position, or doesn't count as complete.
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
		outcome := p.follower.Receive(p.now, f)
		if at := p.follower.Position(); at != (Position{}) {
			if want, known := p.history[at]; !known || want != p.follower.replica.state.digest {
				p.t.Fatalf("the copy at %+v isn't what the leader had (known %v)", at, known)
			}
		}
		p.publisher.Acknowledge("b", p.follower.Position())
		if outcome.NeedsSnapshot() && p.follower.MayResync(p.now) {
			p.publisher.Follow("b", p.follower.Position())
		}
	}
}

// step lets time pass, makes changes and, by chance, a new term or a new connection.
func (p *pair) step() {
	p.now = p.now.Add(time.Duration(p.rng.IntN(400)) * time.Millisecond)
	p.change(p.rng.IntN(12))
	if p.rng.IntN(30) == 0 {
		p.change(testOptions().QueueBound + 5) // more than the leader keeps
	}
	if p.rng.IntN(40) == 0 {
		p.lead(p.publisher.term + 1)
	}
	if p.rng.IntN(40) == 0 { // a new connection
		p.publisher.Leave("b")
		p.publisher.Follow("b", p.follower.Position())
	}
}
