package core

import (
	"time"

	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
	"gingertally/internal/recovery"
)

// Config is what the core needs of the settings.
type Config struct {
	Teams             map[string]placement.Quota
	Objectives        map[string][]Objective // by class of jobs
	HeartbeatInterval time.Duration
	Lease             time.Duration
	CancelWithin      time.Duration
	GangWait          time.Duration // how long a gang's task waits for the others
	InstanceListLag   time.Duration
	RestartLimit      int                  // bad exits of a task before it is held back
	BatchInterval     time.Duration        // how often partial progress is written
	MaxValueBytes     int                  // bytes that one value in the store may have
	WritesPerSecond   float64              // changes a second that the leader may make; 0: unknown
	RoundBudget       int                  // tasks looked at in one round of decisions
	Weights           Weights              // of money against lateness
	Debug             bool                 // notes at debug level are wanted
	Pace              recovery.PaceOptions // of orders at the start of a term
	Admission         bool                 // the backlog is to be measured, see Load
	WarmState         bool                 // changes of the warm state are to be noted, see WarmChanges
	Drain             *drain.Policy        // disruption budgets; nil: operators' drains are off
}

// Weights say what money is worth against lateness.
type Weights struct {
	SecondsPerDollarHour float64 // of delay that a place costing a dollar an hour more is worth
	IdleDollars          float64 // that may be spent on keeping one idle machine ready
	MoveGain             float64 // how many times its cost a move of tasks must save
	SmallFirst           float64 // seconds of due time that a second of machine time counts against a job
}

// DefaultWeights are the weights that docs/rounds.md arrived at.
func DefaultWeights() Weights {
	return Weights{SecondsPerDollarHour: 1, IdleDollars: 0.1, MoveGain: 3, SmallFirst: 12}
}

// ObjectiveKind is what an objective is about.
type ObjectiveKind uint8

// Kinds of objectives.
const (
	StartObjective    ObjectiveKind = iota // tasks started in time
	FinishObjective                        // jobs done in time
	DeadlineObjective                      // jobs done by their own deadline
)

// Objective is what the operators expect of a class of jobs.
type Objective struct {
	Kind   ObjectiveKind
	Within time.Duration // of a start or finish
	Times  float64       // of a deadline: so many times the job's own
}
