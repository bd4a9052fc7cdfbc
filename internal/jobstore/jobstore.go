// Package jobstore owns the layout of the scheduler's records in the state service: which
// keys exist, what their values hold, and who may change them under which condition.
//
//   - A job's record is created once, by any controller (Create), and changed by the
//     leader alone, in transactions that are conditional on its term (Apply).
//   - A cancellation is the exception: any controller may write it by compare-and-swap
//     over the version that it has read (Cancel).
//   - Pages of the start log, the image log, the cordons and the charges are the leader's.
//   - Drain plans are changed by compare-and-swap, by any controller.
//
// The package assumes that the store carries transactions out atomically and that the
// revision of a key grows with each change (package statestore). It decides nothing about
// scheduling: the core says what is to be written (core.Write).
//
// A Jobs is safe for concurrent use. The daemon's leader calls it from the goroutines of
// its term, and every controller from the goroutines that answer users and operators; the
// simulation calls it from its single goroutine. The package starts goroutines only in
// CheckDependencies, which waits for them.
//
// Errors of the store are returned with their type: they name operation, key and cause
// (statestore.RequestError). The texts of ErrBadDependency, ErrTooLarge and the errors of
// drain plans are shown to users and operators, so these are returned as they are.
package jobstore

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/statestore"
)

// Outcomes of operations on jobs, which callers tell apart with errors.Is.
var (
	// ErrExists says that a job with this reference was accepted before.
	ErrExists = errors.New("job exists")
	// ErrUnknownJob says that no job with this reference was ever accepted.
	ErrUnknownJob = errors.New("unknown job")
	// ErrDeposed says that a transaction failed because the leader's term is over.
	ErrDeposed = errors.New("the term is over")
	// ErrNotLeader says that another controller leads, and has to carry the operation out.
	ErrNotLeader = errors.New("another node leads")
	// ErrBadDependency says that a job names a dependency that it can't have.
	ErrBadDependency = errors.New("a job to wait for is unknown, a service or the job itself")
	// ErrTooLarge says that a job's record is larger than the largest value of the store.
	ErrTooLarge = errors.New("too large to be stored")
)

// Limits are the limits of the state service, and the package's own bounds.
type Limits struct {
	ValueBytes int // size of a value, in the JSON form in which the state service counts
	TxnOps     int // changes of a transaction
	// NotCancelledFor is for how long DependencyCancelled relies on having seen that a job
	// wasn't cancelled.
	NotCancelledFor time.Duration
}

// Store is what the package needs of the state service; statestore.Client implements it.
type Store interface {
	Get(ctx context.Context, key string) (statestore.KeyValue, bool, error)
	List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error)
	Commit(ctx context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error)
}

// Jobs reads and writes the records of jobs, machines and drains.
type Jobs struct {
	store  Store
	limits Limits
	cache  *cache
}

// New returns a Jobs that keeps its records in a store.
func New(store Store, limits Limits) *Jobs {
	return &Jobs{store: store, limits: limits, cache: newCache()}
}
