package standin

import (
	"context"
	"sort"
	"strings"

	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// Store is the state service: keys with versions and atomic transactions. The
// leaders' lease is kept beside the keys.
type Store struct {
	w     *World
	items map[string]*item
	rev   uint64
	down  bool
}

type item struct {
	v     wire.Raw
	stamp uint64
}

// Get reads a key.
func (s *Store) Get(_ context.Context, key string) (statestore.Item, bool, error) {
	if s.down {
		return statestore.Item{}, false, statestore.ErrUnavailable
	}
	it := s.items[key]
	if it == nil {
		return statestore.Item{}, false, nil
	}
	return statestore.Item{Path: key, V: it.v, Stamp: it.stamp}, true, nil
}

// List reads a range.
func (s *Store) List(_ context.Context, prefix string) ([]statestore.Item, uint64, error) {
	if s.down {
		return nil, 0, statestore.ErrUnavailable
	}
	var out []statestore.Item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, statestore.Item{Path: k, V: it.v, Stamp: it.stamp})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Path < out[k].Path })
	return out, s.rev, nil
}

// Commit applies changes if all conditions hold.
func (s *Store) Commit(_ context.Context, conds []wire.Condition, changes []wire.Change) (uint64, error) {
	if s.down {
		return 0, statestore.ErrUnavailable
	}
	var failed []string
	for _, c := range conds {
		var have uint64
		if it := s.items[c.Path]; it != nil {
			have = it.stamp
		}
		if have != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if failed != nil {
		return 0, &statestore.ConflictError{Failed: failed}
	}
	if len(changes) > 0 {
		s.rev++
	}
	for _, c := range changes {
		if c.Drop != "" {
			delete(s.items, c.Drop)
			continue
		}
		s.items[c.Put] = &item{c.V, s.rev}
	}
	s.w.storeChanged(changes)
	return s.rev, nil
}
