package health

import (
	"testing"
	"time"
)

// A node that reaches neither the state service nor a peer isn't for users,
// while an outage that all nodes see takes none of them out: both days were lost
// to users without a node that could answer them.
func TestServes(t *testing.T) {
	start := time.Unix(100, 0)
	type sign func(*Tracker, time.Time)
	store, refused, peer := (*Tracker).StoreServed, (*Tracker).StoreRefused, (*Tracker).PeerAnswered
	for _, c := range []struct {
		name  string
		signs []sign // given every second from 10 s on
		at    time.Duration
		want  bool
	}{
		{"all is well", []sign{store, peer}, 60 * time.Second, true},
		{"an outage", []sign{refused, peer}, 60 * time.Second, true},
		{"cut off from the state service alone", []sign{peer}, 60 * time.Second, true},
		{"no peers, but the store", []sign{store}, 60 * time.Second, true},
		{"nobody, for a moment", nil, 12 * time.Second, true},
		{"nobody", nil, 15 * time.Second, false},
		{"refused alone, peers gone, for a while", []sign{refused}, 30 * time.Second, true},
		{"refused alone, peers gone, for long", []sign{refused}, 60 * time.Second, false},
	} {
		tr := New(start)
		for s := time.Duration(0); s <= c.at; s += time.Second {
			signs := c.signs
			if s < 10*time.Second {
				signs = []sign{store, peer}
			}
			for _, f := range signs {
				f(tr, start.Add(s))
			}
		}
		if got := tr.Serves(start.Add(c.at)); got != c.want {
			t.Errorf("%s: serves %v", c.name, got)
		}
	}
}
