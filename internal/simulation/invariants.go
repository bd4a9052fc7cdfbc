package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/statestore"
)

// invariant is a rule that holds at every step of every world. Each invariant stands in one of the files
// invariant_*.go. It is told what happens in the world and reports what breaks the rule by checker.fail. It
// draws no random numbers and changes nothing in the world.
//
// The rules that the protocol names begin their violations with its name for them: ran_twice, quota,
// wrong_place, ran_cancelled, forgotten, invented, not_done, went_back, nothing_ran. The other rules are ours.
// TestInvariantsSeeViolations and TestDrainChecksSeeFaults break each rule in a world, and expect its invariant to
// fail; the comment on an invariant names these deliberate faults.
type invariant interface {
	observe(observation)
}

// observation is something that happens in a world and that invariants may judge.
type observation interface{ isObservation() }

// What happens in a world.
type (
	// eventHandled: the world has handled one event of its queue.
	eventHandled struct{}
	// startReceived: a worker has received the command to start a task that it doesn't have yet.
	startReceived struct{ task *task }
	// stopReceived: a worker has received the command to stop a task, and is about to obey.
	stopReceived struct{ task *task }
	// taskStarted: a task's image is there, so from now on it counts as being on its machine.
	taskStarted struct{ task *task }
	// taskRunning: a task begins to run. A gang's tasks have then waited for each other.
	taskRunning struct{ task *task }
	// taskExited: a task exits by itself or because it was stopped. It still counts as being on its machine.
	taskExited struct{ task *task }
	// transactionCommitted: the state service has carried out a transaction.
	transactionCommitted struct{ changes []statestore.Op }
	// jobReported: a user is told of a job. The job still has what was reported before.
	jobReported struct {
		job   *userJob
		view  core.JobView
		known bool
	}
	// cancellationReported: a user is told for the first time that a job is cancelled.
	cancellationReported struct{ job *userJob }
	// unknownJobReported: a user has asked about a job that nobody submitted, and was told of one.
	unknownJobReported struct{ view core.JobView }
	// queryFinished: a user's query about a job was answered, or wasn't.
	queryFinished struct{ job *userJob }
	// heartbeatAnswered: a leader's response to a heartbeat leaves.
	heartbeatAnswered struct {
		machine  string
		response core.HeartbeatResponse
	}
	// directCommandsSent: a leader has sent commands to a worker directly.
	directCommandsSent struct{ direct core.DirectCommands }
	// engineStepped: the engine of a node has taken in an event.
	engineStepped struct {
		node    *node
		effects core.Effects
	}
	// policyTaken: a node was offered an admission policy, and took or ignored it.
	policyTaken struct {
		node            *node
		before, offered admission.Policy
	}
	// submissionRefused: admission control has refused a submission for some time.
	submissionRefused struct{ retryAfter time.Duration }
	// worldEnded: the world is over, without a violation so far.
	worldEnded struct{}
)

func (eventHandled) isObservation()         {}
func (startReceived) isObservation()        {}
func (stopReceived) isObservation()         {}
func (taskStarted) isObservation()          {}
func (taskRunning) isObservation()          {}
func (taskExited) isObservation()           {}
func (transactionCommitted) isObservation() {}
func (jobReported) isObservation()          {}
func (cancellationReported) isObservation() {}
func (unknownJobReported) isObservation()   {}
func (queryFinished) isObservation()        {}
func (heartbeatAnswered) isObservation()    {}
func (directCommandsSent) isObservation()   {}
func (engineStepped) isObservation()        {}
func (policyTaken) isObservation()          {}
func (submissionRefused) isObservation()    {}
func (worldEnded) isObservation()           {}

// checker holds the invariants against what happens in a world, and keeps the first violation.
type checker struct {
	w          *World
	violation  error
	ledger     *taskLedger
	invariants []invariant

	// Those that something else refers to, too.
	leaders  *singleLeader
	pace     *boundedPace
	replicas *replicasMoveInTurn
	waiting  *nothingLeftWaiting
	cordons  *cordonsHold // nil: nobody drains machines
}

func newChecker(w *World) *checker {
	c := &checker{w: w, ledger: newTaskLedger(w)}
	c.leaders = &singleLeader{w: w}
	c.pace = &boundedPace{w: w}
	c.replicas = &replicasMoveInTurn{w: w, moved: map[*userJob]map[int]bool{}}
	c.waiting = &nothingLeftWaiting{w: w, since: map[*userJob]time.Time{}}
	c.invariants = []invariant{
		c.waiting,
		&runsOnce{w: w},
		&attemptsUsedOnce{w: w, used: map[string]bool{}},
		&allowedPlace{w: w},
		&storedBeforeStart{w: w},
		&withinQuota{w: w},
		&dependenciesFirst{w: w},
		&cancelledTasksEnd{w: w},
		c.leaders,
		c.pace,
		c.replicas,
		&jobsRemembered{w: w},
		&doneIsComplete{w: w},
		&endsAreFinal{w: w},
		&dependentsCancelled{w: w},
		&admissionConsistent{w: w, policies: map[[2]uint64]string{}},
		&everyJobEnds{w: w},
	}
	if w.drains != nil {
		c.cordons = newCordonsHold(w)
		c.invariants = append(c.invariants, newDisruptionBudgets(w), c.cordons)
	}
	return c
}

// fail records a violation of an invariant. Only the first one counts, since it may have caused the others.
func (c *checker) fail(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

// observe tells the ledger and all invariants what has happened.
func (c *checker) observe(o observation) {
	c.ledger.record(o)
	for _, i := range c.invariants {
		i.observe(o)
	}
}

// taskName is the name of a task, whatever its attempt.
func taskName(t *task) string { return fleet.TaskID{Ref: t.job.spec.Ref, Task: t.index}.String() }
