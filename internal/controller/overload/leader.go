package overload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/peer"
	"gingertally/internal/wait"
)

const (
	// exchangeTimeout bounds the exchange with one controller.
	exchangeTimeout = 700 * time.Millisecond
	// readRetryPause is the pause after a policy that couldn't be read.
	readRetryPause = 200 * time.Millisecond
)

// RunLeader implements Controller: measure, plan, store, send.
func (n *Node) RunLeader(ctx context.Context, term Term) error {
	latest, err := n.waitForStoredPolicy(ctx)
	if err != nil {
		return err
	}
	planner := admission.NewPlanner(time.Now(), n.plannerOptions, term.Number(), latest)
	n.apply(latest)
	defer n.setMeasurements(nil)
	for wait.Sleep(ctx, n.plannerOptions.Interval) {
		if term.HoldsLease() {
			latest = n.planRound(ctx, term, planner, latest)
		}
	}
	return ctx.Err()
}

// planRound gathers the counts of all controllers and makes the next policy. It returns the newest
// policy that is stored: nobody hears of one that isn't.
func (n *Node) planRound(
	ctx context.Context, term Term, planner *admission.Planner, latest admission.Policy,
) admission.Policy {
	load, settled := term.Load(time.Now())
	load.Rates.Jobs = n.options.Limits.Submissions()
	load.Batches = n.exchange(ctx, latest)
	if !settled {
		return latest
	}
	policy, changed := planner.Plan(time.Now(), load)
	n.setMeasurements(planner.Measurements())
	if changed {
		policy = n.truncateToFit(policy)
		if err := term.StoreValue(ctx, PolicyKey, codec.MustMarshal(policy)); err != nil {
			n.log.Debug("admission policy not stored", "error", err)
			return latest
		}
		latest = policy
		n.apply(policy)
	}
	term.SetFairOrder(latest.Overloaded(), n.options.Settings.Weights)
	return latest
}

// setMeasurements notes what the leader has measured, for the status.
func (n *Node) setMeasurements(measurements []admission.Measurement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.measurements = measurements
}

// waitForStoredPolicy reads the policy that the state service holds, until it can be had.
func (n *Node) waitForStoredPolicy(ctx context.Context) (admission.Policy, error) {
	for {
		policy, err := n.readPolicy(ctx)
		if err == nil {
			return policy, nil
		}
		n.log.Debug("admission policy not read", "error", err)
		if !wait.Sleep(ctx, readRetryPause) {
			return policy, ctx.Err()
		}
	}
}

// exchange sends all controllers the policy and gathers their counts. Those that can't be reached,
// or are of a version without admission control, count nothing.
func (n *Node) exchange(ctx context.Context, policy admission.Policy) []admission.Batch {
	batches := []admission.Batch{n.collectCounts()}
	request := peer.Request{Method: http.MethodPost, Path: ExchangePath, Body: codec.MustMarshal(policy)}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var mu sync.Mutex
	var exchanges sync.WaitGroup
	for _, member := range n.options.Members {
		exchanges.Go(func() {
			response, err := n.options.Peers.Relay(ctx, member, request)
			var batch admission.Batch
			if err != nil || response.Status != http.StatusOK || codec.Unmarshal(response.Body, &batch) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			batches = append(batches, batch)
		})
	}
	exchanges.Wait()
	return batches
}

// truncateToFit leaves the shares out for which a value of the state service is too small, those
// that refuse least first: classes without a share count like the least of their team's.
func (n *Node) truncateToFit(policy admission.Policy) admission.Policy {
	for len(policy.Shares) > 0 {
		size, err := codec.JSONSize(codec.MustMarshal(policy))
		if err == nil && size <= n.options.Limits.MaxValueBytes() {
			break
		}
		policy.Shares = policy.SharesWithoutWidest()
	}
	return policy
}
