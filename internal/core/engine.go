package core

import (
	"reflect"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/recovery"
)

// Engine is a leader's state for one term. It joins concerns that each own their state: what an
// event means for one of them is in that one's methods, what it means for several in the
// engine's. It isn't safe for concurrent use.
type Engine struct {
	cfg     Config
	numbers numbering // the term, and what is numbered in it
	started time.Time // when the term was claimed, by this node's clock
	ticks   tickClock // whether this node keeps up
	out     Effects   // of the present step

	// Jobs.
	jobs          jobRegistry
	graph         *pipeline.Graph // of their dependencies
	classes       jobClasses
	cancellations cancellations // under way

	// Machines, and what may be on them.
	machines machineRegistry
	recovery *recovery.Reconciler // of what the records and the machines say
	usage    usage

	// Decisions.
	catalog  placement.Catalog
	capacity capacityView
	rounds   decisionRounds
	plan     capacity.Plan // of requests for machines
	emptying emptying

	// What the store doesn't hold yet.
	startLog  startLog
	jobWrites jobWrites
	images    imageLog
	batches   batchTurns

	drains *draining // operators' drains; nil: off

	// Admission under overload.
	waits     startWaits
	fairOrder FairOrderChanged

	// Warm standby.
	warm        *warmChangeSet // nil: off
	warmOutcome WarmOutcome
}

// Event is anything that moves the engine on.
type Event interface {
	apply(e *Engine, now time.Time)
}

// New makes the engine of a term claimed at `now`. All earlier leaders' leases have ended
// by then, so none of them has answered a worker after it (docs/design.md, safety arguments
// 1 and 4).
func New(now time.Time, cfg Config, term uint64, snap Snapshot) *Engine {
	e := &Engine{
		cfg:           cfg,
		numbers:       numbering{term: term},
		started:       now,
		jobs:          newJobRegistry(),
		classes:       jobClasses{},
		cancellations: newCancellations(),
		machines:      newMachineRegistry(),
		usage:         newUsage(),
		capacity:      newCapacityView(),
		emptying:      newEmptying(),
		jobWrites:     newJobWrites(),
		waits:         startWaits{},
	}
	e.rounds.request()
	e.recovery = recovery.New(now, recovery.Options{
		HeartbeatInterval: cfg.HeartbeatInterval,
		RestoredBound:     fleet.LeaseBound(cfg.Lease),
		FirstTerm:         term <= 1,
		Pace:              cfg.Pace,
	})
	if snap.Restored {
		e.recovery.StateServiceRestored()
		e.log(LogRestoreDetected)
	}
	if cfg.WarmState {
		e.warm = newWarmChangeSet()
	}
	e.graph = pipeline.NewGraph(e.expectedDuration)
	e.startLog = newStartLog(&e.cfg, e.numbers.nextPageName)
	e.images = newImageLog(&e.cfg, now, e.numbers.nextPageName, e.imagesOn)
	e.images.recover(snap.Images) // before the machines that they name
	if cfg.Drain != nil {
		e.drains = newDraining(now, e, snap.Drains) // before the machines that it cordons
	}
	for _, s := range snap.Jobs {
		e.addJob(now, s)
	}
	e.recoverStartLog(now, snap.Pages)
	e.recoverCharges(now)
	for _, j := range e.cancellations.beingStopped() {
		// The first answer already says so (TestFirstAnswerStopsCancelled).
		e.stopJob(now, j, stopCancelledInFormerTerm)
	}
	return e
}

// RestoreSettled reports whether this term need not be taken for one after a restore of the state
// service any more.
func (e *Engine) RestoreSettled(now time.Time) bool { return e.recovery.RestoreSettled(now) }

// Step applies an event and returns what is to be done about it.
func (e *Engine) Step(now time.Time, ev Event) Effects {
	e.out = Effects{}
	ev.apply(e, now)
	return e.out
}

// Term returns the engine's term, which is also its fencing token.
func (e *Engine) Term() uint64 { return e.numbers.term }

// imagesOn is which images a machine is believed to have, if it has been heard of.
func (e *Engine) imagesOn(machine string) ([]fleet.Image, bool) {
	if m := e.machines.get(machine); m != nil {
		return m.Images(), true
	}
	return nil, false
}

// capacityChanged notes that what a machine may take has changed.
func (e *Engine) capacityChanged(m *fleet.Machine) {
	e.capacity.machineChanged(m)
	e.rounds.request()
	e.warm.noteMachine(m.Name)
}

// imagesChanged notes that what is known of a machine's images has changed.
func (e *Engine) imagesChanged(m *fleet.Machine) {
	e.images.machineChanged(m.Name)
	e.warm.noteMachine(m.Name)
}

// Tick lets time pass: unresponsiveness, leases, cancellations, rounds of decisions.
type Tick struct {
	// Spent reports whether a round's time budget is used up; nil: never.
	Spent func() bool
}

func (t Tick) apply(e *Engine, now time.Time) {
	e.ticks.tick(now)
	e.recovery.Pacer().Advance(now, !e.ticks.answersLate(now, e.cfg.HeartbeatInterval) && !e.batches.failing)
	e.recovery.Advance(now, e.machines.everListed())
	e.checkMachines(now)
	e.enforceCancellations(now)
	e.decide(now, t.Spent)
	e.drainRound(now)
}

// LeaseResumed says that the leader's lease had lapsed and holds again: heartbeats that were missed
// meanwhile say nothing about the machines.
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

// sameTypes reports whether two catalogs are equal.
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
