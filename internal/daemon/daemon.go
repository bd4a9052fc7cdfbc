// Package daemon joins the parts into the process that every controller runs: sockets,
// timers, the leader's session of each term, forwarding to peers, status and counters.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"gingertally/internal/agentapi"
	"gingertally/internal/cloud"
	"gingertally/internal/config"
	"gingertally/internal/core"
	"gingertally/internal/core/placement"
	"gingertally/internal/health"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/peer"
	"gingertally/internal/standbyrpc"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
)

// Daemon is one controller.
type Daemon struct {
	settings   *config.Settings
	operator   operator.Settings
	coreConfig core.Config
	store      *statestore.Client
	jobs       *jobstore.Jobs // for users' calls
	records    *jobstore.Jobs // the same store for the leader's own writes
	cloud      *cloud.Client
	peers      *peer.Client
	elector    *leadership.Elector
	users      *userapi.Service
	agents     *agentapi.Service
	commands   *commandSender
	session    atomic.Pointer[leaderSession] // nil unless this node leads
	catalog    atomic.Pointer[placement.Catalog]
	health     *health.Tracker
	metrics    *metrics
	forwarder  forwarder
	warm       *standbyNode   // nil: warm standby is off
	admission  *admissionNode // nil: admission control is off
	started    time.Time
}

// leaseTTL is how long the leader's lease lasts without renewal. Shorter ones
// give false changes when a node falls behind, longer ones leave the workers
// without a leader after a crash.
const leaseTTL = 3 * time.Second

// notCancelledParts: a job that waits may be called queued for CancelWithin after its
// user was told of a cancellation before it; for one of so many parts of that time it
// counts that there was none.
const notCancelledParts = 4

// New makes a controller.
func New(settings *config.Settings, operatorSettings operator.Settings) (*Daemon, error) {
	d := &Daemon{
		settings: settings, operator: operatorSettings, coreConfig: coreConfig(&settings.Params, operatorSettings),
		started: time.Now(), health: health.New(time.Now()), metrics: newMetrics(), commands: newCommandSender(),
		cloud: cloud.New(settings.Endpoints.Cloud, settings.Params.Cloud.RPS*cloudPart),
	}
	d.openStore()
	if err := d.connectPeers(); err != nil {
		return nil, err
	}
	d.warm = newStandbyNode(settings.Member, operatorSettings.Standby, d.coreConfig.HeartbeatInterval, d.metrics.standby)
	d.coreConfig.WarmState, d.coreConfig.Admission = d.warm != nil, operatorSettings.Admission.Enabled
	state := settings.Params.State.Lowest()
	// Claims wait for nobody's part of the rates.
	d.elector = leadership.New(d.store.Part(state.RPS, state.WriteRPS), leadership.Options{
		Member: settings.Member, Others: d.peersFirstOf(""), TTL: leaseTTL,
		Hooks: d.electionHooks(),
	})
	d.users = &userapi.Service{Jobs: d.jobs, Leader: d, Catalog: d.types, Teams: d.coreConfig.Teams}
	if d.admission = d.newAdmissionNode(operatorSettings.Admission); d.admission != nil {
		d.users.Admission = d.admission
	}
	d.agents = &agentapi.Service{Self: settings.Member, Leader: agentLeader{d}}
	return d, nil
}

// electionHooks are what this node does as the leader changes.
func (d *Daemon) electionHooks() leadership.Hooks {
	hooks := leadership.Hooks{TermStarted: d.elected, LeaseResumed: d.resumed, HeartbeatsMissing: d.unreached, RequestExtension: d.requestExtension}
	if d.warm != nil {
		hooks.ClaimDelay, hooks.LeaderLost = d.warm.claimDelay, d.warm.vacant
	}
	return hooks
}

// roundBudget is how many tasks one round of decisions looks at.
const roundBudget = 2000

// coreConfig is the core's configuration for a deployment.
func coreConfig(params *config.Params, operatorSettings operator.Settings) core.Config {
	state := params.State.Lowest()
	c := core.Config{
		Teams:             map[string]placement.Quota{},
		Objectives:        objectives(params.Objectives),
		HeartbeatInterval: params.Workers.HeartbeatInterval.Duration(),
		Lease:             params.Workers.Lease.Duration(),
		CancelWithin:      params.Workers.Cancel.Duration(),
		GangWait:          params.Workers.GangWait.Duration(),
		InstanceListLag:   params.Cloud.ListLag.Duration(),
		RestartLimit:      operatorSettings.RestartLimit,
		BatchInterval:     operatorSettings.BatchInterval,
		Weights:           operatorSettings.Weights,
		Pace:              operatorSettings.Recovery,
		MaxValueBytes:     int(state.ValueKB * 1000),
		WritesPerSecond:   state.WriteRPS * leaderPart,
		RoundBudget:       roundBudget,
		Drain:             operatorSettings.Draining.Policy(time.Duration(params.SkewMS * float64(time.Millisecond))),
		Debug:             slog.Default().Enabled(context.Background(), slog.LevelDebug),
	}
	for _, team := range params.Teams {
		c.Teams[team.Name] = placement.Quota{GuaranteedCPUs: team.GuaranteedCPUs, GuaranteedGPUs: team.GuaranteedGPUs, CPULimit: team.CPULimit, GPULimit: team.GPULimit}
	}
	return c
}

