package limits

import (
	"fmt"
	"testing"

	"gingertally/internal/config"
)

// The shares must add up to at most the whole. Otherwise requests that mustn't wait, such as lease
// renewals, would be refused when every user of the rate limits is busy.
func TestPartsOfTheRates(t *testing.T) {
	if sum := leaderShare + userShare + userShare*knownJobsShare; sum > 1 {
		t.Errorf("the shares of the state service's requests add up to %g", sum)
	}
	if sum := leaderShare + userShare; sum > 1 {
		t.Errorf("the shares of the state service's writes add up to %g", sum)
	}
	if policyWritesShare > leaderShare {
		t.Error("admission policies may use more writes than the leader has")
	}
	if cloudShare > 1 {
		t.Errorf("the share of the cloud's rate limit is %g", cloudShare)
	}
	for controllers := range 9 {
		settings := &config.Settings{Peers: make([]config.Peer, controllers)}
		settings.Deployment.State = config.StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32}
		l := New(settings)
		users, _ := l.Users()
		if all := users.Requests / userOvercommit * float64(controllers+1); all > 200*userShare+1e-9 {
			t.Errorf("%d controllers: users have %g requests a second at all of them together", controllers+1, all)
		}
	}
}

// Users' writes at all controllers together must stay within half of the state service's rate limit,
// whatever that is, and a user who submits a pipeline job by job at one controller mustn't have to
// wait for that controller's share. With bursts of four writes, the fifth job of each pipeline took
// over 200 ms.
func TestUserWrites(t *testing.T) {
	for _, c := range []struct {
		rate, controllers float64
		pipeline          int // jobs that must fit into a burst
	}{{80, 3, 7}, {56, 7, 7}, {20, 5, 4}, {15, 5, 4}, {1, 3, 0}} {
		each, burst := userWrites(c.rate, c.controllers)
		if each*c.controllers > c.rate/2+1e-9 || float64(burst) > c.rate/2 || burst < c.pipeline {
			t.Errorf("%g writes a second, %g controllers: %g a second each, bursts of %d", c.rate, c.controllers, each, burst)
		}
	}
}

// A leader has a connection from every worker. The limit was once three quarters of the sockets,
// 2,301 for 2,800 workers, so that the rest would have been refused for good. All connections that a
// controller opens or accepts must still fit into its sockets.
func TestClientConnectionsFitTheSockets(t *testing.T) {
	for _, c := range []struct{ sockets, peers, workers int }{
		{3068, 6, 2800}, {2747, 4, 1920}, {800, 4, 561}, {800, 2, 51},
	} {
		settings := &config.Settings{}
		settings.Deployment.Resources.MaxSockets = c.sockets
		for i := range c.peers {
			settings.Peers = append(settings.Peers, config.Peer{Member: fmt.Sprintf("n-%d", i)})
		}
		l := New(settings)
		got := l.ClientConns()
		if got < c.workers {
			t.Errorf("%d sockets: %d connections for %d workers", c.sockets, got, c.workers)
		}
		if own := l.StoreConns() + MaxDirectCommands + 2*c.peers; got+own >= c.sockets {
			t.Errorf("%d sockets: %d connections of clients and %d others", c.sockets, got, own)
		}
		if ReservedForWorkers(c.workers*8/10, got) || !ReservedForWorkers(got, got) {
			t.Errorf("%d sockets: connections are reserved for workers too early, or never", c.sockets)
		}
	}
}
