package simulation

import (
	"context"
	"slices"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// Store is the state service: keys with modification revisions, and atomic transactions. The leader lease is kept
// beside the keys.
type Store struct {
	w        *World
	lease    leaderLease // under the leader's key
	items    map[string]*item
	revision uint64
	down     bool
	lowered  bool // the lower limits hold
	// How many changes it still takes at once with the lower limits, and as of when.
	writesLeft   float64
	writesLeftAt time.Time
}

// Limits of the state service at first, and once it has lowered them.
var (
	highLimits = jobstore.Limits{ValueBytes: 4000, TxnOps: 8}
	lowLimits  = jobstore.Limits{ValueBytes: 1000, TxnOps: 3}
)

// loweredWriteRate is how many changes a second the state service then takes.
const loweredWriteRate = 12

// lower has the lower limits hold from now on.
func (s *Store) lower() { s.lowered = true }

// checkLimits refuses changes beyond the limits.
func (s *Store) checkLimits(changes []statestore.Op) error {
	limits := highLimits
	if s.lowered {
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
	if !s.lowered {
		return nil
	}
	s.writesLeft = min(loweredWriteRate, s.writesLeft+loweredWriteRate*s.w.now.Sub(s.writesLeftAt).Seconds())
	s.writesLeftAt = s.w.now
	if s.writesLeft < float64(len(changes)) {
		return statestore.ErrUnavailable
	}
	s.writesLeft -= float64(len(changes))
	return nil
}

// item is the value of a key.
type item struct {
	value       []byte
	modRevision uint64
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
	return statestore.KeyValue{Key: key, Value: it.value, ModRevision: it.modRevision}, true, nil
}

// List reads a range.
func (s *Store) List(_ context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	if s.down {
		return nil, 0, statestore.ErrUnavailable
	}
	var out []statestore.KeyValue
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, statestore.KeyValue{Key: k, Value: it.value, ModRevision: it.modRevision})
		}
	}
	slices.SortFunc(out, func(a, b statestore.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

// Commit applies changes if all conditions hold.
func (s *Store) Commit(_ context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	if s.down {
		return 0, statestore.ErrUnavailable
	}
	if err := s.checkLimits(changes); err != nil {
		return 0, err
	}
	var failed []string
	for _, c := range conds {
		var have uint64
		if it := s.items[c.Key]; it != nil {
			have = it.modRevision
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
		s.revision++
	}
	changes = s.w.drains.injectCommitFault(changes)
	for _, c := range changes {
		if c.Delete {
			delete(s.items, c.Key)
			continue
		}
		s.items[c.Key] = &item{c.Value, s.revision}
	}
	s.w.output.commit(s.w, changes)
	s.w.notifyWatchers(changes)
	return s.revision, nil
}
