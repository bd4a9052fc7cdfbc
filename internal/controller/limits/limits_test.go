package limits

import (
	"fmt"
	"testing"

	"gingertally/internal/config"
)

// The parts that are given out add up to at most the whole: else what has to get through at once, as
// a lease renewal, would be refused when all are busy.
func TestPartsOfTheRates(t *testing.T) {
	if sum := leaderPart + userPart + userPart*knownJobsPart; sum > 1 {
		t.Errorf("%g of the state service's requests are given out", sum)
	}
	if sum := leaderPart + userPart; sum > 1 {
		t.Errorf("%g of the state service's writes are given out", sum)
	}
	if policyWritesPart > leaderPart {
		t.Error("admission policies may take more writes than the leader has")
	}
	if cloudPart > 1 {
		t.Errorf("%g of the cloud's rate is given out", cloudPart)
	}
	for controllers := range 9 {
		settings := &config.Settings{Peers: make([]config.Peer, controllers)}
		settings.Params.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32}
		l := Of(settings)
		users, _ := l.Users()
		if all := users.Requests / userOvercommit * float64(controllers+1); all > 200*userPart+1e-9 {
			t.Errorf("%d controllers: users have %g requests a second", controllers+1, all)
		}
	}
}

// Users' writes at all controllers together stay within half of the state service's rate,
// whatever that is, and a user who submits a pipeline job by job at one controller needn't
// wait for that controller's part of it. At four writes at once the fifth job of each
// pipeline took over 200 ms.
func TestUserWrites(t *testing.T) {
	for _, c := range []struct {
		rate, controllers float64
		pipeline          int // jobs that are taken at once
	}{{80, 3, 7}, {56, 7, 7}, {20, 5, 4}, {15, 5, 4}, {1, 3, 0}} {
		each, burst := userWrites(c.rate, c.controllers)
		if each*c.controllers > c.rate/2+1e-9 || float64(burst) > c.rate/2 || burst < c.pipeline {
			t.Errorf("%g a second on %g controllers: %g each, %d at once", c.rate, c.controllers, each, burst)
		}
	}
}

// A leader holds a connection of every worker. Three quarters of the sockets were
// once the limit, 2,301 for 2,800 workers: the rest would have been turned away for
// good. All that a controller opens or accepts must still fit its sockets.
func TestClientConnectionsFitTheSockets(t *testing.T) {
	for _, c := range []struct{ sockets, peers, workers int }{
		{3068, 6, 2800}, {2747, 4, 1920}, {800, 4, 561}, {800, 2, 51},
	} {
		settings := &config.Settings{}
		settings.Params.Resources.MaxSockets = c.sockets
		for i := range c.peers {
			settings.Peers = append(settings.Peers, config.Peer{Member: fmt.Sprintf("n-%d", i)})
		}
		l := Of(settings)
		got := l.ClientConns()
		if got < c.workers {
			t.Errorf("%d sockets: %d connections for %d workers", c.sockets, got, c.workers)
		}
		if own := l.StoreConns() + MaxDirectCommands + 2*c.peers; got+own >= c.sockets {
			t.Errorf("%d sockets: %d connections of clients and %d others", c.sockets, got, own)
		}
		if Crowded(c.workers*8/10, got) || !Crowded(got, got) {
			t.Errorf("%d sockets: crowded too early, or never", c.sockets)
		}
	}
}
