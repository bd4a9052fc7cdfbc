package core

// ScaleInReason says why a machine is released.
type ScaleInReason string

// Reasons for releasing machines.
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

// lostReason says why an attempt is proven gone without a reported exit.
type lostReason string

// Reasons for losing attempts, in addition to those of package recovery.
const (
	lostIncarnationEnded lostReason = "worker incarnation ended"
	lostLeaseExpired     lostReason = "worker lease expired"
	lostMachineRemoved   lostReason = "machine removed"
)

// stopReason says why all tasks of a job are stopped.
type stopReason string

// Reasons for stopping all tasks of a job.
const (
	stopCancelRequested       stopReason = "cancellation requested"
	stopCancelled             stopReason = "cancelled"
	stopCancelledInFormerTerm stopReason = "cancelled before this term"
)
