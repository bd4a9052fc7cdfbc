package standby

import "time"

const (
	// recentSlack is what the last word of a leader may be older than two heartbeat intervals:
	// the lease of a leader that has died has to lapse first. It is the same as the time
	// after which a leader takes a machine for unresponsive.
	recentSlack = 5 * time.Second
	// claimDelay is how long a standby that lacks the state lets others claim first. A
	// claim takes about a tenth of a second.
	claimDelay = 400 * time.Millisecond
	// handOverDelay is how long the others let the named successor claim first.
	handOverDelay = time.Second
)

// TimeoutsFor derives a standby's margins from a deployment's settings.
func TimeoutsFor(reportEvery, snapshotInterval time.Duration) Timeouts {
	return Timeouts{
		Recent: 2*reportEvery + recentSlack, ClaimDelay: claimDelay, HandOver: handOverDelay, Resync: snapshotInterval,
	}
}
