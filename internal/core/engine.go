// Package core is the deterministic part of a leader: its view of jobs and machines, and
// the decisions that follow from it. Step applies an event and returns the effects to be
// carried out. The package does no input or output, starts no goroutines, reads no clock,
// and gets its randomness from outside.
package core

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
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

// ObjectiveKind is what an aim is about.
type ObjectiveKind uint8

// Kinds of aims.
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

// Engine is a leader's state for one term. It isn't safe for concurrent use.
type Engine struct {
	cfg     Config
	term    uint64
	rng     *rand.Rand
	started time.Time // when the term was claimed, by this node's clock
	counter uint64    // of attempts, pages and rentals, which are numbered together
	out     Effects   // of the present step

	// Jobs.
	jobs          jobRegistry
	graph         *pipeline.Graph // of their dependencies
	classes       jobClasses
	cancellations cancellations // under way

	// Machines.
	machines   machineRegistry
	recovery   *recovery.Reconciler // of what the records and the machines say
	writesFail bool                 // the last batch wasn't written

	// What may be on machines.
	usage usage

	// Rounds of decisions.
	catalog      placement.Catalog
	freeCapacity placement.FreeCapacity
	changed      map[*fleet.Machine]bool // since freeCapacity last saw them
	round        placement.Round
	replan       bool              // something changed that placement may use
	demand       []capacity.Demand // what the present round found no room for
	plan         capacity.Plan
	lastTick     time.Time
	laggedAt     time.Time // when a tick last came too late
	placedAt     time.Time
	plannedAt    time.Time
	movedAt      time.Time // when machines to be emptied were last looked for
	emptying     map[*fleet.Machine]bool

	// What the store doesn't hold yet.
	startLog     startLog
	jobWrites    jobWrites
	images       imageLog
	jobEndsFirst bool // whose turn it is in the next batch

	drains *draining // operators' drains; nil: off

	// Admission under overload.
	waits     startWaits
	fairOrder FairOrderChanged
	backlog   fleet.Amount // what waited at the last round, in seconds of each resource

	// Warm standby.
	warm        *warmFeed // nil: off
	warmOutcome WarmOutcome
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	OK           bool // 200; otherwise the heartbeat is refused with 503
	FencingToken uint64
	Held         bool // worth holding for a moment, then to be completed by Collect
	Commands     []fleet.Command
}

// Direct is a set of commands to be sent to a worker at once.
type Direct struct {
	Machine, Addr string
	Incarnation   uint64
	FencingToken  uint64
	Commands      []fleet.Command
}

// ScaleOut is a request for machines; Name is unique over all terms.
type ScaleOut struct {
	Name       string
	Type, Zone string
	Spot       bool
	Count      int
}

// Effects is what a step wants done.
type Effects struct {
	Response *HeartbeatResponse
	Direct   []Direct
	ScaleOut []ScaleOut
	ScaleIn  [][]string
	Drains   []drain.PlanWrite // plans of drains whose records are to be written
	// HigherFencingToken is one that a worker has seen: somebody else has claimed a higher term, or
	// this one. 0: none has been seen.
	HigherFencingToken uint64
	// AttemptNumbersExhausted says that this term has to end for want of attempt numbers; the
	// next one can go on.
	AttemptNumbersExhausted bool
	Preempted               []*fleet.Attempt // attempts that make way for a job with a better claim
	Log                     []LogRecord
}

// Deposed tells whether this term is over since a higher one exists.
func (e *Effects) Deposed() bool { return e.HigherFencingToken != 0 }

// Event is anything that moves the engine on.
type Event interface {
	apply(e *Engine, now time.Time)
}

// Snapshot is what the store held when the term was claimed.
type Snapshot struct {
	Jobs   []StoredJob
	Pages  []StoredPage
	Images []StoredImages
	Drains drain.Stored // if drains are on
	// Restored says that workers have seen higher terms than the state service knew when
	// the term was claimed: it was restored from an older copy.
	Restored bool
}

// StoredImages is a page of the image log.
type StoredImages struct {
	Name   string
	Record fleet.ImageRecord
}

// StoredJob is a job's record with its version and further done ranges.
type StoredJob struct {
	Record  pipeline.Record
	Version uint64
	Chunks  map[int][]int
}

// StoredPage is a page of the start log with its version.
type StoredPage struct {
	Name    string
	Record  fleet.StartLogRecord
	Version uint64
}

