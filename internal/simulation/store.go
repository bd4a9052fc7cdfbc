package simulation

import (
	"context"
	"sort"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// Store is the state service: keys with versions and atomic transactions. The
// leaders' lease is kept beside the keys.
type Store struct {
	w     *World
	items map[string]*item
	rev   uint64
	down  bool
	low   bool // the lower limits hold
	// what is left of the writes that it takes, and as of when
	room  float64
	since time.Time
}

// Limits of the state service at first, and once it has lowered them.
var (
	highLimits = jobstore.Limits{ValueBytes: 4000, TxnOps: 8}
	lowLimits  = jobstore.Limits{ValueBytes: 1000, TxnOps: 3}
)

// lowWrites is how many changes a second the state service then takes.
const lowWrites = 12

func (s *Store) lower() { s.low = true }

// takes tells whether the changes are within the limits.
func (s *Store) takes(changes []statestore.Op) error {
	limits := highLimits
	if s.low {
		limits = lowLimits
	}
	if len(changes) > limits.TxnOps {
		return statestore.ErrRejected
	}
	for _, c := range changes {
		if c.Delete {
			continue
		}
		if n, err := codec.JSONSize(c.Value); err != nil || n > limits.ValueBytes*1024/1000 {
			return statestore.ErrRejected
		}
	}
	if !s.low {
		return nil
	}
	s.room = min(lowWrites, s.room+lowWrites*s.w.now.Sub(s.since).Seconds())
	s.since = s.w.now
	if s.room < float64(len(changes)) {
		return statestore.ErrUnavailable
	}
	s.room -= float64(len(changes))
	return nil
}

type item struct {
	v     []byte
	stamp uint64
}

// Get reads a key.
func (s *Store) Get(_ context.Context, key string) (statestore.KeyValue, bool, error) {
	if s.down {
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	it := s.items[key]
	if it == nil {
		return statestore.KeyValue{}, false, nil
	}
	return statestore.KeyValue{Key: key, Value: it.v, ModRevision: it.stamp}, true, nil
}

// List reads a range.
func (s *Store) List(_ context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	if s.down {
		return nil, 0, statestore.ErrUnavailable
	}
	var out []statestore.KeyValue
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, statestore.KeyValue{Key: k, Value: it.v, ModRevision: it.stamp})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	return out, s.rev, nil
}

// Commit applies changes if all conditions hold.
func (s *Store) Commit(_ context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	if s.down {
		return 0, statestore.ErrUnavailable
	}
	if err := s.takes(changes); err != nil {
		return 0, err
	}
	var failed []string
	for _, c := range conds {
		var have uint64
		if it := s.items[c.Key]; it != nil {
			have = it.stamp
		}
		if have != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 0, &statestore.ConflictError{Keys: failed}
	}
	s.w.digest.add(s.w, "commit", "store", changes)
	if len(changes) > 0 {
		s.rev++
	}
	changes = s.w.drains.spoilCommit(changes)
	for _, c := range changes {
		if c.Delete {
			delete(s.items, c.Key)
			continue
		}
		s.items[c.Key] = &item{c.Value, s.rev}
	}
	s.w.output.commit(s.w, changes)
	s.w.storeChanged(changes)
	return s.rev, nil
}
