package core

import (
	"time"

	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
	"gingertally/internal/recovery"
)

// Config holds the settings that the core needs.
type Config struct {
	Teams             map[string]placement.Quota // by team
	Objectives        map[string][]Objective     // by job class
	HeartbeatInterval time.Duration
	Lease             time.Duration        // workers' lease
	CancelWithin      time.Duration        // within which the tasks of a cancelled job must be gone
	GangWait          time.Duration        // how long a started gang task waits for the other tasks
	InstanceListLag   time.Duration        // how far the cloud's list of machines may lag behind
	RestartLimit      int                  // failures after which a task is retried less often
	ProgressInterval  time.Duration        // how often the progress of unfinished jobs is written
	MaxValueBytes     int                  // size limit of one value in the store
	WritesPerSecond   float64              // puts and deletes a second that the leader may make; 0 if unknown
	MaxRoundSteps     int                  // limit of jobs considered plus tasks placed in one pass of a round
	Weights           Weights              // weights of cost against delay
	Debug             bool                 // whether to emit log records at debug level
	Pace              recovery.PaceOptions // limits the rate of starts at the beginning of a term
	Admission         bool                 // whether to measure the backlog, see Load
	WarmState         bool                 // whether to record changes of the warm state, see WarmChanges
	Drain             *drain.Policy        // disruption budgets; nil if operators' drains are off
}

// Weights trade cost against delay.
type Weights struct {
	SecondsPerDollarHour float64 // seconds of delay that are accepted to save a dollar an hour
	IdleDollars          float64 // dollars that may be spent on keeping one idle machine
	MoveGain             float64 // factor by which the savings of a move must exceed its cost
	SmallFirst           float64 // seconds of delay in the order per second of machine time
}

// DefaultWeights returns the weights that the measurements in docs/rounds.md led to.
func DefaultWeights() Weights {
	return Weights{SecondsPerDollarHour: 1, IdleDollars: 0.1, MoveGain: 3, SmallFirst: 12}
}

// ObjectiveKind says what an objective refers to.
type ObjectiveKind uint8

// Kinds of objectives.
const (
	StartObjective    ObjectiveKind = iota // tasks start within a duration
	FinishObjective                        // jobs finish within a duration
	DeadlineObjective                      // jobs finish by a multiple of their own deadline
)

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind   ObjectiveKind
	Within time.Duration // for StartObjective and FinishObjective
	Times  float64       // for DeadlineObjective: multiple of the job's own deadline
}
