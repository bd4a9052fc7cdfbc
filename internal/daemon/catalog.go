package daemon

import (
	"context"
	"log/slog"
	"time"

	"gingertally/internal/cloud"
	"gingertally/internal/codec"
	"gingertally/internal/statestore"

	"gingertally/internal/core/placement"
	"gingertally/internal/leadership"
)

// catalogKey holds the machine types for nodes that start while the cloud's
// interface is down.
const catalogKey = "catalog"

const (
	catalogEvery = 5 * time.Minute
	catalogRetry = time.Second
)

// types are the machine types with their prices, as this node last learnt them.
func (d *Daemon) types() placement.Catalog {
	if catalog := d.catalog.Load(); catalog != nil {
		return *catalog
	}
	return nil
}

// fetchCatalog learns the machine types from the cloud.
func (d *Daemon) fetchCatalog(ctx context.Context) error {
	types, err := d.cloud.MachineTypes(ctx)
	if err != nil {
		return err
	}
	d.setCatalog(types)
	return nil
}

func (d *Daemon) setCatalog(types cloud.MachineTypes) {
	if catalog := types.Catalog(); len(catalog) > 0 {
		d.catalog.Store(&catalog)
	}
}

// shareCatalog leaves the machine types in the store, if they aren't there yet.
func (d *Daemon) shareCatalog(ctx context.Context, term leadership.Term) {
	if _, found, err := d.store.Get(ctx, catalogKey); err != nil || found {
		return
	}
	types, err := d.cloud.MachineTypes(ctx)
	if err != nil {
		return
	}
	value := types.Encode()
	if size, err := codec.JSONSize(value); err != nil || size > d.coreConfig.MaxValueBytes {
		slog.Debug("machine types too many to share", "bytes", size, "error", err)
		return
	}
	_, err = d.store.Commit(ctx, []statestore.Compare{{Key: leadership.TermKey, ModRevision: term.Revision}},
		[]statestore.Op{statestore.Put(catalogKey, value)})
	if err != nil {
		slog.Debug("share machine types", "error", err)
	}
}

// keepCatalog learns the machine types, from the cloud or else from the store,
// and refreshes them now and then.
func (d *Daemon) keepCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		err := d.fetchCatalog(ctx)
		if err == nil {
			sleep(ctx, catalogEvery)
			continue
		}
		slog.Debug("machine types", "error", err)
		if len(d.types()) == 0 {
			d.readSharedCatalog(ctx)
		}
		sleep(ctx, catalogRetry)
	}
	return ctx.Err()
}

// readSharedCatalog learns the machine types that a leader has left in the store.
func (d *Daemon) readSharedCatalog(ctx context.Context) {
	item, found, err := d.store.Get(ctx, catalogKey)
	if err != nil || !found {
		return
	}
	if types, err := cloud.DecodeMachineTypes(item.Value); err == nil {
		d.setCatalog(types)
	}
}
