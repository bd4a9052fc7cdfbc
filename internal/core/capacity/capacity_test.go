package capacity

import (
	"slices"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

var types = placement.Catalog{
	"cpu": {Name: "cpu", CPUs: 8, MemGB: 32, HourlyPrice: 1, SpotHourlyPrice: 0.5, Zones: []string{"a", "b"}},
	"big": {Name: "big", CPUs: 64, MemGB: 256, HourlyPrice: 7, SpotHourlyPrice: 3, Zones: []string{"a"}},
}

// job returns a job with a spec, all of whose tasks wait.
func job(t *testing.T, s pipeline.Spec) *pipeline.Job {
	t.Helper()
	j, err := pipeline.NewJob(pipeline.Record{Spec: s}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

var now = time.Unix(100, 0)

// The cheapest offer is requested, and not again while the request is in flight. After a refusal
// the next cheapest one is requested until the back-off is over. Guards against repeated requests
// for the same demand, and against insisting on an offer that the cloud refuses.
func TestChoosesTheCheapestOpenOffer(t *testing.T) {
	var p Plan
	j := job(t, pipeline.Spec{Tasks: 3, CPUs: 8, Spot: true})
	o := p.Choose(now, []Demand{{Job: j, Tasks: 3}}, &placement.FreeCapacity{}, types)
	if len(o) != 1 || o[0] != (Order{fleet.PoolKey{Type: "cpu", Zone: "a", Spot: true}, 3}) {
		t.Fatalf("orders %v", o)
	}
	p.RecordRequest(o[0].Offer, 3)
	if again := p.Choose(now, []Demand{{Job: j, Tasks: 3}}, &placement.FreeCapacity{}, types); len(again) != 0 {
		t.Fatalf("requested again while a request is in flight: %v", again)
	}
	p.RecordAnswer(now, o[0].Offer, Answer{Requested: 3})
	other := fleet.PoolKey{Type: "cpu", Zone: "b", Spot: true}
	o = p.Choose(now, []Demand{{Job: j, Tasks: 3}}, &placement.FreeCapacity{}, types)
	if len(o) != 1 || o[0].Offer != other {
		t.Fatalf("after a refusal: %v", o)
	}
	later := now.Add(minBackoff + time.Second)
	if o := p.Choose(later, []Demand{{Job: j, Tasks: 3}}, &placement.FreeCapacity{}, types); o[0].Offer.Zone != "a" {
		t.Fatalf("after the back-off: %v", o)
	}
}

// A gang that must spread over zones gets machines in several zones, and one that must stay in a
// zone gets them all in one. Guards against machines in a zone that can't take more of the gang's
// tasks: the plan once requested and released such machines in an endless loop.
func TestGangZones(t *testing.T) {
	var p Plan
	j := job(t, pipeline.Spec{Tasks: 4, CPUs: 8, Shape: pipeline.Gang, Spread: true})
	per := map[string]int{}
	for _, o := range p.Choose(now, []Demand{{Job: j, Tasks: 4}}, &placement.FreeCapacity{}, types) {
		per[o.Offer.Zone] += o.Count
	}
	if per["a"] != 2 || per["b"] != 2 {
		t.Fatalf("machines by zone: %v", per)
	}
	one := job(t, pipeline.Spec{Tasks: 4, CPUs: 8, Shape: pipeline.Gang, OneZone: true})
	orders := p.Choose(now, []Demand{{Job: one, Tasks: 4}}, &placement.FreeCapacity{}, types)
	for _, o := range orders {
		if o.Offer.Zone != orders[0].Offer.Zone {
			t.Fatalf("orders in several zones: %v", orders)
		}
	}
}

// Free capacity on a machine that the job avoids after a failure doesn't count. Guards against a
// job that never runs: the plan once counted on that capacity and requested no machine.
func TestCapacityOfBadMachineIsNone(t *testing.T) {
	m := fleet.NewMachine(now, "m-1", fleet.PoolKey{Type: "cpu", Zone: "a"})
	m.Move(now, fleet.Live)
	freeCapacity := &placement.FreeCapacity{}
	freeCapacity.Set(m, types["cpu"], false)
	j := job(t, pipeline.Spec{Tasks: 1, CPUs: 8})
	if o := new(Plan).Choose(now, []Demand{{Job: j, Tasks: 1}}, freeCapacity, types); len(o) != 0 {
		t.Fatalf("requests machines although one has room: %v", o)
	}
	j.AvoidUntil["m-1"] = now.Add(time.Minute)
	if o := new(Plan).Choose(now, []Demand{{Job: j, Tasks: 1}}, freeCapacity, types); len(o) != 1 {
		t.Fatalf("orders %v, want one: the only machine with room is avoided", o)
	}
}

// The demands of several jobs are combined in one request for the cheapest offer. Guards against
// requesting a more expensive offer for the second job.
func TestDemandsShareAnOrder(t *testing.T) {
	var d []Demand
	for range 5 {
		d = append(d, Demand{Job: job(t, pipeline.Spec{Tasks: 2, CPUs: 8, Spot: true}), Tasks: 2})
	}
	want := Order{fleet.PoolKey{Type: "cpu", Zone: "a", Spot: true}, 10}
	if o := new(Plan).Choose(now, d, &placement.FreeCapacity{}, types); len(o) != 1 || o[0] != want {
		t.Fatalf("orders %v", o)
	}
}

// Plans with the same requests in flight and the same demand give the same orders. Guards against
// booking demands on requested machines in the random order of a map.
func TestEqualPlansMakeEqualOrders(t *testing.T) {
	anywhere, onlyBig := job(t, pipeline.Spec{Tasks: 1, CPUs: 8}), job(t, pipeline.Spec{Tasks: 1, CPUs: 64, Spot: true})
	demand := []Demand{{Job: anywhere, Tasks: 1}, {Job: onlyBig, Tasks: 1}}
	var first []Order
	for i := range 100 {
		var p Plan
		p.RecordRequest(fleet.PoolKey{Type: "cpu", Zone: "b", Spot: false}, 1)
		p.RecordRequest(fleet.PoolKey{Type: "big", Zone: "a", Spot: false}, 1)
		orders := p.Choose(now, demand, &placement.FreeCapacity{}, types)
		if i == 0 {
			first = orders
		}
		if !slices.Equal(orders, first) {
			t.Fatalf("plan %d orders %v, the first %v", i, orders, first)
		}
	}
}
