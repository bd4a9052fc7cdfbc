package overload

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/controller/limits"
	"gingertally/internal/controller/metrics"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/operator"
	"gingertally/internal/peer"
	"gingertally/internal/statestore"
	"gingertally/internal/wait"
)

const (
	// statusExchangeRefused answers a leader that sends its policy to a controller without admission control.
	statusExchangeRefused = http.StatusNotFound
	// knownJobTimeout bounds the look at whether a refused job is known: it must not be held up.
	knownJobTimeout = 150 * time.Millisecond
	// maxTotals bounds the classes of work whose totals are kept.
	maxTotals = 5000
)

// Peers reaches the other controllers.
type Peers interface {
	// Relay carries a call to another controller.
	Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error)
}

// Options are what a Node works with.
type Options struct {
	Settings operator.Admission
	Teams    []string // in the settings' order
	Quotas   map[string]placement.Quota
	Limits   limits.Limits
	Store    *statestore.Client
	Jobs     *jobstore.Jobs // for the look at refused jobs, with requests of its own
	Peers    Peers
	Members  []string // the other controllers
	Metrics  *metrics.Admission
}

// Node is the Controller where admission control is on.
type Node struct {
	options        Options
	plannerOptions admission.PlannerOptions
	log            *slog.Logger

	mu           sync.Mutex
	gate         *admission.Gate
	totals       map[admission.Key]*admission.Count // since the start
	measurements []admission.Measurement            // by the leader, while this controller leads
}

// New makes a controller's part in admission control, which is on.
func New(options Options) *Node {
	settings := options.Settings
	users, _ := options.Limits.Users()
	return &Node{
		options: options, totals: map[admission.Key]*admission.Count{}, log: slog.With("component", "admission"),
		plannerOptions: admission.PlannerOptions{Teams: options.Quotas, Weights: settings.Weights, Floor: settings.Floor,
			EnterBacklog: settings.EnterBacklog, ExitBacklog: settings.ExitBacklog, Interval: options.Limits.PolicyInterval()},
		gate: admission.NewGate(time.Now(), admission.GateOptions{Weights: settings.Weights, Teams: options.Teams,
			Jobs: users.Writes, PolicyAge: settings.PolicyAge}),
	}
}

// Decide decides about a submission (userapi.Admission).
func (n *Node) Decide(spec *pipeline.Spec) admission.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	decision := n.gate.Decide(time.Now(), admission.Submission{Job: spec.Ref, Spec: spec})
	n.options.Metrics.CountDecision(spec.Team, decision)
	return decision
}

// Known tells whether a job that was refused had been accepted before, as far as can be
// found out at once (userapi.Admission).
func (n *Node) Known(ctx context.Context, ref string) bool {
	ctx, cancel := context.WithTimeout(ctx, knownJobTimeout)
	defer cancel()
	state, err := n.options.Jobs.Load(ctx, ref)
	return err == nil && state.Found
}

// apply takes a policy over, unless it is older than the present one.
func (n *Node) apply(policy admission.Policy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.gate.Policy().Reason
	if n.gate.Apply(time.Now(), policy) && policy.Reason != before {
		n.log.Info("admission policy changed",
			"term", policy.Term, "number", policy.Number, "reason", policy.Reason.String(),
			"previous_reason", before.String())
	}
	n.options.Metrics.PolicyApplied(n.gate.Policy().Number)
}

// collectCounts returns what was counted since the last time.
func (n *Node) collectCounts() admission.Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.gate.CollectCounts(time.Now())
	for _, count := range batch.Counts {
		n.addToTotals(count)
	}
	return batch
}

// addToTotals adds to what was counted since the start; n.mu is held.
func (n *Node) addToTotals(count admission.Count) {
	total := n.totals[count.Key]
	if total == nil {
		if len(n.totals) >= maxTotals {
			return
		}
		total = &admission.Count{Key: count.Key}
		n.totals[count.Key] = total
	}
	total.Offered += count.Offered
	total.Admitted += count.Admitted
	total.Refused += count.Refused
}

// ServeExchange implements Controller.
func (n *Node) ServeExchange(body []byte) peer.Response {
	var policy admission.Policy
	if codec.Unmarshal(body, &policy) != nil {
		return peer.Response{Status: statusExchangeRefused}
	}
	n.apply(policy)
	return peer.Response{Status: http.StatusOK, Body: codec.MustMarshal(n.collectCounts())}
}

// readPolicy reads the policy that the state service holds; the zero policy if there is none.
func (n *Node) readPolicy(ctx context.Context) (admission.Policy, error) {
	var policy admission.Policy
	item, found, err := n.options.Store.Get(ctx, PolicyKey)
	if err != nil || !found {
		return policy, err
	}
	return policy, codec.Unmarshal(item.Value, &policy)
}

// Run implements Controller: where no leader is heard, the policy is read from the state service.
func (n *Node) Run(ctx context.Context) error {
	maxAge := n.options.Settings.PolicyAge
	for wait.Sleep(ctx, maxAge/3) {
		if n.policyAge() < maxAge/2 {
			continue
		}
		if policy, err := n.readPolicy(ctx); err == nil {
			n.apply(policy)
		}
	}
	return ctx.Err()
}

// policyAge is how long ago a leader last confirmed the policy.
func (n *Node) policyAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.gate.ConfirmedAt())
}
