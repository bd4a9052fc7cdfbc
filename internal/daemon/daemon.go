// Package daemon wires the parts into the process that every controller runs.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/agentapi"
	"gingertally/internal/cloud"
	"gingertally/internal/config"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/health"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/peer"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
)

// Daemon is one controller.
type Daemon struct {
	cfg     *config.Settings
	op      operator.Settings
	core    core.Config
	store   *statestore.Client
	jobs    *jobstore.Jobs // for users' calls
	records *jobstore.Jobs // the same store for the leader's own writes
	cloud   *cloud.Client
	peers   *peer.Client
	lead    *leadership.Elector
	users   *userapi.Service
	agents  *agentapi.Service
	orders  *orderSender
	reign   atomic.Pointer[reign]
	catalog atomic.Pointer[placement.Catalog]
	health  *health.Tracker
	metrics *metrics
	passer  passer
	started time.Time
}

// Parts of the outside services' rates: the leader's writes may use leadPart of
// them, users' calls at all nodes together userPart. What is left is for what
// has to get through at once, such as lease renewals.
const (
	leadPart  = 0.55
	userPart  = 0.35
	cloudPart = 0.85 // only the leader uses the cloud, but for the machine types
)

// A user submits the jobs of a pipeline one after another, mostly at one node: its
// writes may come in bursts of what it has left over for so many seconds, up to a
// part of what the state service takes at once.
const (
	burstFor  = 4.0
	burstPart = 0.3
)

// A job that waits may be called queued for CancelWithin after its user was told of a
// cancellation before it; for a part of that it counts that there was none.
const sureParts = 4

// leastWrites is how many writes a second a node's users have at the least.
const leastWrites = 1.5

// userWrites is how many changes a second one node's users may cause, and how many
// at once.
func userWrites(rate, nodes float64) (each float64, burst int) {
	each = max(min(leastWrites, rate/2/nodes), rate*userPart/nodes)
	return each, int(min(each*burstFor, rate*burstPart))
}

// leaseTTL is how long a leader's right lasts without renewal. Shorter ones
// give false changes when a node falls behind, longer ones leave the workers
// without an owner after a crash.
const leaseTTL = 3 * time.Second

// batchMost is how many changes the leader writes at once: a transaction's
// limit, and no more than its part of a second's writes.
func (d *Daemon) batchMost() int {
	s := d.cfg.Params.State.Lowest()
	return min(s.TxnOps, max(4, int(s.WriteRPS*leadPart)))
}

// New makes a controller.
func New(cfg *config.Settings, op operator.Settings) (*Daemon, error) {
	p := &cfg.Params
	state := p.State.Lowest()
	d := &Daemon{cfg: cfg, op: op, started: time.Now(), health: health.New(time.Now()), metrics: newMetrics()}
	d.core = core.Config{
		Teams: map[string]placement.Team{}, Aims: aims(p.Aims),
		ReportEvery: p.Workers.Report.Duration(), Lease: p.Workers.Lease.Duration(),
		CancelWithin: p.Workers.Cancel.Duration(), GangWait: p.Workers.GangWait.Duration(), ListLag: p.Cloud.ListLag.Duration(),
		RestartLimit: op.RestartLimit, BatchEvery: op.BatchInterval, Weights: op.Weights, MaxPerValue: int(state.ValueKB * 1000), WriteRate: state.WriteRPS * leadPart, RoundBudget: 2000,
		Debug: slog.Default().Enabled(context.Background(), slog.LevelDebug),
	}
	for _, t := range p.Teams {
		d.core.Teams[t.Name] = placement.Team{CPUs: t.CPUs, GPUs: t.GPUs, CPUsMax: t.CPUsMax, GPUsMax: t.GPUsMax}
	}
	conns := storeConns(p.Resources.MaxSockets)
	nodes := float64(len(cfg.Peers) + 1)
	writes, burst := userWrites(state.WriteRPS, nodes)
	d.store = statestore.New(statestore.Options{Addr: cfg.Endpoints.State, MaxConns: conns, Requests: state.RPS * userPart * 2 / nodes,
		Writes: writes, Burst: burst,
		Contact: d.storeAnswered})
	limits := jobstore.Limits{ValueBytes: d.core.MaxPerValue, TxnOps: state.TxnOps, SureFor: d.core.CancelWithin / sureParts}
	d.jobs = jobstore.New(d.store, limits)
	d.records = jobstore.New(d.store.Part(state.RPS*leadPart, state.WriteRPS*leadPart), limits)
	d.cloud = cloud.New(cfg.Endpoints.Cloud, p.Cloud.RPS*cloudPart)
	d.orders = newOrderSender()
	addrs := map[string]string{}
	for _, q := range cfg.Peers {
		addrs[q.Member] = q.Addr
	}
	var err error
	if d.peers, err = peer.NewClient(cfg.Member, addrs); err != nil {
		return nil, err
	}
	d.passer.peers = d.peers
	d.passer.answered = func() { d.health.PeerAnswered(time.Now()) }
	// Claims wait for nobody's part of the rates.
	d.lead = leadership.New(d.store.Part(state.RPS, state.WriteRPS), leadership.Options{Member: cfg.Member, Others: d.peersFirstOf(""), TTL: leaseTTL,
		Hooks: leadership.Hooks{Elected: d.elected, Resumed: d.resumed, Unreached: d.unreached, RequestExtension: d.requestExtension}})
	d.users = &userapi.Service{Jobs: d.jobs, Leader: d, Catalog: d.types, Teams: d.core.Teams}
	d.agents = &agentapi.Service{Self: cfg.Member, Leader: agentLeader{d}}
	return d, nil
}

