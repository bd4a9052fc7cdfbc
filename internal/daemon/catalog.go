package daemon

import (
	"context"
	"log/slog"
	"time"

	"gingertally/internal/core/placement"
	"gingertally/internal/leadership"
	"gingertally/internal/wire"
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
	flavors, err := d.cloud.MachineTypes(ctx)
	if err != nil {
		return err
	}
	d.setCatalog(flavors)
	return nil
}

func (d *Daemon) setCatalog(flavors []wire.Flavor) {
	catalog := placement.Catalog{}
	for _, flavor := range flavors {
		catalog[flavor.Label] = &placement.Type{
			Name: flavor.Label, CPUs: flavor.VCPUs, GPUs: flavor.Cards, MemGB: flavor.MemGB, CacheGB: flavor.LocalGB,
			FetchGBPerS: flavor.PullGBPerS, Hourly: flavor.Hourly, SpotHour: flavor.SpotPrice,
			Boot: time.Duration(flavor.ReadyS * float64(time.Second)), Zones: flavor.Yards,
		}
	}
	if len(catalog) > 0 {
		d.catalog.Store(&catalog)
	}
}

// shareCatalog leaves the machine types in the store, if they aren't there yet.
func (d *Daemon) shareCatalog(ctx context.Context, term leadership.Term) {
	if _, found, err := d.store.Get(ctx, catalogKey); err != nil || found {
		return
	}
	flavors, err := d.cloud.MachineTypes(ctx)
	if err != nil {
		return
	}
	value := wire.MustMarshal(wire.Flavors{Builds: flavors})
	if size, err := wire.JSONSize(value); err != nil || size > d.coreConfig.MaxValueBytes {
		slog.Debug("machine types too many to share", "bytes", size, "error", err)
		return
	}
	_, err = d.store.Commit(ctx, []wire.Condition{{Path: leadership.TermKey, Stamp: term.Revision}},
		[]wire.Change{{Put: catalogKey, V: value}})
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
	var flavors wire.Flavors
	if wire.Unmarshal(item.V, &flavors) == nil {
		d.setCatalog(flavors.Builds)
	}
}
