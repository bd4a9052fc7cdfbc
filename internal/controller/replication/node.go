package replication

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"gingertally/internal/controller/metrics"
	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/standby"
	"gingertally/internal/standbyrpc"
)

// heartbeatInterval is how often a follower hears of its leader at the least.
const heartbeatInterval = 500 * time.Millisecond

// errNotLeading refuses followers.
var errNotLeading = errors.New("this node doesn't lead")

// Node is the Replicator of a controller with the warm standby on.
type Node struct {
	self    string
	options standby.Options
	metrics *metrics.Standby
	logger  *slog.Logger
	log     *logWriter // nil: no decision log

	mu        sync.Mutex
	standby   *standby.Standby
	publisher *standby.Publisher       // nil unless this node leads
	term      uint64                   // that the publisher is of
	streams   map[string]chan struct{} // wakes the stream to each follower
	takeover  standby.Takeover         // the last one, or the one under way
	nextPhase standby.TakeoverPhase    // of the takeover, that is to be noted
}

// New makes a controller's part in the warm standby, with what its decision log holds.
func New(
	self string, settings operator.Standby, workerHeartbeats time.Duration, standbyMetrics *metrics.Standby,
) Replicator {
	if !settings.Enabled {
		return Disabled{}
	}
	return newNode(self, settings, workerHeartbeats, standbyMetrics)
}

func newNode(
	self string, settings operator.Standby, workerHeartbeats time.Duration, standbyMetrics *metrics.Standby,
) *Node {
	n := &Node{
		self: self, metrics: standbyMetrics, streams: map[string]chan struct{}{}, logger: slog.With("component", "standby"),
		options: standby.Options{
			QueueBound:       settings.QueueBound,
			SnapshotInterval: settings.SnapshotInterval,
			Heartbeat:        heartbeatInterval,
		},
		standby: standby.New(self, standby.TimeoutsFor(workerHeartbeats, settings.SnapshotInterval)),
	}
	n.openLog(settings)
	standbyMetrics.Watch(n.metricsState)
	return n
}

// openLog opens the decision log. A disk that fails is reported and done without.
func (n *Node) openLog(settings operator.Standby) {
	if settings.LogDirectory == "" {
		return
	}
	writer, recovered, err := newLogWriter(settings, n.snapshot)
	if err != nil {
		n.logger.Error("decision log unusable", "error", err)
		n.metrics.DecisionLogFailed()
		return
	}
	n.log = writer
	writer.onFailure = n.metrics.DecisionLogFailed
	n.standby.Restore(recovered.Replica)
	n.logger.Info("decision log opened",
		"records", recovered.Records, "torn_bytes", recovered.TornBytes, "entries", recovered.Replica.Size())
}

// snapshot is the whole state that this node knows: its own as the leader, or its copy.
func (n *Node) snapshot() (standby.Frame, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher != nil {
		return n.publisher.Snapshot(), true
	}
	return n.standby.Replica().Snapshot()
}

// Enabled implements Replicator.
func (*Node) Enabled() bool { return true }

// Register implements Replicator.
func (n *Node) Register(registrar grpc.ServiceRegistrar) { standbyrpc.Register(registrar, n) }

// ClaimDelay implements Replicator.
func (n *Node) ClaimDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.standby.ClaimDelay(time.Now())
}

// LeaderLost implements Replicator: a takeover begins.
func (n *Node) LeaderLost() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.takeover, n.nextPhase = standby.Takeover{}, standby.Vacant
	if _, age := n.standby.Lag(now); age > 0 {
		n.takeover.Reached(standby.LastHeard, now.Add(-age))
	}
	n.phaseReached(standby.Vacant, now)
}

// TermClaimed implements Replicator.
func (n *Node) TermClaimed(term leadership.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeover.Term = term.Number
	n.phaseReached(standby.ClaimStored, time.Now())
	n.standby.Claimed(standby.Claim{Term: term.Number, Revision: term.Revision})
}

// Confirm implements Replicator. The copy counts only if it is of the term before this one and
// complete; else the leader starts from the records alone.
func (n *Node) Confirm(term leadership.Term, revision uint64) (*core.WarmStart, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	view, err := n.standby.ConfirmCopy(now, revision)
	if errors.Is(err, standby.ErrBehindClaim) {
		return nil, err
	}
	n.publisher, n.term = standby.NewPublisher(term.Number, n.options), term.Number
	if n.log != nil {
		n.publisher.Follow(logFollower, standby.Position{})
	}
	n.phaseReached(standby.ViewCurrent, now)
	var records []core.WarmRecord
	if err == nil {
		records, err = standby.Decode(view.Entries)
	}
	if err != nil {
		n.logger.Info("cold takeover", "term", term.Number, "reason", err)
		return nil, nil
	}
	n.takeover.Warm = true
	n.logger.Info("warm takeover",
		"term", term.Number, "entries", len(view.Entries), "age", view.Age, "recent", view.Recent)
	return &core.WarmStart{Records: records, Confirmed: view.Recent}, nil
}

// TermEnded implements Replicator.
func (n *Node) TermEnded(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term == term {
		n.publisher = nil
		n.wakeStreams()
	}
	n.standby.TermEnded(term)
}

// Publish implements Replicator.
func (n *Node) Publish(term uint64, records []core.WarmRecord) {
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
	n.logPublished()
	n.wakeStreams()
}

// PhaseReached implements Replicator.
func (n *Node) PhaseReached(phase standby.TakeoverPhase) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.phaseReached(phase, time.Now())
}

// phaseReached notes that a phase of the takeover is reached; n.mu is held.
func (n *Node) phaseReached(phase standby.TakeoverPhase, at time.Time) {
	if phase < n.nextPhase || !n.takeover.Reached(phase, at) {
		return
	}
	if since, known := n.takeover.Since(phase); known && phase > standby.Vacant {
		n.metrics.ObservePhase(n.takeover.Warm, phase, since)
		n.logger.Info("takeover phase reached",
			"term", n.takeover.Term, "phase", phase.String(), "warm", n.takeover.Warm, "after", since)
	}
	if phase == standby.FirstStart {
		n.nextPhase = standby.FirstStart + 1 // nothing is left to note
	}
}

// NameSuccessor implements Replicator.
func (n *Node) NameSuccessor(candidates []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return ""
	}
	successor := n.publisher.HandOver(candidates)
	n.wakeStreams()
	return successor
}

// CaughtUp implements Replicator.
func (n *Node) CaughtUp(follower string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.publisher == nil || n.publisher.CaughtUp(follower)
}
