package controller

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"gingertally/internal/controller/usercalls"
	"gingertally/internal/leadership"
	"gingertally/internal/peer"
	"gingertally/internal/statestore"
)

// This file tracks this controller's contact with the state service and the other controllers.

const (
	// probeInterval is how often probeConnectivity checks whether a probe is needed.
	probeInterval = time.Second
	// storeProbeTimeout bounds one probe of the state service.
	storeProbeTimeout = time.Second
	// pingTimeout bounds the wait for the other controllers' answers to a ping.
	pingTimeout = 700 * time.Millisecond
	pingPath    = "/ping"
)

// recordStoreContact records in the health tracker and the metrics whether the state service served
// a request of this controller or refused it.
func (c *Controller) recordStoreContact(contact statestore.Contact) {
	served := contact == statestore.Served
	c.metrics.CountStoreAnswer(served)
	if served {
		c.health.StoreServed(time.Now())
	} else {
		c.health.StoreRefused(time.Now())
	}
}

// probeConnectivity probes the state service while it hasn't served this controller for
// usercalls.StoreFreshWithin. If the probe fails, it pings the other controllers, to find out whether
// this controller alone is cut off. It runs until ctx ends.
func (c *Controller) probeConnectivity(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if c.health.StoreServedWithin(time.Now(), usercalls.StoreFreshWithin) {
			continue
		}
		if !c.storeServes(ctx, storeProbeTimeout) {
			c.pingPeers(ctx)
		}
	}
}

// storeServes reports whether the state service serves this controller now. It reads one small key.
func (c *Controller) storeServes(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.store.IsServing(ctx, leadership.HolderKey)
}

// pingPeers pings the other controllers, and records the contact as soon as one answers.
func (c *Controller) pingPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	names := c.peersLeaderFirst()
	answers := make(chan bool, len(names))
	for _, name := range names {
		go func() {
			_, err := c.peers.Relay(ctx, name, peer.Request{Method: http.MethodGet, Path: pingPath})
			answers <- err == nil
		}()
	}
	for range names {
		if <-answers {
			c.health.PeerAnswered(time.Now())
			return
		}
	}
}

// peerNames returns the names of the other controllers.
func (c *Controller) peerNames() []string {
	names := make([]string, 0, len(c.settings.Peers))
	for _, p := range c.settings.Peers {
		names = append(names, p.Member)
	}
	return names
}

// peersLeaderFirst returns the names of the other controllers. If one of them leads, it comes first,
// since the leader can serve all calls.
func (c *Controller) peersLeaderFirst() []string {
	leader := c.elector.Leader()
	names := c.peerNames()
	for i, name := range names {
		if name == leader {
			names[0], names[i] = names[i], names[0]
		}
	}
	return names
}

// standbyPeers implements replication.Peers: the warm standby's access to the other controllers.
type standbyPeers struct{ c *Controller }

// Leader returns the name of the controller that is believed to lead; it is empty if unknown.
func (p standbyPeers) Leader() string { return p.c.elector.Leader() }

// Connection returns the connection to another controller.
func (p standbyPeers) Connection(name string) (grpc.ClientConnInterface, error) {
	return p.c.peers.Connection(name)
}

// operatorPeers implements operatorapi.Peers: the operator API's access to the other controllers.
type operatorPeers struct{ c *Controller }

// Leader returns the name of the controller that is believed to lead; it is empty if unknown.
func (p operatorPeers) Leader() string { return p.c.elector.Leader() }

// PeersLeaderFirst returns the names of the other controllers, the leader before the rest.
func (p operatorPeers) PeersLeaderFirst() []string { return p.c.peersLeaderFirst() }

// Relay forwards a call to another controller and returns its response.
func (p operatorPeers) Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error) {
	return p.c.peers.Relay(ctx, to, request)
}
