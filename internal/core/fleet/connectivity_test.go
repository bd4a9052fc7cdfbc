package fleet

import (
	"testing"
	"time"
)

var start = time.Unix(5000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// Heartbeats are ordered by fencing token, then incarnation, then sequence number. Guards against
// taking a late copy of a heartbeat for a newer one.
func TestHeartbeatVersionOrder(t *testing.T) {
	ordered := []HeartbeatVersion{{1, 1, 1}, {1, 1, 2}, {1, 2, 1}, {2, 1, 1}, {2, 1, 9}, {3, 7, 1}}
	for i, a := range ordered {
		for k, b := range ordered {
			if a.After(b) != (i > k) {
				t.Errorf("%+v after %+v: %v", a, b, a.After(b))
			}
		}
	}
}

// A heartbeat shows a restart exactly if its fencing token is higher while incarnation and sequence
// number haven't risen. Guards against missing a restart and against inferring one that wasn't.
func TestHeartbeatVersionRestarted(t *testing.T) {
	known := HeartbeatVersion{FencingToken: 4, Incarnation: 3, Sequence: 10}
	for _, c := range []struct {
		report    HeartbeatVersion
		restarted bool
	}{
		{HeartbeatVersion{4, 3, 11}, false},
		{HeartbeatVersion{4, 4, 1}, false},
		{HeartbeatVersion{5, 3, 11}, false},
		{HeartbeatVersion{5, 4, 1}, false},
		{HeartbeatVersion{5, 3, 10}, true},
		{HeartbeatVersion{5, 1, 1}, true},
		{HeartbeatVersion{4, 1, 1}, false},
	} {
		if got := c.report.Restarted(known); got != c.restarted {
			t.Errorf("%+v after %+v: restarted %v", c.report, known, got)
		}
	}
}

// Stale heartbeats show a restart only if at least three in a row have rising sequence numbers over
// a minimum time; a duplicate in between restarts the count. Guards against taking late copies for
// a restarted worker.
func TestStaleHeartbeatsShowRestart(t *testing.T) {
	var s StaleHeartbeats
	note := func(second int, seq uint64) bool {
		return s.NoteStale(at(second), &Heartbeat{Incarnation: 1, Sequence: seq}, 3*time.Second)
	}
	if note(0, 1) || note(3, 2) {
		t.Fatal("restart inferred from two heartbeats")
	}
	if note(4, 2) {
		t.Fatal("restart inferred from a duplicate")
	}
	if note(5, 3) || note(6, 4) {
		t.Fatal("restart inferred before the minimum time has passed")
	}
	if !note(7, 5) {
		t.Fatal("a restart wasn't detected")
	}
}

// Consecutive undelivered answers are counted until one is delivered, and the lease is counted from
// the last of them. Guards against a machine that stays unreachable after its answers arrive again.
func TestOneWayLossCounts(t *testing.T) {
	l := OneWayLoss{expecting: true}
	l.NoteUndelivered(at(1))
	l.NoteUndelivered(at(4))
	if l.Undelivered() != 2 || !l.FirstUndelivered().Equal(at(1)) || !l.LastUndelivered().Equal(at(4)) || l.Expecting() {
		t.Fatalf("after two undelivered answers: %+v", l)
	}
	lease := 20 * time.Second
	if l.MustHaveDelivered(at(4+20), lease) || !l.MustHaveDelivered(at(4+23), lease) {
		t.Fatal("the lease isn't counted from the last undelivered answer")
	}
	l.NoteDelivered()
	if l.Undelivered() != 0 || !l.FirstUndelivered().IsZero() || l.MustHaveDelivered(at(99), lease) {
		t.Fatalf("after a delivered answer: %+v", l)
	}
}
