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

// The version in production (deploy/service.toml) reads only these fields of jobs, and so writes back only these; what
// else their records hold is lost to it. It leads, places and answers like the present version as far as jobs without
// dependencies go, and keeps to the present limits of the state service rather than the coming ones.

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

type productionRecord struct {
	Spec        productionSpec `cbor:"s"`
	SubmittedMS int64          `cbor:"at"`
	Phase       pipeline.Phase `cbor:"p"`
	CancelledMS int64          `cbor:"ca,omitempty"`
	Done        []int          `cbor:"d,omitempty"`
	Restarts    []int          `cbor:"r,omitempty"`
}

type productionFinal struct {
	Phase pipeline.Phase `cbor:"p"`
	Tasks int            `cbor:"n"`
}

// productionView is the state service as the version in production sees it.
type productionView struct{ *Store }

func (v productionView) read(it statestore.KeyValue) statestore.KeyValue {
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
		v.w.checker.fail("the version in production can't read %s: %v", it.Key, err)
	}
	it.Value = codec.MustMarshal(as)
	return it
}

// Get reads a key.
func (v productionView) Get(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	it, found, err := v.Store.Get(ctx, key)
	if found {
		it = v.read(it)
	}
	return it, found, err
}

// List reads a range.
func (v productionView) List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	items, rev, err := v.Store.List(ctx, prefix)
	for i := range items {
		items[i] = v.read(items[i])
	}
	return items, rev, err
}

// storeView is the state service as the node's version sees it.
func (n *node) storeView() jobstore.Store {
	if n.runsProduction {
		return nodeView{productionView{n.w.store}, n}
	}
	return nodeView{n.w.store, n}
}

// limits are those of the state service that the node's version obeys.
func (n *node) limits() jobstore.Limits {
	if n.w.options.LowerStoreLimits && !n.runsProduction {
		return lowLimits
	}
	return highLimits
}