// aims are the operators' aims on starting and finishing, by class.
func aims(in []config.Aim) map[string][]core.Aim {
	kinds := map[string]core.AimKind{"wait": core.AimStart, "finished": core.AimFinish, "deadline": core.AimDeadline}
	out := map[string][]core.Aim{}
	for _, a := range in {
		k, known := kinds[a.Kind]
		if !known {
			continue
		}
		times := a.Times
		if times <= 0 {
			times = 1
		}
		out[a.Class] = append(out[a.Class], core.Aim{Kind: k, Within: a.Within.Duration(), Times: times})
	}
	return out
}

// storeConns is how many connections a node opens to the state service at the most.
func storeConns(maxSockets int) int { return max(8, min(64, maxSockets/20)) }

// otherConns is room for what this node opens besides, or holds apart from its
// clients' connections: watches, the cloud, listeners, and some on their way out.
const otherConns = 40

// clientConns is how many connections of workers and users a node serves at once:
// all that its sockets allow beside its own. A leader has one of every worker.
func (d *Daemon) clientConns() int {
	most := d.cfg.Params.Resources.MaxSockets
	own := storeConns(most) + maxOrders + 2*len(d.cfg.Peers) + otherConns
	return max(64, most-own)
}

// Run serves until ctx ends or something that can't be repaired fails.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(d.cfg.Params.Resources.MemoryMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(200)
	defer d.peers.Close()
	var lc net.ListenConfig
	clients, err := lc.Listen(ctx, "tcp", d.cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := lc.Listen(ctx, "tcp", d.cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if !d.core.CancelKept() {
		slog.Warn("lease_s is too long for cancel_s: cancellations are confirmed only once all tasks are gone",
			"bound", d.core.CancelBound(), "cancel", d.core.CancelWithin)
	}
	slog.Info("serving", "version", Version, "member", d.cfg.Member, "clients", d.cfg.ClientListen, "peers", d.cfg.PeerListen)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.serveHTTP(ctx, clients) })
	g.Go(func() error { return peer.Serve(ctx, peers, d.relayed) })
	g.Go(func() error { return d.lead.Run(ctx) })
	g.Go(func() error { return d.keepCatalog(ctx) })
	g.Go(func() error { return d.keepContact(ctx) })
	return g.Wait()
}

// unreached tells whether no worker has reached this node of late, as when it is cut
// off from them: it then leaves the lead to others.
func (d *Daemon) unreached() bool {
	quiet := 3*d.core.ReportEvery + 2*time.Second
	if time.Since(d.started) < quiet {
		return false
	}
	return time.Since(d.agents.LastContact()) > quiet
}

func (d *Daemon) types() placement.Catalog {
	if c := d.catalog.Load(); c != nil {
		return *c
	}
	return nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// View tells of a job what this node knows as the entitled leader.
func (d *Daemon) View(ref string) (core.JobView, bool) {
	r := d.reign.Load()
	if r == nil {
		return core.JobView{}, false
	}
	v, ok := r.lookup(ref)
	// A final state never changes; any other only the entitled owner may tell.
	return v, ok && d.lead.HoldsLease(time.Now())
}

// askTimeout is short: the store answers as well.
const askTimeout = 400 * time.Millisecond

// Ask asks the leading node about a job.
func (d *Daemon) Ask(ctx context.Context, ref string) (core.JobView, bool) {
	name := d.lead.Leader()
	if name == "" || name == d.cfg.Member {
		return core.JobView{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, body, err := d.peers.Relay(ctx, name, "GET", viewPath+ref, nil)
	if err != nil || status != 200 {
		return core.JobView{}, false
	}
	return decodeView(body)
}

// errNotInTime says that the job's tasks can't be promised to be gone in time.
var errNotInTime = errors.New("its tasks have to be proven gone first")

// Cancel cancels a job as the leader, whose engine knows of it before the store does. Any
// other node only tells what is final already.
func (d *Daemon) Cancel(ctx context.Context, ref string) (pipeline.Phase, error) {
	r := d.reign.Load()
	if r == nil || !r.entitled() {
		st, err := d.jobs.Load(ctx, ref)
		switch {
		case err != nil:
		case !st.Found:
			err = jobstore.ErrUnknownJob
		case st.Phase == pipeline.Active:
			err = jobstore.ErrNotOurs
		}
		return st.Phase, err
	}
	r.step(core.CancelAsked{Ref: ref})
	if !d.core.CancelKept() && r.mayBeOnMachines(ref) {
		r.step(core.CancelOutcome{Ref: ref, PutOff: true})
		return 0, errNotInTime
	}
	st, err := d.jobs.Cancel(ctx, ref, time.Now(), jobstore.UnderTerm(r.term))
	r.step(jobstore.CancelEvent(ref, st, err))
	return st.Phase, err
}
