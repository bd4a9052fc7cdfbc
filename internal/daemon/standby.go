package daemon

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/standby"
)

// This file joins the warm standby to the process: as a leader this node streams its warm
// state, as a follower it keeps a copy, and at a takeover it goes on from that.

// standbyHeartbeat is how often a follower hears of its leader at the least.
const standbyHeartbeat = 500 * time.Millisecond

// warmChangesAtOnce is how many changes are taken from the engine at a time, so that the
// engine isn't held up for long.
const warmChangesAtOnce = 1000

// errNotLeading refuses followers.
var errNotLeading = errors.New("this node doesn't lead")

// standbyNode is this node's part in the warm standby. A nil one takes no part.
type standbyNode struct {
	self    string
	options standby.Options
	metrics *standbyMetrics
	log     *decisionWriter // nil: none

	mu        sync.Mutex
	standby   *standby.Standby
	publisher *standby.Publisher       // nil unless this node leads
	term      uint64                   // that the publisher is of
	wakes     map[string]chan struct{} // of the streams to followers
	takeover  standby.Takeover         // the last one, or the one under way
	reached   standby.Phase            // the next phase of it that is to be noted
}

// newStandbyNode makes the node's part in the warm standby, with what its decision log holds;
// nil if the operators haven't switched it on.
func newStandbyNode(self string, settings operator.Standby, reportEvery time.Duration, metrics *standbyMetrics) *standbyNode {
	if !settings.Enabled {
		return nil
	}
	n := &standbyNode{
		self: self, metrics: metrics, wakes: map[string]chan struct{}{},
		options: standby.Options{QueueBound: settings.QueueBound, SnapshotInterval: settings.SnapshotInterval, Heartbeat: standbyHeartbeat},
		standby: standby.New(self, standby.TimeoutsFor(reportEvery, settings.SnapshotInterval)),
	}
	n.openLog(settings)
	metrics.watch(n)
	return n
}

// openLog opens the decision log. A disk that fails is reported and done without.
func (n *standbyNode) openLog(settings operator.Standby) {
	if settings.LogDirectory == "" {
		return
	}
	writer, recovered, err := newDecisionWriter(settings, n.snapshot)
	if err != nil {
		slog.Error("decision log unusable, going on without it", "error", err)
		n.metrics.logFailed.Set(1)
		return
	}
	n.log = writer
	writer.failed = func() { n.metrics.logFailed.Set(1) }
	n.standby.Restore(recovered.Replica)
	slog.Info("decision log", "records", recovered.Records, "torn_bytes", recovered.TornBytes, "entries", recovered.Replica.Size())
}

// snapshot is the whole state that this node knows: its own as the leader, or its copy.
func (n *standbyNode) snapshot() (standby.Frame, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher != nil {
		return n.publisher.Snapshot(), true
	}
	return n.standby.Replica().Snapshot()
}

// claimDelay is how long this node lets others claim first.
func (n *standbyNode) claimDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.standby.ClaimDelay(time.Now())
}

// vacant notes that nobody leads any more.
func (n *standbyNode) vacant() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.takeover, n.reached = standby.Takeover{}, standby.Vacant
	if _, age := n.standby.Lag(now); age > 0 {
		n.takeover.Reached(standby.LastHeard, now.Add(-age))
	}
	n.reachLocked(standby.Vacant, now)
}

// claimed notes that this node has claimed a term.
func (n *standbyNode) claimed(term leadership.Term) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeover.Term = term.Number
	n.reachLocked(standby.ClaimStored, time.Now())
	n.standby.Claimed(standby.Claim{Term: term.Number, Revision: term.Revision})
}

// confirm decides, once the state service was read as of a revision, from what the engine
// starts besides the records; false if they have to be read again.
func (n *standbyNode) confirm(term leadership.Term, revision uint64) (start *core.WarmStart, ok bool) {
	if n == nil {
		return nil, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	view, err := n.standby.Confirm(now, revision)
	if errors.Is(err, standby.ErrBehindClaim) {
		return nil, false
	}
	n.publisher, n.term = standby.NewPublisher(term.Number, n.options), term.Number
	if n.log != nil {
		n.publisher.Follow(logFollower, standby.Position{})
	}
	n.reachLocked(standby.ViewCurrent, now)
	var records []core.WarmRecord
	if err == nil {
		records, err = standby.Decode(view.Entries)
	}
	if err != nil {
		slog.Info("cold takeover", "term", term.Number, "reason", err)
		return nil, true
	}
	n.takeover.Warm = true
	slog.Info("warm takeover", "term", term.Number, "entries", len(view.Entries), "age", view.Age, "recent", view.Recent)
	return &core.WarmStart{Records: records, Confirmed: view.Recent}, true
}

// termEnded notes that a term of this node is over.
func (n *standbyNode) termEnded(term uint64) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term == term {
		n.publisher = nil
		n.wakeAll()
	}
	n.standby.TermEnded(term)
}

// publish streams changes of the engine's warm state.
func (n *standbyNode) publish(term uint64, records []core.WarmRecord) {
	entries := standby.Encode(records)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil || n.term != term {
		return
	}
	before := n.publisher.Newest()
	n.publisher.Publish(entries)
	if n.publisher.Newest() == before {
		return
	}
	n.logOwn()
	n.wakeAll()
}

// wakeAll has all streams look for a next frame.
func (n *standbyNode) wakeAll() {
	for _, wake := range n.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Join has a follower served (standbyrpc.Source).
func (n *standbyNode) Join(follower string, from standby.Position) (<-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return nil, errNotLeading
	}
	slog.Debug("standby joins", "from", follower, "term", from.Term, "sequence", from.Sequence)
	n.publisher.Follow(follower, from)
	wake := make(chan struct{}, 1)
	n.wakes[follower] = wake
	return wake, nil
}

// Next is the next frame for a follower (standbyrpc.Source).
func (n *standbyNode) Next(follower string) (standby.Frame, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return standby.Frame{}, false, errNotLeading
	}
	frame, ok := n.publisher.Next(time.Now(), follower)
	return frame, ok, nil
}

// Acknowledge notes a follower's position (standbyrpc.Source).
func (n *standbyNode) Acknowledge(follower string, at standby.Position, resync bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return
	}
	if resync {
		n.publisher.Follow(follower, at)
		return
	}
	n.publisher.Acknowledge(follower, at)
}

// Leave forgets a follower (standbyrpc.Source).
func (n *standbyNode) Leave(follower string, wake <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wakes[follower] != wake {
		return // it has joined anew
	}
	delete(n.wakes, follower)
	if n.publisher != nil {
		n.publisher.Leave(follower)
	}
}

// reach notes that a phase of the takeover is reached.
func (n *standbyNode) reach(p standby.Phase) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reachLocked(p, time.Now())
}

func (n *standbyNode) reachLocked(p standby.Phase, at time.Time) {
	if p < n.reached || !n.takeover.Reached(p, at) {
		return
	}
	if since, known := n.takeover.Since(p); known && p > standby.Vacant {
		n.metrics.observePhase(n.takeover.Warm, p, since)
		slog.Info("takeover", "term", n.takeover.Term, "phase", p.String(), "warm", n.takeover.Warm, "after", since)
	}
	if p == standby.FirstStart {
		n.reached = standby.FirstStart + 1 // nothing is left to note
	}
}
