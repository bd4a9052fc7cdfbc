package replication

import (
	"cmp"
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/standby"
	"gingertally/internal/standbyrpc"
	"gingertally/internal/wait"
)

const (
	// followRetry is the pause before the next try after a stream has ended, or while no other node
	// is known to lead. An open stream is checked for a change of leader at the same interval.
	followRetry = 200 * time.Millisecond
	// unsupportedRetry is the pause before the next try if the leader's version lacks the stream.
	unsupportedRetry = 10 * time.Second
)

// Run implements Replicator.
func (n *Node) Run(ctx context.Context, peers Peers) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.followLeaders(ctx, peers) })
	if n.log != nil {
		group.Go(func() error { return n.log.run(ctx) })
	}
	return group.Wait()
}

// followLeaders follows the node that is believed to lead, unless it is this one, until ctx ends.
func (n *Node) followLeaders(ctx context.Context, peers Peers) error {
	for ctx.Err() == nil {
		leader := peers.Leader()
		if leader == "" || leader == n.self {
			wait.Sleep(ctx, followRetry)
			continue
		}
		err := n.follow(ctx, peers, leader)
		n.logger.Debug("leader's stream ended", "leader", leader, "error", err)
		if errors.Is(err, standbyrpc.ErrUnsupported) {
			wait.Sleep(ctx, unsupportedRetry)
			continue
		}
		wait.Sleep(ctx, followRetry)
	}
	return ctx.Err()
}

// follow follows one leader until its stream ends or that leader is no longer the one believed to
// lead.
func (n *Node) follow(ctx context.Context, peers Peers, leader string) error {
	connection, err := peers.Connection(leader)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for ctx.Err() == nil {
			wait.Sleep(ctx, followRetry)
			if peers.Leader() != leader {
				return errLeaderChanged
			}
		}
		return ctx.Err()
	})
	group.Go(func() error {
		err := standbyrpc.Follow(ctx, connection, n.self, n.position(), n.receive)
		return cmp.Or(err, errStreamEnded)
	})
	return group.Wait()
}

// Reasons why follow stops following a leader.
var (
	errLeaderChanged = errors.New("the leader has changed or is unknown")
	errStreamEnded   = errors.New("the leader ended the stream")
)

// position returns the position of the copy.
func (n *Node) position() standby.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.standby.Position()
}

// receive applies a frame to the copy, passes it to the decision log, if there is one and the frame
// was applied, and returns the acknowledgement for the leader.
func (n *Node) receive(frame standby.Frame) standbyrpc.Acknowledgement {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	outcome := n.standby.Receive(now, frame)
	if outcome.NeedsSnapshot() {
		n.logger.Info("warm state copy dropped",
			"reason", outcome.String(), "term", frame.Term, "sequence", frame.Sequence)
	}
	if outcome == standby.Applied && n.log != nil {
		n.log.offer(frame)
	}
	// MayResync suppresses requests for a snapshot that follow too soon on the last one. While there
	// is no copy, each heartbeat therefore requests one again.
	noCopy := n.standby.State() == standby.CatchingUp && n.standby.Position() == (standby.Position{})
	resync := outcome.NeedsSnapshot() || noCopy && frame.Kind == standby.Heartbeat
	return standbyrpc.Acknowledgement{At: n.standby.Position(), Resync: resync && n.standby.MayResync(now)}
}
