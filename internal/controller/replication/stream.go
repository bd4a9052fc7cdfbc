package replication

import (
	"time"

	"gingertally/internal/standby"
)

// The leader's side of the streams: Node implements standbyrpc.Source.

// wakeStreams has all streams look for a next frame; n.mu is held.
func (n *Node) wakeStreams() {
	for _, wake := range n.streams {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Join has a follower served (standbyrpc.Source).
func (n *Node) Join(follower string, from standby.Position) (<-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return nil, errNotLeading
	}
	n.logger.Debug("follower joined", "follower", follower, "term", from.Term, "sequence", from.Sequence)
	n.publisher.Follow(follower, from)
	wake := make(chan struct{}, 1)
	n.streams[follower] = wake
	return wake, nil
}

// Next is the next frame for a follower (standbyrpc.Source).
func (n *Node) Next(follower string) (standby.Frame, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil {
		return standby.Frame{}, false, errNotLeading
	}
	frame, ok := n.publisher.Next(time.Now(), follower)
	return frame, ok, nil
}

// Acknowledge notes a follower's position (standbyrpc.Source).
func (n *Node) Acknowledge(follower string, at standby.Position, resync bool) {
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
func (n *Node) Leave(follower string, wake <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams[follower] != wake {
		return // it has joined anew
	}
	delete(n.streams, follower)
	if n.publisher != nil {
		n.publisher.Leave(follower)
	}
}
