package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/operator"
)

// This file joins admission control to the process: every node decides by its gate, and the
// leader gathers the counts of all, makes the policy, stores it and sends it to all.

const (
	// policyKey holds the policy in the state service.
	policyKey = "adm/policy"
	// admissionPath is where the leader sends a node the policy and gets its counts.
	admissionPath = "/admission"
	// policyWritesPart is the part of a second's writes that policies may take.
	policyWritesPart = 0.05
	// minPolicyInterval is the least time between two policies.
	minPolicyInterval = time.Second
	// exchangeTimeout bounds the exchange with one node.
	exchangeTimeout = 700 * time.Millisecond
	// knownTimeout bounds the look at whether a refused job is known: it must not be held up.
	knownTimeout = 150 * time.Millisecond
	// knownPart is the part of the users' requests that such looks may take.
	knownPart = 0.25
	// countsKept bounds the counts that wait for the leader.
	countsKept = 5000
)

// admissionNode is this node's part in admission control. A nil one admits everything.
type admissionNode struct {
	settings operator.Admission
	planner  admission.PlannerOptions
	metrics  *admissionMetrics
	known    *jobstore.Jobs // for the look at refused jobs, with requests of its own

	mu     sync.Mutex
	gate   *admission.Gate
	totals map[admission.Key]*admission.Count // since the start
	shares []admission.Measured               // by the leader, while this node leads
}

// newAdmissionNode makes the node's part in admission control; nil if it is off.
func (d *Daemon) newAdmissionNode(settings operator.Admission) *admissionNode {
	if !settings.Enabled {
		return nil
	}
	params := &d.settings.Params
	state := params.State.Lowest()
	nodes := float64(len(d.settings.Peers) + 1)
	perNode, _ := userWrites(state.WriteRPS, nodes)
	interval := max(minPolicyInterval, time.Duration(float64(time.Second)/(state.WriteRPS*policyWritesPart)))
	limits := jobstore.Limits{ValueBytes: d.coreConfig.MaxValueBytes, TxnOps: state.TxnOps}
	return &admissionNode{
		settings: settings, metrics: d.metrics.admission, totals: map[admission.Key]*admission.Count{},
		known: jobstore.New(d.store.Part(state.RPS*userPart*knownPart/nodes, 1), limits),
		planner: admission.PlannerOptions{Teams: d.coreConfig.Teams, Weights: settings.Weights, Floor: settings.Floor,
			EnterBacklog: settings.EnterBacklog, ExitBacklog: settings.ExitBacklog, Interval: interval},
		gate: admission.NewGate(time.Now(), admission.GateOptions{Weights: settings.Weights, Teams: d.settings.TeamNames(),
			Jobs: perNode, PolicyAge: settings.PolicyAge}),
	}
}

// Decide decides about a submission (userapi.Admission).
func (n *admissionNode) Decide(spec *pipeline.Spec) admission.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.gate.Decide(time.Now(), admission.Offer{Job: spec.Ref, Spec: spec})
	n.metrics.count(spec.Team, d)
	return d
}

// Known tells whether a job that was refused had been accepted before, as far as can be
// found out at once (userapi.Admission).
func (n *admissionNode) Known(ctx context.Context, ref string) bool {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	state, err := n.known.Load(ctx, ref)
	return err == nil && state.Found
}

// take takes a policy over, unless it is older than the present one.
func (n *admissionNode) take(p admission.Policy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.gate.Policy().Reason
	if n.gate.Take(time.Now(), p) && p.Reason != was {
		slog.Info("admission policy", "term", p.Term, "number", p.Number, "reason", p.Reason.String(), "was", was.String())
	}
	n.metrics.policy.Set(float64(n.gate.Policy().Number))
}

// takeCounts returns what was counted since the last time.
func (n *admissionNode) takeCounts() admission.Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.gate.TakeCounts(time.Now())
	for _, c := range batch.Counts {
		total := n.totals[c.Key]
		if total == nil {
			if len(n.totals) >= countsKept {
				continue
			}
			total = &admission.Count{Key: c.Key}
			n.totals[c.Key] = total
		}
		total.Offered, total.Admitted, total.Refused = total.Offered+c.Offered, total.Admitted+c.Admitted, total.Refused+c.Refused
	}
	return batch
}

// serveExchange takes the leader's policy, and answers with this node's counts.
func (d *Daemon) serveExchange(body []byte) (int, []byte) {
	var policy admission.Policy
	if d.admission == nil || codec.Unmarshal(body, &policy) != nil {
		return http.StatusNotFound, nil
	}
	d.admission.take(policy)
	return http.StatusOK, codec.MustMarshal(d.admission.takeCounts())
}

