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
	// statusExchangeRefused is the answer to the leader's policy if this controller's admission control
	// is off, or if the policy can't be decoded.
	statusExchangeRefused = http.StatusNotFound
	// knownJobTimeout bounds the lookup of a refused job, which must not delay the refusal for long.
	knownJobTimeout = 150 * time.Millisecond
	// maxTotals bounds the number of keys with totals, and so the memory that they use.
	maxTotals = 5000
)

// Peers sends calls to the other controllers.
type Peers interface {
	// Relay sends a call to another controller and returns the answer.
	Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error)
}

// Options are the settings and dependencies of a Node.
type Options struct {
	Settings operator.Admission
	Teams    []string // in the order of the settings
	Quotas   map[string]placement.Quota
	Limits   limits.Limits
	Store    *statestore.Client
	Jobs     *jobstore.Jobs // for lookups of refused jobs; it has a request budget of its own
	Peers    Peers
	Members  []string // the other controllers
	Metrics  *metrics.Admission
}

// Node is the Controller if admission control is on.
type Node struct {
	options        Options
	plannerOptions admission.PlannerOptions
	log            *slog.Logger

	mu           sync.Mutex
	gate         *admission.Gate
	totals       map[admission.Key]*admission.Count // since the start
	measurements []admission.Measurement            // of the planner; nil unless this controller leads
}

// New returns a Node that has no policy yet.
func New(options Options) *Node {
	settings := options.Settings
	users, _ := options.Limits.Users()
	return &Node{
		options: options, totals: map[admission.Key]*admission.Count{}, log: slog.With("component", "admission"),
		plannerOptions: admission.PlannerOptions{Quotas: options.Quotas, Weights: settings.Weights, Floor: settings.Floor,
			EnterBacklog: settings.EnterBacklog, ExitBacklog: settings.ExitBacklog, Interval: options.Limits.PolicyInterval()},
		gate: admission.NewGate(time.Now(), admission.GateOptions{Weights: settings.Weights, Teams: options.Teams,
			JobsPerSecond: users.Writes, PolicyAge: settings.PolicyAge}),
	}
}

// Decide implements userapi.Admission: it admits or refuses a submission and counts the decision.
func (n *Node) Decide(spec *pipeline.Spec) admission.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	decision := n.gate.Decide(time.Now(), admission.Submission{Job: spec.Ref, Spec: spec})
	n.options.Metrics.CountDecision(spec.Team, decision)
	return decision
}

// Known implements userapi.Admission: it reports whether a refused job was accepted earlier. It
// returns false if the state service doesn't answer within knownJobTimeout.
func (n *Node) Known(ctx context.Context, ref string) bool {
	ctx, cancel := context.WithTimeout(ctx, knownJobTimeout)
	defer cancel()
	state, err := n.options.Jobs.Load(ctx, ref)
	return err == nil && state.Found
}

// apply passes a policy to the gate, which ignores it if it is older than the current one.
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

// collectCounts returns the gate's counts since the last call, and adds them to the totals.
func (n *Node) collectCounts() admission.Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := n.gate.CollectCounts(time.Now())
	for _, count := range batch.Counts {
		n.addToTotals(count)
	}
	return batch
}

// addToTotals adds a count to its key's totals since the start, unless there are totals of maxTotals
// other keys already. The caller holds n.mu.
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

// readPolicy returns the policy that the state service holds, or the zero policy if there is none.
func (n *Node) readPolicy(ctx context.Context) (admission.Policy, error) {
	var policy admission.Policy
	item, found, err := n.options.Store.Get(ctx, PolicyKey)
	if err != nil || !found {
		return policy, err
	}
	return policy, codec.Unmarshal(item.Value, &policy)
}

// Run implements Controller. Three times per PolicyAge it checks when the policy was last confirmed; if
// that is half of PolicyAge ago, it reads the policy from the state service, which confirms it too.
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

// policyAge returns the time since the policy was last confirmed.
func (n *Node) policyAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.gate.ConfirmedAt())
}
