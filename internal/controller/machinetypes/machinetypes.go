// Package machinetypes keeps the cloud's machine types at hand, with their prices: from the cloud, or,
// while its interface is down, from the state service, where a leader has left them.
//
// It owns the key catalog, written by the leader under its term. All methods may be called from any
// goroutine.
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

// Key holds the machine types for controllers that start while the cloud's interface is down.
const Key = "catalog"

const (
	refreshEvery = 5 * time.Minute
	refreshRetry = time.Second
)

// Catalog is what a controller knows of the machine types.
type Catalog struct {
	cloud         *cloud.Client
	store         *statestore.Client
	maxValueBytes int
	current       atomic.Pointer[placement.Catalog]
	log           *slog.Logger
}

// New makes a catalog that knows no type yet.
func New(client *cloud.Client, store *statestore.Client, maxValueBytes int) *Catalog {
	return &Catalog{
		cloud:         client,
		store:         store,
		maxValueBytes: maxValueBytes,
		log:           slog.With("component", "machine types"),
	}
}

// Types are the machine types with their prices, as last learnt; empty if none are known yet.
func (c *Catalog) Types() placement.Catalog {
	if types := c.current.Load(); types != nil {
		return *types
	}
	return nil
}

// Fetch learns the machine types from the cloud.
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

// Run learns the machine types, from the cloud or else from the state service,
// and refreshes them now and then, until ctx ends.
func (c *Catalog) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.Fetch(ctx)
		if err == nil {
			wait.Sleep(ctx, refreshEvery)
			continue
		}
		c.log.Debug("machine types not fetched", "error", err)
		if len(c.Types()) == 0 {
			c.readShared(ctx)
		}
		wait.Sleep(ctx, refreshRetry)
	}
	return ctx.Err()
}

// readShared learns the machine types that a leader has left in the state service.
func (c *Catalog) readShared(ctx context.Context) {
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

// Share leaves the machine types in the state service under a term, if they aren't there yet.
func (c *Catalog) Share(ctx context.Context, term leadership.Term) {
	if _, found, err := c.store.Get(ctx, Key); err != nil || found {
		return
	}
	types, err := c.cloud.MachineTypes(ctx)
	if err != nil {
		return
	}
	value := types.Encode()
	if size, err := codec.JSONSize(value); err != nil || size > c.maxValueBytes {
		c.log.Debug("machine types too large to share", "bytes", size, "error", err)
		return
	}
	underTerm := []statestore.Compare{{Key: leadership.TermKey, ModRevision: term.Revision}}
	if _, err := c.store.Commit(ctx, underTerm, []statestore.Op{statestore.Put(Key, value)}); err != nil {
		c.log.Debug("machine types not shared", "error", err)
	}
}
