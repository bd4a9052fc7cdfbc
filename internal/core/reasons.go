package core

// ScaleInReason is why a machine is given back.
type ScaleInReason string

// Reasons for giving machines back.
const (
	ScaleInIdle            ScaleInReason = "idle"
	ScaleInDrained         ScaleInReason = "drained"
	ScaleInNeverLive       ScaleInReason = "never sent a heartbeat"
	ScaleInUnresponsive    ScaleInReason = "unresponsive"
	ScaleInUnreachable     ScaleInReason = "receives no answers"
	ScaleInWorkerRestarted ScaleInReason = "worker restarted"
	ScaleInInstanceFailed  ScaleInReason = "instance failed"
	ScaleInCancelledTask   ScaleInReason = "holds a cancelled task"
	ScaleInRetry           ScaleInReason = "scale-in is tried again"
)

// lostReason is why an attempt is proven gone without an exit in a heartbeat.
type lostReason string

// Reasons for which attempts are lost, besides those of package recovery.
const (
	lostIncarnationEnded lostReason = "worker incarnation ended"
	lostLeaseExpired     lostReason = "worker lease expired"
	lostMachineRemoved   lostReason = "machine removed"
)

// stopReason is why all tasks of a job are stopped.
type stopReason string

// Reasons for which jobs are stopped.
const (
	stopCancelRequested       stopReason = "cancellation requested"
	stopCancelled             stopReason = "cancelled"
	stopCancelledInFormerTerm stopReason = "cancelled before this term"
)
