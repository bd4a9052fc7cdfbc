package leadership

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// expireLeases ends all leases at once.
func (f *fakeStore) expireLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.leases {
		f.endLease(id)
	}
}

// Guards against ran_twice and went_back: a term that was over acted under the lease of its node's
// next term, and ended that one.
func TestLeaseEndsWithItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore()
		elector := newTestElector(store, "a", nil, 0, func() {})
		go func() { _ = elector.Run(ctx) }() // ends with ctx
		time.Sleep(2 * time.Second)
		former := currentLease(elector)
		store.expireLeases()
		time.Sleep(2 * time.Second)
		current := currentLease(elector)
		if current == nil || !current.Valid(time.Now()) || current.Term().Number != former.Term().Number+1 {
			t.Fatalf("the node leads with lease %+v after the one of term %d", current, former.Term().Number)
		}
		former.RecordRenewal(time.Now())
		former.RecordExtension("b", time.Now(), time.Now().Add(time.Second))
		if former.Valid(time.Now()) || former.NeedsExtension(time.Now()) {
			t.Error("the lease of a term that is over is valid, or asks to be extended")
		}
		former.HandOver("b")
		former.Resign("test")
		former.End()
		if leader := elector.Leader(); leader != "a" {
			t.Errorf("names %q as the leader after the former term was handed over", leader)
		}
		time.Sleep(4 * time.Second)
		if currentLease(elector) != current || !current.Valid(time.Now()) {
			t.Error("the former term has ended the present one")
		}
		cancel()
		time.Sleep(10 * time.Second) // for the node to end
	})
}

// Guards against answers of a deposed leader: a renewal that came after the end of a term made its
// lease valid once more, until the node followed again.
func TestEndedLeaseIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var resumed []Term
		node := &fakeNode{leaseResumed: func(term Term) { resumed = append(resumed, term) }}
		elector := New(client{newFakeStore(), "a"}, node, Options{Member: "a", TTL: 3 * time.Second})
		go func() { _ = elector.Run(ctx) }() // ends with ctx
		time.Sleep(2 * time.Second)
		currentLease(elector).End()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if len(resumed) > 0 {
			t.Errorf("leases are valid again: %+v", resumed)
		}
		if lease := currentLease(elector); lease == nil || lease.Term().Number != 2 {
			t.Errorf("the node leads with lease %+v after the end of its first term", lease)
		}
		cancel()
		time.Sleep(10 * time.Second) // for the node to end
	})
}

// Guards against the end of a former term that its node took for the end of the present one: a node
// must be told of the end of a term before the next begins, also while the former term's work goes on.
func TestTermsFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := newFakeStore()
		var calls []string
		node := &fakeNode{
			termStarted:  func(term Term) { calls = append(calls, fmt.Sprint("begin ", term.Number)) },
			termEnded:    func(term Term) { calls = append(calls, fmt.Sprint("end ", term.Number)) },
			workEndsLate: 5 * time.Second,
		}
		elector := New(client{store, "a"}, node, Options{Member: "a", TTL: 3 * time.Second})
		go func() { _ = elector.Run(ctx) }() // ends with ctx
		for range 2 {
			time.Sleep(2 * time.Second)
			store.expireLeases()
		}
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(10 * time.Second) // for the node to end
		synctest.Wait()
		want := []string{"begin 1", "end 1", "begin 2", "end 2", "begin 3", "end 3"}
		if !slices.Equal(calls, want) {
			t.Errorf("calls of the node: %q, want %q", calls, want)
		}
	})
}

// A lease that was given up or ended is not valid any more, and says which successor was named.
func TestLeaseStates(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*TermLease)
		ended     bool
		resigned  bool
		successor string
	}{
		{"held", func(*TermLease) {}, false, false, ""},
		{"resigned", func(l *TermLease) { l.Resign("test") }, false, true, ""},
		{"handed over", func(l *TermLease) { l.HandOver("b"); l.HandOver("c") }, false, true, "b"},
		{"ended", (*TermLease).End, true, false, ""},
		{"handed over, then ended", func(l *TermLease) { l.HandOver("b"); l.End() }, true, false, "b"},
		{"ended, then handed over", func(l *TermLease) { l.End(); l.HandOver("b") }, true, false, ""},
	} {
		ended := false
		lease := NewTermLease(Term{Number: 1}, NewLease(time.Minute, nil), func() { ended = true }, slog.Default())
		lease.RecordRenewal(time.Now())
		c.change(lease)
		lease.RecordRenewal(time.Now())
		successor, resigned := lease.resignation()
		if valid := lease.Valid(time.Now()); valid == (c.ended || c.resigned) || ended != c.ended {
			t.Errorf("%s: valid %v, ended %v", c.name, valid, ended)
		}
		if successor != c.successor || resigned != c.resigned {
			t.Errorf("%s: successor %q, resigned %v", c.name, successor, resigned)
		}
	}
}
