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

// Engine is a leader's state for one term. Its components own their state: an event that concerns
// one of them is handled in the component's methods, one that concerns several in the engine's. An
// Engine isn't safe for concurrent use.
type Engine struct {
	cfg     Config
	numbers numbering // the term, and the numbers and names assigned in it
	started time.Time // when the term was claimed, by this node's clock
	ticks   tickClock // detects that this node is slow
	out     Effects   // effects of the current step

	// Jobs.
	jobs          jobRegistry
	graph         *pipeline.Graph // dependencies between jobs
	classes       jobClasses
	cancellations cancellations // cancellations in progress

	// Machines, and the attempts that may be on them.
	machines machineRegistry
	recovery *recovery.Reconciler // compares the records with the heartbeats
	usage    usage

	// Decisions.
	catalog  placement.Catalog
	capacity capacityView
	rounds   decisionRounds
	plan     capacity.Plan // requests for machines
	emptying emptying

	// Data that has to be written to the store.
	startLog  startLog
	jobWrites jobWrites
	images    imageLog
	batches   batchState

	drains *draining // operators' drains; nil if drains are off

	// Admission under overload.
	waits     startWaits
	fairOrder FairOrderChanged

	// Warm standby.
	warm        *warmChangeSet // nil if the warm state is off
	warmOutcome WarmOutcome
}

// Event is an input that changes the engine's state.
type Event interface {
	apply(e *Engine, now time.Time)
}

// New returns the engine for a term that was claimed at `now`. The leases of all earlier leaders
// have ended by then, so none of them answers a worker after `now` (docs/design.md, safety
// arguments 1 and 4).
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
	e.images.recover(snap.Images) // before the machines that the pages name are added
	if cfg.Drain != nil {
		e.drains = newDraining(now, e, snap.Drains) // before the machines that it cordons are added
	}
	for _, s := range snap.Jobs {
		e.addJob(now, s)
	}
	e.recoverStartLog(now, snap.Pages)
	e.recoverCharges(now)
	for _, j := range e.cancellations.beingStopped() {
		// The first answer to each machine already carries the stops
		// (TestFirstAnswerStopsCancelled).
		e.stopJob(now, j, stopCancelledInFormerTerm)
	}
	return e
}

// RestoreSettled reports whether this term no longer has to be treated as one that follows a
// restore of the state service.
func (e *Engine) RestoreSettled(now time.Time) bool { return e.recovery.RestoreSettled(now) }

// Step applies an event and returns the effects that the caller has to carry out.
func (e *Engine) Step(now time.Time, ev Event) Effects {
	e.out = Effects{}
	ev.apply(e, now)
	return e.out
}

// Term returns the engine's term, which is also its fencing token.
func (e *Engine) Term() uint64 { return e.numbers.term }

// imagesOn returns the images that a machine is believed to have, and whether the machine is known.
func (e *Engine) imagesOn(machine string) ([]fleet.Image, bool) {
	if m := e.machines.get(machine); m != nil {
		return m.Images(), true
	}
	return nil, false
}

// capacityChanged records that the capacity that a machine offers to placement has changed, and
// requests a round of decisions.
func (e *Engine) capacityChanged(m *fleet.Machine) {
	e.capacity.machineChanged(m)
	e.rounds.request()
	e.warm.noteMachine(m.Name)
}

// imagesChanged records that the known set of a machine's images has changed.
func (e *Engine) imagesChanged(m *fleet.Machine) {
	e.images.machineChanged(m.Name)
	e.warm.noteMachine(m.Name)
}

// Tick runs everything that depends on the time: the pace of a recovery, checks of machines and
// their leases, deadlines of cancellations, rounds of decisions, and drains.
type Tick struct {
	// BudgetSpent reports whether the time budget of this pass of a round is used up; nil means that
	// there is no time budget.
	BudgetSpent func() bool
}

func (t Tick) apply(e *Engine, now time.Time) {
	e.ticks.tick(now)
	e.recovery.Pacer().Advance(now, !e.ticks.answersLate(now, e.cfg.HeartbeatInterval) && !e.batches.failing)
	e.recovery.Advance(now, e.machines.everListed())
	e.checkMachines(now)
	e.enforceCancellations(now)
	e.decide(now, t.BudgetSpent)
	e.drainRound(now)
}

// LeaseResumed says that the leader's lease had lapsed and is valid again. Heartbeats that are
// missing from the time between prove nothing about the machines.
type LeaseResumed struct{}

func (LeaseResumed) apply(e *Engine, now time.Time) {
	for m := range e.machines.all() {
		if m.State() == fleet.Live || m.State() == fleet.Unresponsive || m.State() == fleet.AwaitingHeartbeat {
			m.ExcuseMissingHeartbeats(now)
		}
	}
}

// CatalogUpdated carries the cloud's machine types and current prices.
type CatalogUpdated struct{ Types placement.Catalog }

func (c CatalogUpdated) apply(e *Engine, _ time.Time) {
	if catalogsEqual(e.catalog, c.Types) {
		return
	}
	e.catalog = c.Types
	for m := range e.machines.all() {
		e.capacityChanged(m)
	}
}

// catalogsEqual reports whether two catalogs are equal.
func catalogsEqual(a, b placement.Catalog) bool {
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
