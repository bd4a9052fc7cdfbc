package health

import (
	"testing"
	"time"
)

// A controller that reaches neither the state service nor a peer must be out of service, but an
// outage that affects all controllers must take none of them out. Each of the two errors once cost
// users a day without a controller that could answer them.
func TestServes(t *testing.T) {
	start := time.Unix(100, 0)
	type contact func(*Tracker, time.Time)
	store, refused, peer := (*Tracker).StoreServed, (*Tracker).StoreRefused, (*Tracker).PeerAnswered
	for _, c := range []struct {
		name     string
		contacts []contact // given every second from 10 s on
		at       time.Duration
		want     bool
	}{
		{"all is well", []contact{store, peer}, 60 * time.Second, true},
		{"an outage", []contact{refused, peer}, 60 * time.Second, true},
		{"cut off from the state service alone", []contact{peer}, 60 * time.Second, true},
		{"no peers, but the store", []contact{store}, 60 * time.Second, true},
		{"nobody, for a moment", nil, 12 * time.Second, true},
		{"nobody", nil, 15 * time.Second, false},
		{"refused alone, peers gone, for a while", []contact{refused}, 30 * time.Second, true},
		{"refused alone, peers gone, for long", []contact{refused}, 60 * time.Second, false},
	} {
		tracker := New(start)
		for s := time.Duration(0); s <= c.at; s += time.Second {
			contacts := c.contacts
			if s < 10*time.Second {
				contacts = []contact{store, peer}
			}
			for _, record := range contacts {
				record(tracker, start.Add(s))
			}
		}
		if got := tracker.CanServe(start.Add(c.at)); got != c.want {
			t.Errorf("%s: serves %v", c.name, got)
		}
	}
}
