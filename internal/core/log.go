package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// LogEvent is the message of a log record. docs/operating.md explains each message at level info or
// above and says what to do about it.
type LogEvent string

// Events of machines.
const (
	LogMachineDiscovered     LogEvent = "unrecorded machine discovered"
	LogMachineLive           LogEvent = "machine live"
	LogMachineUnresponsive   LogEvent = "machine unresponsive"
	LogWorkerLeaseExpired    LogEvent = "worker lease expired"
	LogMachineQuarantined    LogEvent = "machine quarantined"
	LogInterruptionNotice    LogEvent = "instance interruption notice"
	LogScaleOutAnswered      LogEvent = "scale-out answered"
	LogScaleInRequested      LogEvent = "scale-in requested"
	LogMachineRemoved        LogEvent = "machine removed"
	LogConsolidationStarted  LogEvent = "machine consolidation started"
	LogConsolidationGivenUp  LogEvent = "machine consolidation given up"
	LogMachineCordoned       LogEvent = "machine cordoned"
	LogMachineDrainBlocked   LogEvent = "machine drain blocked"
	LogMachineDrained        LogEvent = "machine drained"
	LogDrainPlanChanged      LogEvent = "drain plan changed"
	LogExpectedHeartbeatLate LogEvent = "expected heartbeat missing"
)

// Events of jobs and attempts.
const (
	LogJobDiscovered         LogEvent = "job discovered"
	LogJobDependenciesDone   LogEvent = "job dependencies done"
	LogJobTasksDone          LogEvent = "job tasks done"
	LogJobCancelled          LogEvent = "job cancelled"
	LogJobCancelledDependent LogEvent = "job cancelled because a dependency was cancelled"
	LogJobTasksStopped       LogEvent = "job tasks stopped"
	LogJobFinished           LogEvent = "job finished"
	LogJobRecordInvalid      LogEvent = "job record invalid"
	LogTaskPlaced            LogEvent = "task placed"
	LogTaskPreempted         LogEvent = "task preempted"
	LogTaskEvicted           LogEvent = "task evicted"
	LogStartSent             LogEvent = "attempt start sent"
	LogAttemptRunning        LogEvent = "attempt running"
	LogAttemptSucceeded      LogEvent = "attempt succeeded"
	LogAttemptExited         LogEvent = "attempt exited"
	LogAttemptLost           LogEvent = "attempt lost"
	LogAttemptAdopted        LogEvent = "unrecorded attempt adopted"
	LogUnwantedAttempt       LogEvent = "unwanted attempt stopped"
)

// Events of the term.
const (
	LogRestoreDetected   LogEvent = "state service restored from an older copy"
	LogWarmStateApplied  LogEvent = "warm state applied"
	LogWriteRejected     LogEvent = "write rejected by the state service"
	LogFairOrderSwitched LogEvent = "fair team order switched"
)

// LogRecord is a record that the caller of the engine has to write to the log.
type LogRecord struct {
	Level slog.Level
	Event LogEvent
	Attrs []slog.Attr
}

// log adds a record at level info to the effects.
func (e *Engine) log(event LogEvent, attrs ...slog.Attr) {
	e.out.Log = append(e.out.Log, LogRecord{Level: slog.LevelInfo, Event: event, Attrs: attrs})
}

// debug adds a record at level debug to the effects, if Config.Debug is set.
func (e *Engine) debug(event LogEvent, attrs ...slog.Attr) {
	if !e.cfg.Debug {
		return
	}
	e.out.Log = append(e.out.Log, LogRecord{Level: slog.LevelDebug, Event: event, Attrs: attrs})
}

// Keys of attributes that several events share.
const (
	logKeyJob     = "job"
	logKeyTask    = "task"
	logKeyAttempt = "attempt"
	logKeyMachine = "machine"
	logKeyReason  = "reason"
	logKeyPlan    = "plan"
)

func logJob(j *pipeline.Job) slog.Attr { return slog.String(logKeyJob, j.Ref) }

func logMachine(m *fleet.Machine) slog.Attr { return slog.String(logKeyMachine, m.Name) }

func logReason(reason string) slog.Attr { return slog.String(logKeyReason, reason) }

// logActive returns an attribute with the number of attempts that may be on a machine.
func logActive(m *fleet.Machine) slog.Attr { return slog.Int("attempts", m.ActiveAttempts()) }

// logPool returns attributes with a machine's type and zone, and whether it is a spot machine.
func logPool(k fleet.PoolKey) []slog.Attr {
	return []slog.Attr{slog.String("type", k.Type), slog.String("zone", k.Zone), slog.Bool("spot", k.Spot)}
}

// logAttempt returns attributes with an attempt's job, task, number and machine, followed by further
// ones.
func logAttempt(a *fleet.Attempt, more ...slog.Attr) []slog.Attr {
	attrs := []slog.Attr{
		slog.String(logKeyJob, a.Ref), slog.Int(logKeyTask, a.Task), slog.Uint64(logKeyAttempt, a.Number),
		logMachine(a.Machine),
	}
	return append(attrs, more...)
}

// logSince returns an attribute with the time that has passed since an event.
func logSince(key string, now, since time.Time) slog.Attr { return slog.Duration(key, now.Sub(since)) }
