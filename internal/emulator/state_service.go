package emulator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"gingertally/internal/codec"
)

// StateService is a key-value store in memory, with transactions, leases and watches, that is always up.
// Its requests are in state_service_http.go.
type StateService struct {
	mu        sync.Mutex
	revision  uint64 // counts the transactions that changed something
	lastLease uint64 // the newest lease's number
	keys      map[string]storedValue
	leases    map[uint64]*lease
	events    []event       // the latest changes, oldest first
	changed   chan struct{} // closed at the next change
}

// storedValue is a key's value.
type storedValue struct {
	value       codec.RawMessage
	modRevision uint64
	lease       uint64 // that the key is attached to; 0: none
}

// change puts a key or deletes it.
type change struct {
	key    string
	value  codec.RawMessage
	lease  uint64
	delete bool
}

// event is a change that was made.
type event struct {
	change
	revision uint64
}

// lease ends unless it is renewed for as long as it lasts.
type lease struct {
	expiry   time.Time
	duration time.Duration
}

const (
	// keptEvents is how many changes a watch may look back.
	keptEvents = 10_000
	// leaseCheckInterval is the time between two looks for expired leases.
	leaseCheckInterval = 20 * time.Millisecond
)

// newStateService makes an empty state service.
func newStateService() *StateService {
	return &StateService{keys: map[string]storedValue{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// expireLeases ends leases that weren't renewed, until stop is closed.
func (s *StateService) expireLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			s.endExpiredLeases(now)
		}
	}
}

func (s *StateService) endExpiredLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, lease := range s.leases {
		if now.After(lease.expiry) {
			s.endLease(number)
		}
	}
}

// endLease ends a lease and deletes the keys that are attached to it.
func (s *StateService) endLease(number uint64) {
	delete(s.leases, number)
	for key, stored := range s.keys {
		if stored.lease == number {
			s.apply([]change{{key: key, delete: true}})
		}
	}
}

// apply makes changes under one revision and wakes the watches.
func (s *StateService) apply(changes []change) {
	s.revision++
	for _, change := range changes {
		if change.delete {
			delete(s.keys, change.key)
		} else {
			s.keys[change.key] = storedValue{value: change.value, modRevision: s.revision, lease: change.lease}
		}
		s.events = append(s.events, event{change, s.revision})
	}
	if len(s.events) > 2*keptEvents {
		s.events = slices.Clone(s.events[len(s.events)-keptEvents:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changes are the events of keys with a prefix since a revision.
type changes struct {
	events   []event
	revision uint64          // up to which they reach
	next     <-chan struct{} // closed at the next change
}

// changesSince returns the changes of keys with a prefix after a revision; ok is false if they aren't all
// kept any more.
func (s *StateService) changesSince(prefix string, revision uint64) (since changes, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since = changes{revision: s.revision, next: s.changed}
	if len(s.events) >= keptEvents && revision+1 < s.events[0].revision {
		return since, false
	}
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(e event, revision uint64) int {
		return int(e.revision) - int(revision)
	})
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.key, prefix) {
			since.events = append(since.events, event)
		}
	}
	return since, true
}
