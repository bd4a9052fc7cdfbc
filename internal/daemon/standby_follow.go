package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"gingertally/internal/standby"
	"gingertally/internal/standbyrpc"
)

const (
	// watchRetry is the pause after a stream that has ended, or while nobody leads.
	followRetry = 200 * time.Millisecond
	// followUnsupported is the pause where the leader is of a version without the stream.
	followUnsupported = 10 * time.Second
)

// followLeader follows whoever leads.
func (d *Daemon) followLeader(ctx context.Context) error {
	for ctx.Err() == nil {
		leader := d.elector.Leader()
		if leader == "" || leader == d.settings.Member {
			sleep(ctx, followRetry)
			continue
		}
		err := d.follow(ctx, leader)
		if errors.Is(err, standbyrpc.ErrUnsupported) {
			slog.Debug("follow", "leader", leader, "error", err)
			sleep(ctx, followUnsupported)
			continue
		}
		slog.Debug("stream over", "leader", leader, "error", err)
		sleep(ctx, followRetry)
	}
	return ctx.Err()
}

// follow follows one leader until its stream ends, or another is known to lead.
func (d *Daemon) follow(ctx context.Context, leader string) error {
	connection, err := d.peers.Connection(leader)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for sleep(ctx, followRetry) {
			if d.elector.Leader() != leader {
				cancel()
				return
			}
		}
	}()
	return standbyrpc.Follow(ctx, connection, d.settings.Member, d.warm.position(), d.warm.receive)
}

// position is what the copy has.
func (n *standbyNode) position() standby.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.standby.Position()
}

// receive takes a frame in, and tells what to answer.
func (n *standbyNode) receive(f standby.Frame) standbyrpc.Received {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	verdict := n.standby.Receive(now, f)
	if verdict.Lost() {
		slog.Info("copy of the warm state dropped", "why", verdict.String(), "term", f.Term, "sequence", f.Sequence)
	}
	if verdict == standby.Applied {
		n.log.offer(f)
	}
	lost := n.standby.State() == standby.CatchingUp && n.standby.Position() == (standby.Position{})
	resync := verdict.Lost() || lost && f.Kind == standby.Heartbeat
	return standbyrpc.Received{At: n.standby.Position(), Resync: resync && n.standby.MayResync(now)}
}