// objectiveKinds are the settings' words for the kinds of aims.
var objectiveKinds = map[string]core.ObjectiveKind{"wait": core.StartObjective, "finished": core.FinishObjective, "deadline": core.DeadlineObjective}

// objectives are the operators' aims on starting and finishing, by class.
func objectives(settings []config.Objective) map[string][]core.Objective {
	byClass := map[string][]core.Objective{}
	for _, aim := range settings {
		kind, known := objectiveKinds[aim.Kind]
		if !known {
			continue
		}
		times := aim.Times
		if times <= 0 {
			times = 1
		}
		byClass[aim.Class] = append(byClass[aim.Class], core.Objective{Kind: kind, Within: aim.Within.Duration(), Times: times})
	}
	return byClass
}

// openStore makes the clients of the state service, each with its part of the rates.
func (d *Daemon) openStore() {
	params := &d.settings.Params
	state := params.State.Lowest()
	nodes := float64(len(d.settings.Peers) + 1)
	writes, burst := userWrites(state.WriteRPS, nodes)
	d.store = statestore.New(statestore.Options{
		Addr: d.settings.Endpoints.State, MaxConns: storeConns(params.Resources.MaxSockets),
		Requests: state.RPS * userPart * 2 / nodes, Writes: writes, Burst: burst,
		Contact: d.storeAnswered,
	})
	limits := jobstore.Limits{
		ValueBytes: d.coreConfig.MaxValueBytes, TxnOps: state.TxnOps,
		NotCancelledFor: d.coreConfig.CancelWithin / notCancelledParts,
	}
	d.jobs = jobstore.New(d.store, limits)
	d.records = jobstore.New(d.store.Part(state.RPS*leaderPart, state.WriteRPS*leaderPart), limits)
}

// connectPeers makes the client of the other controllers.
func (d *Daemon) connectPeers() error {
	addrs := map[string]string{}
	for _, p := range d.settings.Peers {
		addrs[p.Member] = p.Addr
	}
	var err error
	if d.peers, err = peer.NewClient(d.settings.Member, addrs); err != nil {
		return err
	}
	d.forwarder.peers = d.peers
	d.forwarder.answered = func() { d.health.PeerAnswered(time.Now()) }
	return nil
}

// Limits of the Go runtime: the heap's part of the memory, and how far it grows
// between collections.
const (
	memoryPart = 0.6
	gcPercent  = 200
)

// Run serves until ctx ends or something that can't be repaired fails.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(d.settings.Params.Resources.MemoryMB * memoryPart * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	defer d.peers.Close()
	var listen net.ListenConfig
	clients, err := listen.Listen(ctx, "tcp", d.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := listen.Listen(ctx, "tcp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if !d.coreConfig.CancelKept() {
		slog.Warn("lease_s is too long for cancel_s: cancellations are confirmed only once all tasks are gone",
			"bound", d.coreConfig.CancelBound(), "cancel", d.coreConfig.CancelWithin)
	}
	slog.Info("serving", "version", Version, "member", d.settings.Member, "clients", d.settings.ClientListen, "peers", d.settings.PeerListen)
	return d.serve(ctx, clients, peers)
}

// serve runs the parts of the process until ctx ends, and then hands over if it leads.
func (d *Daemon) serve(ctx context.Context, clients, peers net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return d.serveHTTP(running, clients) })
	group.Go(func() error { return peer.Serve(running, peers, d.servePeer, d.registerStandby) })
	group.Go(func() error { return d.elector.Run(running) })
	group.Go(func() error { return d.keepCatalog(running) })
	group.Go(func() error { return d.keepContact(running) })
	if d.warm != nil {
		group.Go(func() error { return d.followLeader(running) })
		if d.warm.log != nil {
			group.Go(func() error { return d.warm.log.run(running) })
		}
	}
	if d.admission != nil {
		group.Go(func() error { return d.keepPolicy(running) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.handOver()
			return ctx.Err()
		case <-running.Done():
			return running.Err()
		}
	})
	return group.Wait()
}

// registerStandby adds the stream of the warm state to what is served to the other nodes.
func (d *Daemon) registerStandby(registrar grpc.ServiceRegistrar) {
	if d.warm != nil {
		standbyrpc.Register(registrar, d.warm)
	}
}
