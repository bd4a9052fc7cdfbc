package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
)

// Only the earliest timer of a machine counts, and timers of removed machines are ignored.
func TestTimerQueue(t *testing.T) {
	start := time.Unix(5000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	machine := func(name string) *fleet.Machine {
		return fleet.NewMachine(start, name, fleet.PoolKey{Type: "big", Zone: "a"})
	}
	a, b, gone := machine("m-a"), machine("m-b"), machine("m-gone")
	var q timerQueue
	q.schedule(b, at(5))
	q.schedule(a, at(9))
	q.schedule(a, at(5))
	q.schedule(a, at(7)) // later than its present timer
	q.schedule(gone, at(1))
	gone.Move(at(0), fleet.Removed)
	if m := q.expired(at(4)); m != nil {
		t.Fatalf("%s expired early", m.Name)
	}
	if first, second := q.expired(at(20)), q.expired(at(20)); first != a || second != b {
		t.Fatalf("expired in the order %v, %v", first, second)
	}
	if m := q.expired(at(20)); m != nil {
		t.Fatalf("%s expired twice", m.Name)
	}
	q.schedule(a, at(30))
	if q.expired(at(30)) != a {
		t.Fatal("a machine's next timer doesn't expire")
	}
}
