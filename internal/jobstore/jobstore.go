// Package jobstore defines the layout of the scheduler's records in the state service: which
// keys exist, what their values hold, and who may change them under which condition.
//
//   - A job's record is created once, by any controller (Create). After that only the leader
//     changes it, in transactions that are conditional on its term (Apply).
//   - A cancellation is the exception: any controller may write it, by compare-and-swap on the
//     version of the record that it has read (Cancel).
//   - Pages of the start log, the image log, the cordons and the charges are written by the
//     leader alone, under its term (Apply).
//   - Drain plans may be changed by any controller, by compare-and-swap.
//
// The package relies on the store to carry out transactions atomically, and to raise the
// modification revision of a key with each change (package statestore). That revision is the
// version of the record under the key. The package makes no scheduling decisions: the core
// decides what is to be written (core.Write).
//
// A Jobs is safe for concurrent use. In the daemon, the leader calls it from the goroutines of
// its term, and every controller calls it from the goroutines that serve users and operators;
// the simulation calls it from its single goroutine. The package starts goroutines only in
// CheckDependencies, which waits for them.
//
// Errors of the store are returned or wrapped, so that callers can tell them apart; they name the
// operation, the key and the cause (statestore.RequestError). The texts of ErrBadDependency,
// ErrTooLarge and the errors of drain plans are shown to users and operators, so no internal
// context is added to them.
package jobstore

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/statestore"
)

// Errors of operations on jobs, which callers tell apart with errors.Is.
var (
	// ErrExists reports that a job with this reference was accepted before.
	ErrExists = errors.New("job exists")
	// ErrUnknownJob reports that no job with this reference was ever accepted.
	ErrUnknownJob = errors.New("unknown job")
	// ErrDeposed reports that nothing was written because the leader's term is over.
	ErrDeposed = errors.New("the term is over")
	// ErrNotLeader reports that another controller leads, so that this one may not do the operation.
	ErrNotLeader = errors.New("another node leads")
	// ErrBadDependency reports that a job names a dependency that isn't allowed.
	ErrBadDependency = errors.New("a job to wait for is unknown, a service or the job itself")
	// ErrTooLarge reports that a job's record exceeds the store's limit for a value.
	ErrTooLarge = errors.New("too large to be stored")
)

// Limits are the limits of the state service that the package observes, and limits of its own.
type Limits struct {
	ValueBytes int // maximum size of a value; the state service counts its JSON form
	TxnOps     int // maximum number of changes in a transaction
	// NotCancelledFor is for how long DependencyCancelled relies on a cached result that a job
	// wasn't cancelled.
	NotCancelledFor time.Duration
}

// Store is the part of the state service's client that the package uses; statestore.Client
// implements it.
type Store interface {
	Get(ctx context.Context, key string) (statestore.KeyValue, bool, error)
	List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error)
	Commit(ctx context.Context, conditions []statestore.Compare, changes []statestore.Op) (uint64, error)
}

// Jobs reads and writes the records of jobs, machines and drains in the state service.
type Jobs struct {
	store  Store
	limits Limits
	cache  *cache
}

// New returns a Jobs that reads and writes the records in a store.
func New(store Store, limits Limits) *Jobs {
	return &Jobs{store: store, limits: limits, cache: newCache()}
}
