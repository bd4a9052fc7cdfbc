// Package machinetypes caches the cloud's machine types with their prices. It gets them from the
// cloud or, if none are known yet and the cloud's API is down, from the state service, where a
// leader has stored them.
//
// The package owns the key "catalog", which only a leader writes, conditional on its term. All
// methods may be called from any goroutine.
package machinetypes

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gingertally/internal/cloud"
	"gingertally/internal/codec"
	"gingertally/internal/core/placement"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
	"gingertally/internal/wait"
)

// Key is the key in the state service that holds the machine types, for controllers that start while
// the cloud's API is down.
const Key = "catalog"

const (
	refreshInterval = 5 * time.Minute
	refreshRetry    = time.Second
)

// Catalog holds the machine types that a controller knows.
type Catalog struct {
	cloud         *cloud.Client
	store         *statestore.Client
	maxValueBytes int
	current       atomic.Pointer[placement.Catalog]
	log           *slog.Logger
}

// New returns a catalog without machine types. StoreIfMissing stores no value larger than
// maxValueBytes.
func New(client *cloud.Client, store *statestore.Client, maxValueBytes int) *Catalog {
	return &Catalog{
		cloud:         client,
		store:         store,
		maxValueBytes: maxValueBytes,
		log:           slog.With("component", "machine types"),
	}
}

// Types returns the machine types with their prices as last fetched; it is nil if none are known
// yet.
func (c *Catalog) Types() placement.Catalog {
	if types := c.current.Load(); types != nil {
		return *types
	}
	return nil
}

// Fetch gets the machine types from the cloud.
func (c *Catalog) Fetch(ctx context.Context) error {
	types, err := c.cloud.MachineTypes(ctx)
	if err != nil {
		return err
	}
	c.set(types)
	return nil
}

func (c *Catalog) set(types cloud.MachineTypes) {
	if catalog := types.Catalog(); len(catalog) > 0 {
		c.current.Store(&catalog)
	}
}

// Run fetches the machine types and refreshes them regularly until ctx ends. While the cloud can't
// be asked and none are known, it reads those in the state service.
func (c *Catalog) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.Fetch(ctx)
		if err == nil {
			wait.Sleep(ctx, refreshInterval)
			continue
		}
		c.log.Debug("machine types not fetched", "error", err)
		if len(c.Types()) == 0 {
			c.readStored(ctx)
		}
		wait.Sleep(ctx, refreshRetry)
	}
	return ctx.Err()
}

// readStored reads the machine types that a leader has stored in the state service.
func (c *Catalog) readStored(ctx context.Context) {
	item, found, err := c.store.Get(ctx, Key)
	if err != nil || !found {
		return
	}
	types, err := cloud.DecodeMachineTypes(item.Value)
	if err != nil {
		c.log.Error("machine types unreadable", "error", err)
		return
	}
	c.set(types)
}

// StoreIfMissing stores the cloud's machine types in the state service if it has none yet. The write
// is conditional on the term, which must not be over.
func (c *Catalog) StoreIfMissing(ctx context.Context, term leadership.Term) {
	if _, found, err := c.store.Get(ctx, Key); err != nil || found {
		return
	}
	types, err := c.cloud.MachineTypes(ctx)
	if err != nil {
		return
	}
	value := types.Encode()
	if size, err := codec.JSONSize(value); err != nil || size > c.maxValueBytes {
		c.log.Debug("machine types too large to store", "bytes", size, "error", err)
		return
	}
	underTerm := []statestore.Compare{{Key: leadership.TermKey, ModRevision: term.Revision}}
	if _, err := c.store.Commit(ctx, underTerm, []statestore.Op{statestore.Put(Key, value)}); err != nil {
		c.log.Debug("machine types not stored", "error", err)
	}
}
