package fleet

import "time"

const (
	// clockDriftDivisor gives the fraction of a lease, 1/500, by which two clocks may drift apart
	// during it: 0.05% each, rounded up (docs/design.md, "The bound of a cancellation").
	clockDriftDivisor = 500
	// timerSlack bounds the delay that the granularity of timers may add.
	timerSlack = time.Second
)

// LeaseBound returns after how long, by the leader's clock, a worker's lease has certainly ended,
// counted from the answer to its heartbeat.
func LeaseBound(lease time.Duration) time.Duration {
	return lease + lease/clockDriftDivisor + timerSlack
}
