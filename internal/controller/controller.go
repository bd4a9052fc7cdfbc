// Package controller assembles the process that every controller runs. This file is the place to
// start reading: New creates the components, Run runs them.
//
//	leadership     leader election: the leader's lease and term, which alone decide who may act
//	term           the leader's work during one term: engine, writes, watches, cloud, direct commands
//	replication    the warm standby: the leader's stream, the followers' copies
//	overload       admission control: the gate at every controller, the leader's policies
//	machinetypes   the cloud's machine types and prices
//	usercalls      users' calls, served here or forwarded to another controller
//	operatorapi    status and drains for operators
//	limits         the share of each rate limit, and of the sockets, for each kind of traffic
//	metrics        the metrics that /metrics shows
//
// In this package itself, http.go routes the requests of users, workers and operators, and peers.go
// those of other controllers. node.go implements the node interface of leader election, and
// current_term.go holds this controller's present term. leader_view.go gives the services of users,
// workers and operators access to the leader, contact.go tracks the contact with the state service
// and the other controllers, and core_config.go derives the engine's configuration from the
// settings.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
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

// Version is the version of the program. Versions before 0.3.0 don't report theirs.
const Version = "0.3.0"

// leaseTTL is how long the leader's lease lasts without renewal. A shorter lease would cause
// needless changes of leader when a controller is slow, and a longer one would leave the workers
// without a leader for longer after a crash.
const leaseTTL = 3 * time.Second

// Controller is one controller process, with its clients of other services and the services that it
// offers.
type Controller struct {
	settings *config.Settings
	operator operator.Settings
	core     core.Config
	limits   limits.Limits
	started  time.Time
	log      *slog.Logger

	// Clients of the external services and of the other controllers.
	store      *statestore.Client
	userJobs   *jobstore.Jobs // with the users' share of the rate limits
	leaderJobs *jobstore.Jobs // with the leader's share of the rate limits
	cloud      *cloud.Client
	peers      *peer.Client

	// Leader election, and this controller's term while it leads.
	elector *leadership.Elector
	term    currentTerm
	direct  *term.DirectSender

	// Components that work on every controller, whether it leads or not.
	health       *health.Tracker
	metrics      *metrics.Metrics
	machineTypes *machinetypes.Catalog
	replicator   replication.Replicator
	overload     overload.Controller

	// Services for users, workers and operators.
	users     *usercalls.Service
	agents    *agentapi.Service
	operators *operatorapi.Service
}

// New creates a controller. Run makes it serve.
func New(settings *config.Settings, operatorSettings operator.Settings) (*Controller, error) {
	c := &Controller{
		settings: settings, operator: operatorSettings, core: coreConfig(settings, operatorSettings),
		limits: limits.New(settings), started: time.Now(), log: slog.With("component", "controller"),
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
	total := c.limits.Total() // leadership claims mustn't wait because a share is used up
	c.elector = leadership.New(c.store.WithRates(total.Requests, total.Writes), electionNode{c}, leadership.Options{
		Member: settings.Member, Others: c.peerNames(), TTL: leaseTTL, PeerExtensions: true,
	})
	users := &userapi.Service{Jobs: c.userJobs, Leader: userLeader{c}, Catalog: c.machineTypes.Types, Teams: c.core.Teams}
	c.overload = c.newOverload(users)
	c.users = &usercalls.Service{
		Users: users, Health: c.health, PeersLeaderFirst: c.peersLeaderFirst,
		Forwarder: usercalls.NewForwarder(c.peers, func() { c.health.PeerAnswered(time.Now()) }),
	}
	c.agents = &agentapi.Service{Self: settings.Member, Leader: agentLeader{c}}
	c.operators = &operatorapi.Service{
		Self: settings.Member, Peers: operatorPeers{c}, Jobs: c.userJobs, DrainsEnabled: c.core.Drain != nil,
		Term: c.operatorTerm, OwnStatus: c.status,
	}
	return c, nil
}

// openStore creates the clients of the state service for users' calls and for the leader, each with
// its share of the rate limits.
func (c *Controller) openStore() {
	userRate, burst := c.limits.Users()
	c.store = statestore.New(statestore.Options{
		Addr: c.settings.Endpoints.State, MaxConns: c.limits.StoreConns(),
		Requests: userRate.Requests, Writes: userRate.Writes, Burst: burst,
		Contact: c.recordStoreContact,
	})
	jobLimits := jobstore.Limits{
		ValueBytes: c.core.MaxValueBytes, TxnOps: c.limits.TxnOps(),
		NotCancelledFor: limits.NotCancelledFor(c.core.CancelWithin),
	}
	leaderRate := c.limits.Leader()
	c.userJobs = jobstore.New(c.store, jobLimits)
	c.leaderJobs = jobstore.New(c.store.WithRates(leaderRate.Requests, leaderRate.Writes), jobLimits)
}

// connectPeers creates the client of the other controllers.
func (c *Controller) connectPeers() error {
	addrs := map[string]string{}
	for _, p := range c.settings.Peers {
		addrs[p.Member] = p.Addr
	}
	var err error
	c.peers, err = peer.NewClient(c.settings.Member, addrs)
	return err
}

// newOverload creates this controller's admission control and attaches it to the service for users.
// It returns overload.Disabled if the operators haven't enabled admission control.
func (c *Controller) newOverload(users *userapi.Service) overload.Controller {
	settings := c.operator.Admission
	if !settings.Enabled {
		return overload.Disabled{}
	}
	lookupRate := c.limits.KnownJobLookups()
	node := overload.New(overload.Options{
		Settings: settings, Teams: c.settings.TeamNames(), Quotas: c.core.Teams, Limits: c.limits, Store: c.store,
		Jobs: jobstore.New(c.store.WithRates(lookupRate.Requests, lookupRate.Writes),
			jobstore.Limits{ValueBytes: c.core.MaxValueBytes, TxnOps: c.limits.TxnOps()}),
		Peers: c.peers, Members: c.peerNames(), Metrics: c.metrics.Admission,
	})
	users.Admission = node
	return node
}

// Settings of the Go runtime: the share of the controller's memory that is the runtime's memory
// limit, and how far the heap grows between two collections, in percent.
const (
	memoryShare   = 0.6
	gcPercent     = 200
	bytesPerMByte = 1 << 20
)

// Run serves until ctx ends or a component fails for good.
func (c *Controller) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(c.settings.Deployment.Resources.MemoryMB * memoryShare * bytesPerMByte))
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
	if !c.core.CancelBoundMet() {
		c.log.Warn("cancellations are confirmed only once the tasks are gone: lease_s is too long for cancel_s",
			"bound", c.core.CancelBound(), "cancel_within", c.core.CancelWithin)
	}
	c.log.Info("controller serving",
		"version", Version, "member", c.settings.Member, "clients", c.settings.ClientListen,
		"peers", c.settings.PeerListen)
	return c.serve(ctx, clients, peers)
}

// serve runs the components until one of them fails or ctx ends. When ctx ends, a leader hands over
// before the components are stopped.
func (c *Controller) serve(ctx context.Context, clients, peers net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return c.serveHTTP(running, clients) })
	group.Go(func() error { return peer.Serve(running, peers, c.servePeer, c.replicator.Register) })
	group.Go(func() error { return c.elector.Run(running) })
	group.Go(func() error { return c.machineTypes.Run(running) })
	group.Go(func() error { return c.probeConnectivity(running) })
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
