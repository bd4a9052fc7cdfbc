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

// Store simulates the state service: keys with modification revisions, and atomic transactions. The
// leader lease is kept apart from the keys.
type Store struct {
	w        *World
	lease    leaderLease
	items    map[string]*item // by key
	revision uint64           // of the last transaction that changed something
	down     bool             // it refuses all requests
	lowered  bool             // the lower limits apply
	// With the lower limits, a token bucket limits the rate of changes: writesLeft is the number of
	// tokens in it as of writesLeftAt.
	writesLeft   float64
	writesLeftAt time.Time
}

// Limits of the state service: at first, and after it has lowered them.
var (
	highLimits = jobstore.Limits{ValueBytes: 4000, TxnOps: 8}
	lowLimits  = jobstore.Limits{ValueBytes: 1000, TxnOps: 3}
)

// loweredWriteRate is the number of changes per second that the state service accepts with the
// lower limits. It is also the size of the token bucket.
const loweredWriteRate = 12

// lower makes the lower limits apply from now on.
func (s *Store) lower() { s.lowered = true }

// checkLimits returns ErrRejected for changes that exceed the limits of size, and ErrUnavailable
// for those that exceed the write rate of the lower limits. With the lower limits, accepted changes
// use up tokens.
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

// item holds the value of a key and the revision at which it was last changed.
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

// List reads all keys with a prefix, sorted by key. It also returns the current revision.
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

// Commit applies changes if they are within the limits and all conditions hold, and returns the
// revision. The error is a ConflictError with the keys whose conditions failed.
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
