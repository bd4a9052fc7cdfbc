package emulator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"gingertally/internal/codec"
)

// StateService emulates the state service: a key-value store in memory with transactions, leases and
// watches. It is always available. Its HTTP handlers are in state_service_http.go.
type StateService struct {
	mu         sync.Mutex
	revision   uint64 // number of times that keys were changed
	lastLease  uint64 // number of the newest lease
	keys       map[string]storedValue
	leases     map[uint64]*lease
	events     []event       // the latest, oldest first
	nextChange chan struct{} // closed at the next change
}

// storedValue is the value of a key.
type storedValue struct {
	value       codec.RawMessage
	modRevision uint64 // at which the key was last put
	lease       uint64 // the lease to which the key is attached; 0: none
}

// change puts a key or deletes it.
type change struct {
	key    string
	value  codec.RawMessage
	lease  uint64
	delete bool
}

// event is a change that was applied, and its revision.
type event struct {
	change
	revision uint64
}

// lease expires unless it is renewed before expiry; a renewal extends it to duration from then on.
type lease struct {
	expiry   time.Time
	duration time.Duration
}

const (
	// minKeptEvents is the least number of events that are kept once there are as many. A watch from
	// an earlier revision than those kept is answered with status 410.
	minKeptEvents = 10_000
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 20 * time.Millisecond
)

// newStateService returns an empty state service.
func newStateService() *StateService {
	return &StateService{keys: map[string]storedValue{}, leases: map[uint64]*lease{}, nextChange: make(chan struct{})}
}

// expireLeases ends expired leases until stop is closed.
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

// endLease ends a lease and deletes the keys that are attached to it, each at a revision of its own.
// The caller holds mu.
func (s *StateService) endLease(number uint64) {
	delete(s.leases, number)
	for key, stored := range s.keys {
		if stored.lease == number {
			s.apply([]change{{key: key, delete: true}})
		}
	}
}

// apply applies changes at a single new revision and wakes the waiting watches. The caller holds mu.
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
	if len(s.events) > 2*minKeptEvents {
		s.events = slices.Clone(s.events[len(s.events)-minKeptEvents:])
	}
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

// watchResult holds the events of keys with a prefix after a revision.
type watchResult struct {
	events   []event
	revision uint64          // the latest that the events take into account
	next     <-chan struct{} // closed at the next change
}

// changesSince returns the changes of keys with a prefix after a revision; ok is false if some of them
// are no longer kept.
func (s *StateService) changesSince(prefix string, revision uint64) (result watchResult, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result = watchResult{revision: s.revision, next: s.nextChange}
	if len(s.events) >= minKeptEvents && revision+1 < s.events[0].revision {
		return result, false
	}
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(e event, revision uint64) int {
		return int(e.revision) - int(revision)
	})
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.key, prefix) {
			result.events = append(result.events, event)
		}
	}
	return result, true
}
