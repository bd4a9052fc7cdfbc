package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/statestore"
)

// invariant is a rule that holds at every step of every world. The invariants are in the files
// invariant_*.go. An invariant observes what happens in the world and reports violations with
// checker.fail. It draws no random numbers and changes nothing in the world.
//
// Violations of the protocol's rules begin with the protocol's name of the rule: ran_twice, quota,
// wrong_place, ran_cancelled, forgotten, invented, not_done, went_back, nothing_ran. The other
// rules are this project's own. TestInvariantsSeeViolations and TestDrainChecksSeeFaults break each
// rule in a world, and expect its invariant to fail; the comment on an invariant names these
// deliberate faults.
type invariant interface {
	observe(observation)
}

// observation is something that happens in a world and that invariants may check.
type observation interface{ isObservation() }

// Observations.
type (
	// eventHandled: the world has handled one event of its queue.
	eventHandled struct{}
	// startReceived: a worker has received the command to start a task that it doesn't have yet.
	startReceived struct{ task *task }
	// stopReceived: a worker has received the command to stop a task, and is about to carry it out.
	stopReceived struct{ task *task }
	// taskStarted: a task's image is there, so from now on it counts as being on its machine.
	taskStarted struct{ task *task }
	// taskRunning: a task begins to run. The tasks of a gang begin together, once all of them are
	// on their machines.
	taskRunning struct{ task *task }
	// taskExited: a task exits by itself or because it was stopped. It still counts as being on its machine.
	taskExited struct{ task *task }
	// transactionCommitted: the state service has carried out a transaction.
	transactionCommitted struct{ changes []statestore.Op }
	// jobReported: a user is told the state of a job. The userJob still holds what was reported
	// before.
	jobReported struct {
		job   *userJob
		view  core.JobView
		known bool
	}
	// cancellationReported: a user is told for the first time that a job is cancelled.
	cancellationReported struct{ job *userJob }
	// unknownJobReported: a user has queried a job that nobody submitted, and was told that it
	// exists.
	unknownJobReported struct{ view core.JobView }
	// queryFinished: a user's query about a job has ended, with or without an answer.
	queryFinished struct{ job *userJob }
	// answeredInTerm: a node answers a worker or a user from the engine of a term.
	answeredInTerm struct{ term uint64 }
	// heartbeatAnswered: a leader sends its response to a heartbeat.
	heartbeatAnswered struct {
		machine  string
		response core.HeartbeatResponse
	}
	// directCommandsSent: a leader has sent commands to a worker directly.
	directCommandsSent struct{ direct core.DirectCommands }
	// engineStepped: the engine of a node has handled an event.
	engineStepped struct {
		node    *node
		effects core.Effects
	}
	// policyOffered: a node was offered an admission policy, and adopted or ignored it. before is
	// the one it had.
	policyOffered struct {
		node            *node
		before, offered admission.Policy
	}
	// submissionRefused: admission control has refused a submission, with a Retry-After.
	submissionRefused struct{ retryAfter time.Duration }
	// worldEnded: the world has reached its end without a violation so far.
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
func (answeredInTerm) isObservation()       {}
func (heartbeatAnswered) isObservation()    {}
func (directCommandsSent) isObservation()   {}
func (engineStepped) isObservation()        {}
func (policyOffered) isObservation()        {}
func (submissionRefused) isObservation()    {}
func (worldEnded) isObservation()           {}

// checker passes what happens in a world to the invariants, and keeps the first violation.
type checker struct {
	w          *World
	violation  error
	ledger     *taskLedger
	invariants []invariant

	// Invariants that other code also refers to.
	leaders  *singleLeader
	pace     *boundedPace
	replicas *replicasMoveInTurn
	waiting  *nothingLeftWaiting
	cordons  *cordonsRespected // nil in a world without drains
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
		&allowedPlacement{w: w},
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
		c.cordons = newCordonsRespected(w)
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

// taskName returns the name of a task, which is the same for all its attempts.
func taskName(t *task) string { return fleet.TaskID{Ref: t.job.spec.Ref, Task: t.index}.String() }
