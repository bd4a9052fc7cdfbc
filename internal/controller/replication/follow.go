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
	// followRetry is the pause after a stream that has ended, or while nobody leads.
	followRetry = 200 * time.Millisecond
	// unsupportedRetry is the pause where the leader is of a version without the stream.
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

// followLeaders follows whoever leads.
func (n *Node) followLeaders(ctx context.Context, peers Peers) error {
	for ctx.Err() == nil {
		leader := peers.Leader()
		if leader == "" || leader == n.self {
			wait.Sleep(ctx, followRetry)
			continue
		}
		err := n.follow(ctx, peers, leader)
		n.logger.Debug("stream ended", "leader", leader, "error", err)
		if errors.Is(err, standbyrpc.ErrUnsupported) {
			wait.Sleep(ctx, unsupportedRetry)
			continue
		}
		wait.Sleep(ctx, followRetry)
	}
	return ctx.Err()
}

// follow follows one leader until its stream ends, or another is known to lead.
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

// Reasons for which a stream ends.
var (
	errLeaderChanged = errors.New("another node leads")
	errStreamEnded   = errors.New("the leader ended the stream")
)

// position is what the copy has.
func (n *Node) position() standby.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.standby.Position()
}

// receive takes a frame in, and tells what to answer.
func (n *Node) receive(frame standby.Frame) standbyrpc.Acknowledgement {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	verdict := n.standby.Receive(now, frame)
	if verdict.NeedsSnapshot() {
		n.logger.Info("warm state copy dropped",
			"reason", verdict.String(), "term", frame.Term, "sequence", frame.Sequence)
	}
	if verdict == standby.Applied && n.log != nil {
		n.log.offer(frame)
	}
	empty := n.standby.State() == standby.CatchingUp && n.standby.Position() == (standby.Position{})
	resync := verdict.NeedsSnapshot() || empty && frame.Kind == standby.Heartbeat
	return standbyrpc.Acknowledgement{At: n.standby.Position(), Resync: resync && n.standby.MayResync(now)}
}