// admissionLoop is the leader's part: measure, plan, store, send.
func (s *leaderSession) admissionLoop() error {
	n := s.daemon.admission
	if n == nil {
		return nil
	}
	stored, err := s.storedPolicy()
	if err != nil {
		return err
	}
	planner := admission.NewPlanner(time.Now(), n.planner, s.term.Number, stored)
	n.take(stored)
	defer n.noteShares(nil)
	latest := stored
	for sleep(s.ctx, n.planner.Interval) {
		if !s.holdsLease() {
			continue
		}
		load, settled := s.admissionLoad()
		load.Batches = s.exchange(latest)
		if !settled {
			continue
		}
		policy, changed := planner.Plan(time.Now(), load)
		n.noteShares(planner.Measured())
		if changed {
			if !s.storePolicy(policy) {
				continue // nobody hears of a policy that isn't stored
			}
			latest = policy
			n.take(policy)
		}
		s.step(core.FairOrderChanged{On: latest.Overloaded(), Weights: n.settings.Weights})
	}
	return s.ctx.Err()
}

// noteShares notes what the leader has measured, for the status.
func (n *admissionNode) noteShares(shares []admission.Measured) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shares = shares
}

// storedPolicy reads the policy that the state service holds.
func (s *leaderSession) storedPolicy() (admission.Policy, error) {
	for {
		policy, err := s.daemon.readPolicy(s.ctx)
		if err == nil {
			return policy, nil
		}
		slog.Debug("read admission policy", "error", err)
		if !sleep(s.ctx, snapshotRetry) {
			return policy, s.ctx.Err()
		}
	}
}

// readPolicy reads the policy that the state service holds; the zero policy if there is none.
func (d *Daemon) readPolicy(ctx context.Context) (admission.Policy, error) {
	var policy admission.Policy
	item, found, err := d.store.Get(ctx, policyKey)
	if err != nil || !found {
		return policy, err
	}
	return policy, codec.Unmarshal(item.Value, &policy)
}

// admissionLoad is what the engine tells of capacity and backlog.
func (s *leaderSession) admissionLoad() (load admission.Load, settled bool) {
	s.mu.Lock()
	cluster := s.engine.Load(time.Now())
	s.mu.Unlock()
	state := s.daemon.settings.Params.State.Lowest()
	load.Backlog = cluster.Backlog
	load.Rates = admission.Rates{CPUs: cluster.Capacity.CPUs, GPUs: cluster.Capacity.GPUs, MemGB: cluster.Capacity.MemGB, Jobs: state.WriteRPS * userPart}
	return load, cluster.Settled
}

// exchange sends all nodes the policy and gathers their counts. Nodes that can't be reached,
// or are of a version without admission control, count nothing.
func (s *leaderSession) exchange(policy admission.Policy) []admission.Batch {
	batches := []admission.Batch{s.daemon.admission.takeCounts()}
	body := codec.MustMarshal(policy)
	var mu sync.Mutex
	var asking sync.WaitGroup
	ctx, cancel := context.WithTimeout(s.ctx, exchangeTimeout)
	defer cancel()
	for _, peer := range s.daemon.settings.Peers {
		asking.Go(func() {
			status, answer, err := s.daemon.peers.Relay(ctx, peer.Member, http.MethodPost, admissionPath, body)
			var theirs admission.Batch
			if err != nil || status != http.StatusOK || codec.Unmarshal(answer, &theirs) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			batches = append(batches, theirs)
		})
	}
	asking.Wait()
	return batches
}

// storePolicy stores a policy under this term; false if it isn't known to be stored.
func (s *leaderSession) storePolicy(policy admission.Policy) bool {
	policy = s.fitting(policy)
	err := s.daemon.records.Put(s.ctx, s.term, policyKey, codec.MustMarshal(policy))
	if errors.Is(err, jobstore.ErrDeposed) {
		s.daemon.elector.EndTerm()
	}
	if err != nil {
		slog.Debug("store admission policy", "error", err)
	}
	return err == nil
}

// fitting leaves the shares out that a value of the state service has no room for, those
// that refuse least first: classes without a share count like the least of their team's.
func (s *leaderSession) fitting(policy admission.Policy) admission.Policy {
	for len(policy.Shares) > 0 {
		size, err := codec.JSONSize(codec.MustMarshal(policy))
		if err == nil && size <= s.daemon.coreConfig.MaxValueBytes {
			break
		}
		policy.Shares = policy.WithoutWidest()
	}
	return policy
}

// keepPolicy has a node that hears no leader read the policy from the state service.
func (d *Daemon) keepPolicy(ctx context.Context) error {
	for sleep(ctx, d.admission.settings.PolicyAge/3) {
		d.admission.mu.Lock()
		age := time.Since(d.admission.gate.HeardAt())
		d.admission.mu.Unlock()
		if age < d.admission.settings.PolicyAge/2 {
			continue
		}
		if policy, err := d.readPolicy(ctx); err == nil {
			d.admission.take(policy)
		}
	}
	return ctx.Err()
}
