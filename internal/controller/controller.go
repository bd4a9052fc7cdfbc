// Package controller joins the parts into the process that every controller runs. Read this file as the
// table of contents: New makes the parts, Run has them work.
//
//	leadership     who leads: the leader's lease and term (the only part that says who may act)
//	term           the leader's work during one term: engine, writes, watches, cloud, direct commands
//	replication    the warm standby: the leader's stream, the followers' copies
//	overload       admission control: the gate at every controller, the leader's policies
//	machinetypes   the cloud's machine types and prices
//	usercalls      users' calls, here or forwarded to another controller
//	operatorapi    status and drains for operators
//	limits         each part's share of rates and sockets
//	metrics        what /metrics shows
//
// In this package itself: http.go routes what users, workers and operators send, peers.go what other
// controllers send, node.go is this controller as the election sees it, leader_view.go is the leader as
// users' and workers' calls see it, contact.go notes whom this controller reaches.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/agentapi"
	"gingertally/internal/cloud"
	"gingertally/internal/config"
	"gingertally/internal/controller/limits"
	"gingertally/internal/controller/machinetypes"
	"gingertally/internal/controller/metrics"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/overload"
	"gingertally/internal/controller/replication"
	"gingertally/internal/controller/term"
	"gingertally/internal/controller/usercalls"
	"gingertally/internal/core"
	"gingertally/internal/health"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/peer"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
)

// Version of the program. Versions before 0.3.0 don't tell theirs.
const Version = "0.3.0"

// leaseTTL is how long the leader's lease lasts without renewal. Shorter ones
// give false changes when a controller falls behind, longer ones leave the workers
// without a leader after a crash.
const leaseTTL = 3 * time.Second

// Controller is one controller.
type Controller struct {
	settings *config.Settings
	operator operator.Settings
	core     core.Config
	limits   limits.Limits
	started  time.Time
	log      *slog.Logger

	// Clients of the outside services and of the other controllers.
	store   *statestore.Client
	jobs    *jobstore.Jobs // with the users' part of the rates
	records *jobstore.Jobs // with the leader's part of the rates
	cloud   *cloud.Client
	peers   *peer.Client

	// Who leads, and this controller's term if it does.
	elector *leadership.Elector
	term    atomic.Pointer[term.Term] // nil unless this controller leads
	direct  *term.DirectSender

	// What every controller does.
	health       *health.Tracker
	metrics      *metrics.Metrics
	machineTypes *machinetypes.Catalog
	replicator   replication.Replicator
	overload     overload.Controller

	// Who is served.
	users     *usercalls.Service
	agents    *agentapi.Service
	operators *operatorapi.Service
}

// New makes a controller.
func New(settings *config.Settings, operatorSettings operator.Settings) (*Controller, error) {
	c := &Controller{
		settings: settings, operator: operatorSettings, core: coreConfig(settings, operatorSettings),
		limits: limits.Of(settings), started: time.Now(), log: slog.With("component", "controller"),
		health: health.New(time.Now()), metrics: metrics.New(), direct: term.NewDirectSender(),
	}
	c.cloud = cloud.New(settings.Endpoints.Cloud, c.limits.Cloud())
	c.openStore()
	if err := c.connectPeers(); err != nil {
		return nil, err
	}
	c.machineTypes = machinetypes.New(c.cloud, c.store, c.core.MaxValueBytes)
	c.replicator = replication.New(
		settings.Member, operatorSettings.Standby, c.core.HeartbeatInterval, c.metrics.Standby,
	)
	c.core.WarmState = c.replicator.Enabled()
	whole := c.limits.Whole() // claims wait for nobody's part of the rates
	c.elector = leadership.New(c.store.WithRates(whole.Requests, whole.Writes), electionNode{c}, leadership.Options{
		Member: settings.Member, Others: c.peerNames(), TTL: leaseTTL, PeerExtensions: true,
	})
	users := &userapi.Service{Jobs: c.jobs, Leader: userLeader{c}, Catalog: c.machineTypes.Types, Teams: c.core.Teams}
	c.overload = c.newOverload(users)
	c.users = &usercalls.Service{
		Users: users, Health: c.health, PeersFirst: c.peersFirst,
		Forwarder: usercalls.NewForwarder(c.peers, func() { c.health.PeerAnswered(time.Now()) }),
	}
	c.agents = &agentapi.Service{Self: settings.Member, Leader: agentLeader{c}}
	c.operators = &operatorapi.Service{
		Self: settings.Member, Peers: operatorPeers{c}, Jobs: c.jobs, Drains: c.core.Drain != nil,
		Term: c.operatorTerm, Own: c.status,
	}
	return c, nil
}

