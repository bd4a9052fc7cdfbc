package daemon

import (
	"fmt"
	"testing"

	"gingertally/internal/config"
)

// A leader holds a connection of every worker. Three quarters of the sockets were
// once the limit, 2,301 for 2,800 workers: the rest would have been turned away for
// good. All that a node opens or accepts must still fit its sockets.
func TestClientConnectionsFitTheSockets(t *testing.T) {
	for _, c := range []struct{ sockets, peers, workers int }{{3068, 6, 2800}, {2747, 4, 1920}, {800, 4, 561}, {800, 2, 51}} {
		d := &Daemon{settings: &config.Settings{}}
		d.settings.Params.Resources.MaxSockets = c.sockets
		for i := range c.peers {
			d.settings.Peers = append(d.settings.Peers, config.Peer{Member: fmt.Sprintf("n-%d", i)})
		}
		got := d.clientConns()
		if got < c.workers {
			t.Errorf("%d sockets: %d connections for %d workers", c.sockets, got, c.workers)
		}
		if own := storeConns(c.sockets) + maxDirectCommands + 2*c.peers; got+own >= c.sockets {
			t.Errorf("%d sockets: %d connections of clients and %d others", c.sockets, got, own)
		}
		if crowded(c.workers*8/10, got) || !crowded(got, got) {
			t.Errorf("%d sockets: crowded too early, or never", c.sockets)
		}
	}
}
