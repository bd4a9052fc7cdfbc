package fleet

import "time"

const (
	// clockDriftPart is the part of a lease by which two clocks may drift apart during it:
	// 0.05% each, rounded up (docs/design.md, "The bound of a cancellation").
	clockDriftPart = 500
	// timerSlack is what the steps of timers may add.
	timerSlack = time.Second
)

// LeaseBound is how long after a heartbeat was answered its worker's lease has ended at the
// latest, by our clock.
func LeaseBound(lease time.Duration) time.Duration {
	return lease + lease/clockDriftPart + timerSlack
}
