package standby

import "time"

// Timeouts are the time limits of a Standby.
type Timeouts struct {
	// Freshness is how long after a leader's last frame what it knew of machines still counts as
	// current, and how long after its hand-over its choice of a successor is respected.
	Freshness time.Duration
	// ClaimDelay is how long a standby without a current copy waits for others to claim first.
	ClaimDelay time.Duration
	// HandOverDelay is how long a standby waits for the successor named by the leader to claim first.
	HandOverDelay time.Duration
	// ResyncInterval is the shortest time between two requests for a snapshot.
	ResyncInterval time.Duration
}

const (
	// freshnessSlack is added to two heartbeat intervals in Timeouts.Freshness, since the lease of a
	// leader that has died has to expire before another can take over. A leader considers a machine
	// unresponsive after the same time.
	freshnessSlack = 5 * time.Second
	// claimDelay leaves a standby with a current copy time to claim, which takes about 0.1 s.
	claimDelay = 400 * time.Millisecond
	// handOverDelay leaves the successor time to learn that the lease was given up, and to claim.
	handOverDelay = time.Second
)

// TimeoutsFor returns the time limits of a standby for a deployment's worker heartbeat interval and
// the shortest interval of snapshots to one follower.
func TimeoutsFor(heartbeatInterval, snapshotInterval time.Duration) Timeouts {
	return Timeouts{
		Freshness:      2*heartbeatInterval + freshnessSlack,
		ClaimDelay:     claimDelay,
		HandOverDelay:  handOverDelay,
		ResyncInterval: snapshotInterval,
	}
}
