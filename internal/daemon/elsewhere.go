package daemon

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"gingertally/internal/leadership"
)

// A node that can't serve a call has another do so: at once where it can, and
// always within the time that the user waits.

const (
	// nextPeer is how long one node is waited for before the next is asked too.
	nextPeer = 250 * time.Millisecond
	// storeFresh is how recently the state service must have served this node for
	// it to be worth waiting for.
	storeFresh = 2 * time.Second
	// pingTimeout bounds the wait for another node's sign of life.
	pingTimeout = 700 * time.Millisecond
	pingPath    = "/ping"
	// nobodyFor is how long the others aren't asked after none could serve a call.
	nobodyFor = time.Second
)

// peersFirst lists the other nodes, the leader before the rest, which can serve
// all calls.
func (d *Daemon) peersFirst() []string { return d.peersFirstOf(d.lead.Leader()) }

func (d *Daemon) peersFirstOf(leader string) []string {
	names := make([]string, 0, len(d.cfg.Peers))
	for _, p := range d.cfg.Peers {
		names = append(names, p.Member)
		if p.Member == leader {
			names[0], names[len(names)-1] = leader, names[0]
		}
	}
	return names
}

// promisePath is where a leader asks a node to leave the place to it, see leadership.
const (
	promisePath = "/promise"
	// probeFor bounds a node's look at whether the state service serves it.
	probeFor = 300 * time.Millisecond
)

func (d *Daemon) requestExtension(ctx context.Context, member string) bool {
	status, _, err := d.peers.Relay(ctx, member, "POST", promisePath, nil)
	if err == nil {
		d.health.PeerAnswered(time.Now())
	}
	return err == nil && status == 200
}

// grantExtension is the answer to a leader that can't renew its lease: a node that the state
// service serves keeps the place open for the case that it is the leader alone that isn't.
func (d *Daemon) grantExtension(ctx context.Context) int {
	if d.health.StoreFresh(time.Now(), time.Second) {
		return 409
	}
	ctx, cancel := context.WithTimeout(ctx, probeFor)
	defer cancel()
	if _, _, err := d.store.Get(ctx, leadership.HolderKey); err == nil || !d.lead.GrantExtension() {
		return 409
	}
	return 200
}

type passed struct {
	status int
	body   []byte
}

// relayer carries a call to another node.
type relayer interface {
	Relay(ctx context.Context, to, method, path string, body []byte) (status int, reply []byte, err error)
}

// passer passes calls on to the other nodes.
type passer struct {
	peers       relayer
	answered    func()       // another node has answered
	nobodyUntil atomic.Int64 // until when none is asked, in Unix nanoseconds
}

// elsewhere asks the other nodes to serve a call, one a little after the other,
// and takes the first answer that settles it. When none could a moment ago, as in
// an outage that all see, they aren't asked.
func (p *passer) elsewhere(ctx context.Context, names []string, method, path string, body []byte) (int, []byte, bool) {
	if time.Now().UnixNano() < p.nobodyUntil.Load() {
		return 0, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body = append([]byte(nil), body...)
	answers := make(chan passed, len(names))
	ask := func(name string) {
		status, reply, err := p.peers.Relay(ctx, name, method, path, body)
		if err != nil {
			status = 503
		} else {
			p.answered()
		}
		answers <- passed{status, reply}
	}
	next := time.NewTimer(0)
	defer next.Stop()
	asked, failed := 0, 0
	for failed < len(names) {
		select {
		case <-ctx.Done():
			return 0, nil, false
		case a := <-answers:
			if a.status != 503 {
				return a.status, a.body, true
			}
			if failed++; failed == asked {
				next.Reset(0)
			}
		case <-next.C:
			if asked < len(names) {
				go ask(names[asked])
				asked++
				next.Reset(nextPeer)
			}
		}
	}
	p.nobodyUntil.Store(time.Now().Add(nobodyFor).UnixNano())
	return 0, nil, false
}

func (d *Daemon) storeAnswered(served bool) {
	d.metrics.store.WithLabelValues(strconv.FormatBool(served)).Inc()
	if served {
		d.health.StoreServed(time.Now())
	} else {
		d.health.StoreRefused(time.Now())
	}
}

// keepContact finds out, while the state service is silent, whether it is this
// node alone that is cut off.
func (d *Daemon) keepContact(ctx context.Context) error {
	for sleep(ctx, time.Second) {
		if d.health.StoreFresh(time.Now(), storeFresh) {
			continue
		}
		c, cancel := context.WithTimeout(ctx, time.Second)
		_, _, err := d.store.Get(c, leadership.HolderKey)
		cancel()
		if err != nil {
			d.pingPeers(ctx)
		}
	}
	return ctx.Err()
}

// pingPeers notes whether any other node answers.
func (d *Daemon) pingPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	names := d.peersFirst()
	done := make(chan bool, len(names))
	for _, name := range names {
		go func() {
			_, _, err := d.peers.Relay(ctx, name, "GET", pingPath, nil)
			done <- err == nil
		}()
	}
	for range names {
		if <-done {
			d.health.PeerAnswered(time.Now())
			return
		}
	}
}
