package standby

import "time"

// Timeouts are the time bounds of a standby, derived from the deployment's settings.
type Timeouts struct {
	// Recent is for how long after the last frame of a leader its knowledge of machines is taken to
	// hold, and its choice of a successor is respected.
	Recent time.Duration
	// ClaimDelay is how long a standby without a current copy lets others claim first.
	ClaimDelay time.Duration
	// HandOver is how long a standby lets the successor that a leader has named claim first.
	HandOver time.Duration
	// Resync is the shortest time between two requests for a snapshot.
	Resync time.Duration
}

const (
	// recentSlack is by how much the last frame of a leader may be older than two heartbeat
	// intervals, since the lease of a leader that has died has to expire first. A leader takes a
	// machine for unresponsive after the same time.
	recentSlack = 5 * time.Second
	// claimDelay leaves time for a claim, which takes about 0.1 s.
	claimDelay = 400 * time.Millisecond
	// handOverDelay leaves the successor time to learn that the lease was given up.
	handOverDelay = time.Second
)

// TimeoutsFor derives the time bounds of a standby from a deployment's settings.
func TimeoutsFor(heartbeatInterval, snapshotInterval time.Duration) Timeouts {
	return Timeouts{
		Recent:     2*heartbeatInterval + recentSlack,
		ClaimDelay: claimDelay,
		HandOver:   handOverDelay,
		Resync:     snapshotInterval,
	}
}
