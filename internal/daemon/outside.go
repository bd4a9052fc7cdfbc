package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/cloud"
	"gingertally/internal/core"
	"gingertally/internal/core/placement"
	"gingertally/internal/leadership"
	"gingertally/internal/wire"
)

// orderSender sends direct commands to workers, a few at a time.
type orderSender struct {
	http *fasthttp.Client
	slot chan struct{}
}

// maxOrders bounds the direct commands under way. One that can't go now is
// repeated with the worker's next report anyway.
const maxOrders = 32

func newOrderSender() *orderSender {
	return &orderSender{
		http: &fasthttp.Client{MaxConnsPerHost: 1, MaxIdleConnDuration: 10 * time.Second, ReadTimeout: 3 * time.Second,
			WriteTimeout: 3 * time.Second, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		slot: make(chan struct{}, maxOrders),
	}
}

func (o *orderSender) send(r *reign, d core.Direct) {
	select {
	case o.slot <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-o.slot }()
		if !r.entitled() {
			return
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + d.Addr + "/orders")
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(wire.MustMarshal(wire.Orders{Gavel: d.Token, Shift: d.Session, Orders: wire.OrdersOf(d.Commands)}))
		err := o.http.DoTimeout(req, resp, 3*time.Second)
		slog.Debug("direct commands", "machine", d.Machine, "status", resp.StatusCode(), "error", err)
	}()
}

// rentTries is how often a rental is asked for again when there is no answer.
const rentTries = 4

func (r *reign) rent(q core.Rent) {
	req := wire.RentalRequest{Hire: q.Name, Build: q.Type, Yard: q.Zone, Loaners: q.Spot, Count: q.Count}
	res := core.Rented{Rent: q, Unknown: true}
	for try := 0; try < rentTries && r.entitled(); try++ {
		names, err := r.d.cloud.Rent(r.ctx, req)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			res.Machines, res.Refused, res.Unknown = names, err != nil, false
			break
		}
		slog.Debug("rent", "error", err)
		if !sleep(r.ctx, time.Second) {
			break
		}
	}
	r.step(res)
}

func (r *reign) release(names []string) {
	ok := false
	if r.entitled() {
		err := r.d.cloud.Release(r.ctx, names)
		if ok = err == nil; !ok {
			slog.Debug("release", "error", err)
		}
	}
	r.step(core.Released{Machines: names, OK: ok})
}

// listLoop reads the cloud's list and the present prices.
func (r *reign) listLoop() error {
	// More often than the list's lag says little new, and takes calls from rentals.
	every := max(2*time.Second, r.d.core.ListLag/2)
	const pricesEvery = 20 * time.Second
	var prices time.Time
	for {
		if r.entitled() {
			if time.Since(prices) > pricesEvery {
				if r.d.fetchCatalog(r.ctx) == nil {
					prices = time.Now()
					r.step(core.Catalog{Types: r.d.types()})
					r.d.shareCatalog(r.ctx, r.term)
				}
			}
			list, err := r.d.cloud.List(r.ctx)
			if err == nil {
				r.step(core.Listed{Machines: listed(list)})
			} else {
				slog.Debug("list machines", "error", err)
			}
		}
		if !sleep(r.ctx, every) {
			return r.ctx.Err()
		}
	}
}

func listed(in []wire.Rental) []core.ListedMachine {
	status := map[string]core.ListStatus{wire.RentalStarting: core.ListStarting, wire.RentalRunning: core.ListRunning, wire.RentalFailed: core.ListFailed}
	out := make([]core.ListedMachine, 0, len(in))
	for _, m := range in {
		st, ok := status[m.Status]
		if !ok {
			continue
		}
		out = append(out, core.ListedMachine{Name: m.Ref, Addr: m.Endpoint, Type: m.Build, Zone: m.Yard, Spot: m.Loaners,
			Status: st, Held: time.Duration(m.HeldS * float64(time.Second))})
	}
	return out
}

// catalogKey holds the machine types for nodes that start while the cloud's
// interface is down.
const catalogKey = "catalog"

func (d *Daemon) fetchCatalog(ctx context.Context) error {
	flavors, err := d.cloud.Flavors(ctx)
	if err != nil {
		return err
	}
	d.setCatalog(flavors)
	return nil
}

func (d *Daemon) setCatalog(flavors []wire.Flavor) {
	c := placement.Catalog{}
	for _, f := range flavors {
		c[f.Label] = &placement.Type{Name: f.Label, CPUs: f.VCPUs, GPUs: f.Cards, MemGB: f.MemGB, CacheGB: f.LocalGB,
			FetchGBPerS: f.PullGBPerS, Hourly: f.Hourly, SpotHour: f.SpotPrice,
			Boot: time.Duration(f.ReadyS * float64(time.Second)), Zones: f.Yards}
	}
	if len(c) > 0 {
		d.catalog.Store(&c)
	}
}

// shareCatalog leaves the machine types in the store, once for each reign.
func (d *Daemon) shareCatalog(ctx context.Context, t leadership.Term) {
	if _, found, err := d.store.Get(ctx, catalogKey); err != nil || found {
		return
	}
	flavors, err := d.cloud.Flavors(ctx)
	if err != nil {
		return
	}
	v := wire.MustMarshal(wire.Flavors{Builds: flavors})
	if size, err := wire.JSONSize(v); err != nil || size > d.core.MaxPerValue {
		slog.Debug("machine types too many to share", "bytes", size, "error", err)
		return
	}
	_, err = d.store.Commit(ctx, []wire.Condition{{Path: leadership.TermKey, Stamp: t.Stamp}},
		[]wire.Change{{Put: catalogKey, V: v}})
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
			sleep(ctx, 5*time.Minute)
			continue
		}
		slog.Debug("machine types", "error", err)
		if len(d.types()) == 0 {
			if it, found, err := d.store.Get(ctx, catalogKey); err == nil && found {
				var f wire.Flavors
				if wire.Unmarshal(it.V, &f) == nil {
					d.setCatalog(f.Builds)
				}
			}
		}
		sleep(ctx, time.Second)
	}
	return ctx.Err()
}
