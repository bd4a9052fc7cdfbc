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

// heartbeatInterval is the longest time between two frames that a leader sends to a follower.
const heartbeatInterval = 500 * time.Millisecond

// errNotLeading is returned to the streams of followers if this node doesn't lead or no longer leads.
var errNotLeading = errors.New("this node doesn't lead")

// Node is the Replicator of a controller with the warm standby enabled.
type Node struct {
	self    string
	options standby.Options
	metrics *metrics.Standby
	logger  *slog.Logger
	log     *logWriter // nil if there is no decision log, or it couldn't be opened

	mu        sync.Mutex
	standby   *standby.Standby
	claimed   uint64                   // the term that this node has claimed; 0 if that is over
	publisher *standby.Publisher       // nil unless this node leads
	term      uint64                   // of the publisher, or of the last one
	streams   map[string]chan struct{} // by follower: signals its stream that a frame may be due
	takeover  standby.Takeover         // phases recorded since the leader was last lost
	minPhase  standby.TakeoverPhase    // first phase that may still be recorded
}

// New returns the Replicator of a controller, known to others by the name self: a Node that starts
// with the copy restored from its decision log, or Disabled if the settings don't enable the warm
// standby.
func New(
	self string, settings operator.Standby, workerHeartbeatInterval time.Duration, standbyMetrics *metrics.Standby,
) Replicator {
	if !settings.Enabled {
		return Disabled{}
	}
	return newNode(self, settings, workerHeartbeatInterval, standbyMetrics)
}

func newNode(
	self string, settings operator.Standby, workerHeartbeatInterval time.Duration, standbyMetrics *metrics.Standby,
) *Node {
	n := &Node{
		self: self, metrics: standbyMetrics, streams: map[string]chan struct{}{}, logger: slog.With("component", "standby"),
		options: standby.Options{
			QueueBound:       settings.QueueBound,
			SnapshotInterval: settings.SnapshotInterval,
			Heartbeat:        heartbeatInterval,
		},
		standby: standby.New(self, standby.TimeoutsFor(workerHeartbeatInterval, settings.SnapshotInterval)),
	}
	n.openLog(settings)
	standbyMetrics.RegisterState(n.metricsState)
	return n
}

// openLog opens the decision log, if one is configured, and restores the copy from it. If that
// fails, the error is logged, the metrics show the failure, and the node runs without a log.
func (n *Node) openLog(settings operator.Standby) {
	if settings.LogDirectory == "" {
		return
	}
	writer, recovered, err := newLogWriter(settings, n.snapshot)
	if err != nil {
		n.logger.Error("can't open the decision log; running without it", "error", err)
		n.metrics.DecisionLogFailed()
		return
	}
	n.log = writer
	writer.onFailure = n.metrics.DecisionLogFailed
	n.standby.Restore(recovered.Replica)
	n.logger.Info("decision log opened",
		"records", recovered.Records, "torn_bytes", recovered.TornBytes, "entries", recovered.Replica.Size())
}

// snapshot returns the whole warm state that this node has: its own if it leads, else its copy;
// false if the copy is incomplete.
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

// LeaderLost implements Replicator. It begins to record a takeover.
func (n *Node) LeaderLost() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.takeover, n.minPhase = standby.Takeover{}, standby.Vacant
	if _, age := n.standby.Lag(now); age > 0 {
		n.takeover.Reached(standby.LastHeard, now.Add(-age))
	}
	n.phaseReached(standby.Vacant, now)
}

// TermClaimed implements Replicator.
func (n *Node) TermClaimed(term leadership.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed, n.takeover.Term = term.Number, term.Number
	n.phaseReached(standby.ClaimStored, time.Now())
	n.standby.Claimed(standby.Claim{Term: term.Number, Revision: term.Revision})
}

// ConfirmCopy implements Replicator. The copy is used only if it is complete, lacks no known change, is
// of the term right before this one, and can be decoded. After an error nothing is decided; otherwise,
// whether or not the copy is used, this node publishes its own warm state from now on.
func (n *Node) ConfirmCopy(term leadership.Term, revision uint64) (*core.WarmStart, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed != term.Number {
		return nil, ErrTermOver
	}
	now := time.Now()
	warmCopy, err := n.standby.ConfirmCopy(now, revision)
	if errors.Is(err, standby.ErrBehindClaim) {
		return nil, err
	}
	n.publisher, n.term = standby.NewPublisher(term.Number, n.options), term.Number
	if n.log != nil {
		n.publisher.AddFollower(logFollower, standby.Position{})
	}
	n.phaseReached(standby.ViewCurrent, now)
	var records []core.WarmRecord
	if err == nil {
		records, err = standby.Decode(warmCopy.Entries)
	}
	if err != nil {
		n.logger.Info("cold takeover", "term", term.Number, "reason", err)
		return nil, nil
	}
	n.takeover.Warm = true
	n.logger.Info("warm takeover",
		"term", term.Number, "entries", len(warmCopy.Entries), "age", warmCopy.Age, "recent", warmCopy.Recent)
	return &core.WarmStart{Records: records, Confirmed: warmCopy.Recent}, nil
}

// TermEnded implements Replicator.
func (n *Node) TermEnded(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed == term {
		n.claimed = 0
	}
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

// phaseReached records the first time at which a phase of the takeover is reached. From ClaimStored on
// it also logs the time since the loss of the leader, if that is known, and adds it to the metrics. The
// caller holds n.mu.
func (n *Node) phaseReached(phase standby.TakeoverPhase, at time.Time) {
	if phase < n.minPhase || !n.takeover.Reached(phase, at) {
		return
	}
	if since, known := n.takeover.Since(phase); known && phase > standby.Vacant {
		n.metrics.ObservePhase(n.takeover.Warm, phase, since)
		n.logger.Info("takeover phase reached",
			"term", n.takeover.Term, "phase", phase.String(), "warm", n.takeover.Warm, "after", since)
	}
	if phase == standby.FirstStart {
		n.minPhase = standby.FirstStart + 1 // the takeover is complete: no phase is left to record
	}
}

// NameSuccessor implements Replicator.
func (n *Node) NameSuccessor(candidates []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return ""
	}
	successor := n.publisher.ChooseSuccessor(candidates)
	n.wakeStreams()
	return successor
}

// CaughtUp implements Replicator.
func (n *Node) CaughtUp(follower string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.publisher == nil || n.publisher.CaughtUp(follower)
}
