package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/standby"
)

// standbyNetwork carries the warm state from the leader to its followers, with faults. It is nil in
// worlds without replication.
type standbyNetwork struct {
	w *World
	random
	counts         eventCounts
	lostShare      float64 // share of frames that are lost
	duplicateShare float64 // share of frames that are delivered twice
	extraDelay     time.Duration
	laggingUntil   time.Time                   // no follower is sent anything until then
	streams        map[*node]map[*node]*stream // by leader and follower
}

// stream is a connection from a leader to a follower.
type stream struct {
	engine              *core.Engine // the leader's
	followerIncarnation int          // of the follower
	lagUntil            time.Time    // the follower's disk or network is slow until then
}

// Settings of the replication in simulated worlds. The bounds are small, so that they are reached.
const (
	simulatedQueueBound       = 60
	simulatedHeartbeat        = 500 * time.Millisecond
	simulatedSnapshotInterval = 2 * time.Second
	maxWarmChanges            = 500
)

func newStandbyNetwork(w *World) *standbyNetwork {
	s := &standbyNetwork{
		w: w, random: newRandom(w.options.Seed, standbyStream), counts: eventCounts{},
		streams: map[*node]map[*node]*stream{},
	}
	if w.options.Faults {
		s.lostShare, s.duplicateShare, s.extraDelay = 0.02, 0.05, 300*time.Millisecond
	}
	return s
}

func (s *standbyNetwork) count(what string, n int) { s.counts[what] += n }

// standbyTimeouts returns a standby's timeouts, derived like in the real controller.
func (w *World) standbyTimeouts() standby.Timeouts {
	return standby.TimeoutsFor(w.options.HeartbeatInterval, simulatedSnapshotInterval)
}

// connect returns the stream from a leader to a follower. If the leader's engine or the follower's
// process is a new one, it starts a new stream from the follower's current position.
func (s *standbyNetwork) connect(leader, follower *node) *stream {
	c := s.streams[leader][follower]
	if c != nil && c.engine == leader.engine && c.followerIncarnation == follower.incarnation {
		return c
	}
	c = &stream{engine: leader.engine, followerIncarnation: follower.incarnation}
	if s.streams[leader] == nil {
		s.streams[leader] = map[*node]*stream{}
	}
	s.streams[leader][follower] = c
	leader.publisher.AddFollower(follower.name, follower.standby.Position())
	return c
}

// deliver delivers a frame to a follower after a delay, and then its acknowledgement to the leader,
// together with a request for a snapshot if the follower needs one.
func (s *standbyNetwork) deliver(leader, follower *node, f standby.Frame) {
	w, engine, leaderIncarnation, incarnation := s.w, leader.engine, leader.incarnation, follower.incarnation
	w.after(s.between(time.Millisecond, 20*time.Millisecond+s.extraDelay), func() {
		follower.run(incarnation, func() {
			verdict := follower.standby.Receive(follower.local(), f)
			s.count("frames "+verdict.String(), 1)
			resync := verdict.NeedsSnapshot() && follower.standby.MayResync(follower.local())
			at := follower.standby.Position()
			w.after(s.between(time.Millisecond, 20*time.Millisecond), func() {
				leader.run(leaderIncarnation, func() {
					if leader.engine != engine || leader.publisher == nil {
						return
					}
					leader.publisher.Acknowledge(follower.name, at)
					if resync {
						leader.publisher.AddFollower(follower.name, at)
					}
				})
			})
		})
	})
}
