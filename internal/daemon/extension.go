package daemon

import (
	"context"
	"net/http"
	"time"
)

// This file carries the extension of the leader's lease between nodes, see package
// leadership.

const (
	// extensionPath is where a leader asks a node to extend its lease. The name is of
	// an earlier version, and part of the protocol between nodes.
	extensionPath = "/promise"
	// probeTimeout bounds a node's look at whether the state service serves it.
	probeTimeout = 300 * time.Millisecond
)

// requestExtension asks a peer to extend this node's lease.
func (d *Daemon) requestExtension(ctx context.Context, member string) bool {
	status, _, err := d.peers.Relay(ctx, member, http.MethodPost, extensionPath, nil)
	if err != nil {
		return false
	}
	d.health.PeerAnswered(time.Now())
	return status == http.StatusOK
}

// grantExtension is the answer to a leader that can't renew its lease. A node that the
// state service serves refuses, for the case that it is the leader alone that isn't
// served (docs/design.md, "Lease extension"). It looks each time: that it was served a
// moment ago says nothing about an outage that has just begun, and the leader's lease may
// be over a moment later.
func (d *Daemon) grantExtension(ctx context.Context) int {
	if d.storeServes(ctx, probeTimeout) || !d.elector.GrantExtension() {
		return http.StatusConflict
	}
	return http.StatusOK
}