// New makes the engine of a term claimed at `now`. All earlier leaders' leases have ended
// by then, so none of them has answered a worker after it (docs/design.md, safety arguments
// 1 and 4).
func New(now time.Time, cfg Config, term uint64, snap Snapshot, rng *rand.Rand) *Engine {
	e := &Engine{
		cfg:           cfg,
		term:          term,
		rng:           rng,
		started:       now,
		jobs:          newJobRegistry(),
		classes:       jobClasses{},
		cancellations: newCancellations(),
		machines:      newMachineRegistry(),
		usage:         newUsage(),
		changed:       map[*fleet.Machine]bool{},
		emptying:      map[*fleet.Machine]bool{},
		waits:         startWaits{},
		replan:        true,
	}
	e.recovery = recovery.New(now, recovery.Options{HeartbeatInterval: cfg.HeartbeatInterval, RestoredBound: fleet.LeaseBound(cfg.Lease), FirstTerm: term <= 1, Pace: cfg.Pace})
	if snap.Restored {
		e.recovery.Restored()
		e.log(LogRestoreDetected)
	}
	if cfg.WarmState {
		e.warm = newWarmFeed()
	}
	e.graph = pipeline.NewGraph(e.expectedDuration)
	e.startLog = newStartLog(&e.cfg, e.newPageName)
	e.jobWrites = newJobWrites()
	e.images = newImageLog(&e.cfg, now, e.newPageName, e.imagesOn)
	e.images.recover(snap.Images) // before the machines that it speaks of
	if cfg.Drain != nil {
		e.drains = newDraining(now, e, snap.Drains) // before the machines that it cordons
	}
	for _, s := range snap.Jobs {
		e.addJob(now, s)
	}
	e.recoverStartLog(now, snap.Pages)
	e.recoverCharges(now)
	for _, j := range sortedJobs(e.cancellations.stopping) {
		// The first answer already says so (TestFirstAnswerStopsCancelled).
		e.stopJob(now, j, stopCancelledInFormerTerm)
	}
	return e
}

// RestoreSettled tells whether this term need not be taken for one after a restore of the state
// service any more.
func (e *Engine) RestoreSettled(now time.Time) bool { return e.recovery.RestoreSettled(now) }

// Step applies an event and returns what is to be done about it.
func (e *Engine) Step(now time.Time, ev Event) Effects {
	e.out = Effects{}
	ev.apply(e, now)
	return e.out
}

// Term returns the engine's term, which is also its fencing token.
func (e *Engine) Term() uint64 { return e.term }

// newPageName makes a name for a page of the start log or image log that no other term
// can have made.
func (e *Engine) newPageName() string {
	e.counter++
	return fmt.Sprintf("%d-%d", e.term, e.counter)
}

// imagesOn is which images a machine is believed to have, if it has been heard of.
func (e *Engine) imagesOn(machine string) ([]fleet.Image, bool) {
	if m := e.machines.get(machine); m != nil {
		return m.Images(), true
	}
	return nil, false
}

// capacityChanged notes that what a machine may take has changed.
func (e *Engine) capacityChanged(m *fleet.Machine) {
	e.changed[m] = true
	e.replan = true
	e.warm.noteMachine(m.Name)
}

// imagesChanged notes that what is known of a machine's images has changed.
func (e *Engine) imagesChanged(m *fleet.Machine) {
	e.images.machineChanged(m.Name)
	e.warm.noteMachine(m.Name)
}

// Tick lets time pass: unresponsiveness, leases, cancellations, rounds of decisions.
type Tick struct {
	// Spent tells whether a round's time budget is used up; nil: never.
	Spent func() bool
}

func (t Tick) apply(e *Engine, now time.Time) {
	if !e.lastTick.IsZero() && now.Sub(e.lastTick) > lateTick {
		e.laggedAt = now
	}
	e.lastTick = now
	e.recovery.Pacer().Pass(now, !e.answersLate(now) && !e.writesFail)
	e.recovery.Advance(now, e.machines.everListed())
	e.checkMachines(now)
	e.enforceCancellations(now)
	e.decide(now, t.Spent)
	e.drainRound(now)
}

// LeaseResumed says that the leader's lease had lapsed and holds again: unresponsiveness meanwhile says
// nothing about the machines.
type LeaseResumed struct{}

func (LeaseResumed) apply(e *Engine, now time.Time) {
	for m := range e.machines.all() {
		if m.State() == fleet.Live || m.State() == fleet.Unresponsive || m.State() == fleet.AwaitingHeartbeat {
			m.ExcuseMissingHeartbeats(now)
		}
	}
}

// CatalogUpdated brings the cloud's machine types and present prices.
type CatalogUpdated struct{ Types placement.Catalog }

func (c CatalogUpdated) apply(e *Engine, _ time.Time) {
	if sameTypes(e.catalog, c.Types) {
		return
	}
	e.catalog = c.Types
	for m := range e.machines.all() {
		e.capacityChanged(m)
	}
}

// sameTypes tells whether two catalogs are equal.
func sameTypes(a, b placement.Catalog) bool {
	if len(a) != len(b) {
		return false
	}
	for name, t := range a {
		if other := b[name]; other == nil || !reflect.DeepEqual(t, other) {
			return false
		}
	}
	return true
}
