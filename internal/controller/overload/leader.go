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
	// exchangeTimeout bounds the exchange with the other controllers, which are all asked at once.
	exchangeTimeout = 700 * time.Millisecond
	// readRetryPause is the pause between attempts to read the stored policy.
	readRetryPause = 200 * time.Millisecond
)

// RunLeader implements Controller. Once per planning interval it collects the counts, plans a policy
// and stores it; the next exchange sends it to the other controllers.
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

// planRound collects the counts of all controllers and plans the next policy, unless the capacity isn't
// known yet. It returns the newest stored policy; a policy that couldn't be stored is neither applied
// nor sent.
func (n *Node) planRound(
	ctx context.Context, term Term, planner *admission.Planner, latest admission.Policy,
) admission.Policy {
	load, capacityKnown := term.Load(time.Now())
	load.Capacity.JobsPerSecond = n.options.Limits.Submissions()
	load.Batches = n.exchange(ctx, latest)
	if !capacityKnown {
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

// setMeasurements sets the planner's measurements, which Status shows; nil if this controller
// doesn't lead.
func (n *Node) setMeasurements(measurements []admission.Measurement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.measurements = measurements
}

// waitForStoredPolicy returns the policy that the state service holds. It retries until the read
// succeeds or ctx ends.
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

// exchange sends the policy to all other controllers, and returns the batches of counts of this
// controller and of each other one that answers. A controller that can't be reached or has admission
// control disabled returns no batch.
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

// truncateToFit removes shares until the policy fits into a value of the state service. It removes
// those with the largest fraction first, because keys without a share of their own fall back to the
// smallest one of their team.
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
