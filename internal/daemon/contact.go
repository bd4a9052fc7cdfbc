package daemon

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// This file notes whom this node reaches and who reaches it.

const (
	// storeFresh is how recently the state service must have served this node for
	// it to be worth waiting for.
	storeFresh = 2 * time.Second
	// contactEvery is how often a silent state service is tried.
	contactEvery = time.Second
	// contactTimeout bounds such a try.
	contactTimeout = time.Second
	// pingTimeout bounds the wait for another node's sign of life.
	pingTimeout = 700 * time.Millisecond
	pingPath    = "/ping"
	// unreachedSlack is what a worker's heartbeat may be late.
	unreachedSlack = 2 * time.Second
)

// unreached tells whether no worker has reached this node of late, as when it is cut
// off from them: it then lets others lead.
func (d *Daemon) unreached() bool {
	quiet := missedHeartbeats*d.coreConfig.HeartbeatInterval + unreachedSlack
	if time.Since(d.started) < quiet {
		return false
	}
	return time.Since(d.agents.LastContact()) > quiet
}

// storeAnswered notes an answer of the state service.
func (d *Daemon) storeAnswered(contact statestore.Contact) {
	d.metrics.countStoreAnswer(contact)
	if contact == statestore.Served {
		d.health.StoreServed(time.Now())
	} else {
		d.health.StoreRefused(time.Now())
	}
}

// keepContact finds out, while the state service is silent, whether it is this
// node alone that is cut off.
func (d *Daemon) keepContact(ctx context.Context) error {
	for sleep(ctx, contactEvery) {
		if d.health.StoreFresh(time.Now(), storeFresh) {
			continue
		}
		if !d.storeServes(ctx, contactTimeout) {
			d.pingPeers(ctx)
		}
	}
	return ctx.Err()
}

// storeServes asks the state service for something small.
func (d *Daemon) storeServes(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.store.Serves(ctx, leadership.HolderKey)
}

// pingPeers notes whether any other node answers.
func (d *Daemon) pingPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	names := d.peersFirst()
	answers := make(chan bool, len(names))
	for _, name := range names {
		go func() {
			_, _, err := d.peers.Relay(ctx, name, http.MethodGet, pingPath, nil)
			answers <- err == nil
		}()
	}
	for range names {
		if <-answers {
			d.health.PeerAnswered(time.Now())
			return
		}
	}
}

// peersFirst lists the other nodes, the leader before the rest, which can serve
// all calls.
func (d *Daemon) peersFirst() []string { return d.peersFirstOf(d.elector.Leader()) }

func (d *Daemon) peersFirstOf(leader string) []string {
	names := make([]string, 0, len(d.settings.Peers))
	for _, p := range d.settings.Peers {
		names = append(names, p.Member)
		if p.Member == leader {
			names[0], names[len(names)-1] = leader, names[0]
		}
	}
	return names
}
