package simulation

import (
	"context"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// This file simulates the version in production (deploy/service.toml). It reads only the fields of
// jobs that are declared here, and so writes back only these; the other fields of a record are lost
// whenever it writes the record. For jobs without dependencies it otherwise behaves like the
// current version, except that it observes the state service's present limits and not the lower
// ones that are to come.

// productionSpec holds the fields of a job's specification that the version in production knows.
type productionSpec struct {
	Ref        string            `cbor:"ref"`
	Class      string            `cbor:"cl"`
	Team       string            `cbor:"tm"`
	Shape      pipeline.Shape    `cbor:"sh"`
	Priority   pipeline.Priority `cbor:"pr"`
	Tasks      int               `cbor:"n"`
	CPUs       float64           `cbor:"c"`
	GPUs       float64           `cbor:"g"`
	MemGB      float64           `cbor:"m"`
	Image      string            `cbor:"im"`
	ImageGB    float64           `cbor:"ig"`
	Types      []string          `cbor:"ty"`
	Zone       string            `cbor:"zo,omitempty"`
	OneZone    bool              `cbor:"oz,omitempty"`
	Spread     bool              `cbor:"sp,omitempty"`
	Spot       bool              `cbor:"so,omitempty"`
	Estimate   time.Duration     `cbor:"es"`
	Checkpoint time.Duration     `cbor:"ck,omitempty"`
	Save       time.Duration     `cbor:"sv,omitempty"`
	Deadline   time.Duration     `cbor:"dl,omitempty"`
}

// productionRecord holds the fields of a job's record that the version in production knows.
type productionRecord struct {
	Spec        productionSpec `cbor:"s"`
	SubmittedMS int64          `cbor:"at"`
	Phase       pipeline.Phase `cbor:"p"`
	CancelledMS int64          `cbor:"ca,omitempty"`
	Done        []int          `cbor:"d,omitempty"`
	Restarts    []int          `cbor:"r,omitempty"`
}

// productionFinal holds the fields of a job's final entry that the version in production knows.
type productionFinal struct {
	Phase pipeline.Phase `cbor:"p"`
	Tasks int            `cbor:"n"`
}

// productionView is a view of the state service in which records hold only the fields that the
// version in production knows.
type productionView struct{ *Store }

// dropUnknownFields removes the fields that the version in production doesn't know from a job's
// record or final entry. Other items are returned as they are.
func (v productionView) dropUnknownFields(it statestore.KeyValue) statestore.KeyValue {
	var as any
	switch {
	case strings.HasPrefix(it.Key, jobPrefix):
		as = &productionRecord{}
	case strings.HasPrefix(it.Key, finalPrefix):
		as = &productionFinal{}
	default:
		return it
	}
	if err := codec.Unmarshal(it.Value, as); err != nil {
		v.w.checker.fail("the version in production can't decode %s: %v", it.Key, err)
	}
	it.Value = codec.MustMarshal(as)
	return it
}

// Get reads a key without the unknown fields of its value.
func (v productionView) Get(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	it, found, err := v.Store.Get(ctx, key)
	if found {
		it = v.dropUnknownFields(it)
	}
	return it, found, err
}

// List reads all keys with a prefix without the unknown fields of their values.
func (v productionView) List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	items, rev, err := v.Store.List(ctx, prefix)
	for i := range items {
		items[i] = v.dropUnknownFields(items[i])
	}
	return items, rev, err
}

// storeView returns the view of the state service that the node has with its version and faults.
func (n *node) storeView() jobstore.Store {
	if n.runsProduction {
		return nodeView{productionView{n.w.store}, n}
	}
	return nodeView{n.w.store, n}
}

// limits returns the limits of the state service that the node's version observes.
func (n *node) limits() jobstore.Limits {
	if n.w.options.LowerStoreLimits && !n.runsProduction {
		return lowLimits
	}
	return highLimits
}