// openStore makes the clients of the state service, each with its part of the rates.
func (c *Controller) openStore() {
	userRate, burst := c.limits.Users()
	c.store = statestore.New(statestore.Options{
		Addr: c.settings.Endpoints.State, MaxConns: c.limits.StoreConns(),
		Requests: userRate.Requests, Writes: userRate.Writes, Burst: burst,
		Contact: c.storeAnswered,
	})
	jobLimits := jobstore.Limits{
		ValueBytes: c.core.MaxValueBytes, TxnOps: c.limits.TxnOps(),
		NotCancelledFor: limits.NotCancelledFor(c.core.CancelWithin),
	}
	leaderRate := c.limits.Leader()
	c.jobs = jobstore.New(c.store, jobLimits)
	c.records = jobstore.New(c.store.WithRates(leaderRate.Requests, leaderRate.Writes), jobLimits)
}

// connectPeers makes the client of the other controllers.
func (c *Controller) connectPeers() error {
	addrs := map[string]string{}
	for _, p := range c.settings.Peers {
		addrs[p.Member] = p.Addr
	}
	var err error
	c.peers, err = peer.NewClient(c.settings.Member, addrs)
	return err
}

// newOverload makes this controller's part in admission control, and has users' calls go by it.
func (c *Controller) newOverload(users *userapi.Service) overload.Controller {
	settings := c.operator.Admission
	if !settings.Enabled {
		return overload.Disabled{}
	}
	known := c.limits.KnownJobs()
	node := overload.New(overload.Options{
		Settings: settings, Teams: c.settings.TeamNames(), Quotas: c.core.Teams, Limits: c.limits, Store: c.store,
		Jobs: jobstore.New(c.store.WithRates(known.Requests, known.Writes),
			jobstore.Limits{ValueBytes: c.core.MaxValueBytes, TxnOps: c.limits.TxnOps()}),
		Peers: c.peers, Members: c.peerNames(), Metrics: c.metrics.Admission,
	})
	users.Admission = node
	return node
}

// Limits of the Go runtime: the heap's part of the memory, and how far it grows
// between collections.
const (
	memoryPart    = 0.6
	gcPercent     = 200
	bytesPerMByte = 1 << 20
)

// Run serves until ctx ends or something fails that can't be repaired.
func (c *Controller) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(c.settings.Params.Resources.MemoryMB * memoryPart * bytesPerMByte))
	debug.SetGCPercent(gcPercent)
	defer c.peers.Close()
	var listen net.ListenConfig
	clients, err := listen.Listen(ctx, "tcp", c.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := listen.Listen(ctx, "tcp", c.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if !c.core.CancelKept() {
		c.log.Warn("cancellations wait for tasks to be gone: lease_s is too long for cancel_s",
			"bound", c.core.CancelBound(), "cancel_within", c.core.CancelWithin)
	}
	c.log.Info("controller serving",
		"version", Version, "member", c.settings.Member, "clients", c.settings.ClientListen,
		"peers", c.settings.PeerListen)
	return c.serve(ctx, clients, peers)
}

// serve runs the parts of the process until ctx ends, and then hands over if it leads.
func (c *Controller) serve(ctx context.Context, clients, peers net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return c.serveHTTP(running, clients) })
	group.Go(func() error { return peer.Serve(running, peers, c.servePeer, c.replicator.Register) })
	group.Go(func() error { return c.elector.Run(running) })
	group.Go(func() error { return c.machineTypes.Run(running) })
	group.Go(func() error { return c.keepContact(running) })
	group.Go(func() error { return c.replicator.Run(running, standbyPeers{c}) })
	group.Go(func() error { return c.overload.Run(running) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			c.handOver()
			return ctx.Err()
		case <-running.Done():
			return running.Err()
		}
	})
	return group.Wait()
}
