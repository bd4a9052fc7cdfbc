package replication

import (
	"time"

	"gingertally/internal/standby"
)

// This file is the leader's end of the streams: Node implements standbyrpc.Source.

// wakeStreams signals all streams to ask for their next frame. The caller holds n.mu.
func (n *Node) wakeStreams() {
	for _, wake := range n.streams {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Join implements standbyrpc.Source: it begins to serve a follower.
func (n *Node) Join(follower string, from standby.Position) (<-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return nil, errNotLeading
	}
	n.logger.Debug("follower joined", "follower", follower, "term", from.Term, "sequence", from.Sequence)
	n.publisher.AddFollower(follower, from)
	wake := make(chan struct{}, 1)
	n.streams[follower] = wake
	return wake, nil
}

// Next implements standbyrpc.Source: it returns the next frame for a follower, if there is one.
func (n *Node) Next(follower string) (standby.Frame, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return standby.Frame{}, false, errNotLeading
	}
	frame, ok := n.publisher.Next(time.Now(), follower)
	return frame, ok, nil
}

// Acknowledge implements standbyrpc.Source: it records a follower's position, or serves the
// follower anew from there if it requests a snapshot.
func (n *Node) Acknowledge(follower string, at standby.Position, resync bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return
	}
	if resync {
		n.publisher.AddFollower(follower, at)
		return
	}
	n.publisher.Acknowledge(follower, at)
}

// Leave implements standbyrpc.Source: it ends the serving of a follower.
func (n *Node) Leave(follower string, wake <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams[follower] != wake {
		return // the follower has joined again since
	}
	delete(n.streams, follower)
	if n.publisher != nil {
		n.publisher.RemoveFollower(follower)
	}
}
