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

// Whom this controller reaches and who reaches it.

const (
	// contactEvery is how often a state service that doesn't answer is tried.
	contactEvery = time.Second
	// contactTimeout bounds such a try.
	contactTimeout = time.Second
	// pingTimeout bounds the wait for another controller's answer to a ping.
	pingTimeout = 700 * time.Millisecond
	pingPath    = "/ping"
)

// storeAnswered notes an answer of the state service.
func (c *Controller) storeAnswered(contact statestore.Contact) {
	served := contact == statestore.Served
	c.metrics.CountStoreAnswer(served)
	if served {
		c.health.StoreServed(time.Now())
	} else {
		c.health.StoreRefused(time.Now())
	}
}

// keepContact finds out, while the state service doesn't answer, whether it is this
// controller alone that is cut off.
func (c *Controller) keepContact(ctx context.Context) error {
	ticker := time.NewTicker(contactEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if c.health.StoreFresh(time.Now(), usercalls.StoreFresh) {
			continue
		}
		if !c.storeServes(ctx, contactTimeout) {
			c.pingPeers(ctx)
		}
	}
}

// storeServes asks the state service for something small.
func (c *Controller) storeServes(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.store.Serves(ctx, leadership.HolderKey)
}

// pingPeers notes whether any other controller answers.
func (c *Controller) pingPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	names := c.peersFirst()
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

// peerNames lists the other controllers.
func (c *Controller) peerNames() []string {
	names := make([]string, 0, len(c.settings.Peers))
	for _, p := range c.settings.Peers {
		names = append(names, p.Member)
	}
	return names
}

// peersFirst lists the other controllers, the leader before the rest, since it can serve
// all calls.
func (c *Controller) peersFirst() []string {
	leader := c.elector.Leader()
	names := c.peerNames()
	for i, name := range names {
		if name == leader {
			names[0], names[i] = names[i], names[0]
		}
	}
	return names
}

// standbyPeers are the other controllers as the warm standby sees them (replication.Peers).
type standbyPeers struct{ c *Controller }

// Leader names the controller believed to lead.
func (p standbyPeers) Leader() string { return p.c.elector.Leader() }

// Connection is the connection to a controller.
func (p standbyPeers) Connection(name string) (grpc.ClientConnInterface, error) {
	return p.c.peers.Connection(name)
}

// operatorPeers are the other controllers as operators' calls see them (operatorapi.Peers).
type operatorPeers struct{ c *Controller }

// Leader names the controller believed to lead.
func (p operatorPeers) Leader() string { return p.c.elector.Leader() }

// PeersFirst lists the other controllers, the leader before the rest.
func (p operatorPeers) PeersFirst() []string { return p.c.peersFirst() }

// Relay carries a call to another controller.
func (p operatorPeers) Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error) {
	return p.c.peers.Relay(ctx, to, request)
}
