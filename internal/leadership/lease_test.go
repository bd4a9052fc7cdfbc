package leadership

import (
	"testing"
	"time"
)

var leaseStart = time.Unix(1000, 0)

func second(s float64) time.Time {
	return leaseStart.Add(time.Duration(s * float64(time.Second)))
}

// The holder counts its lease from when it asked for it, and shorter than the state service does:
// with clocks that drift it must never act after another node may have claimed.
func TestLeaseEndsBeforeTheStateServiceEndsIt(t *testing.T) {
	const length = 3 * time.Second
	lease := NewLease(length, nil)
	if lease.Valid(leaseStart) {
		t.Fatal("valid before it was granted")
	}
	lease.Renewed(second(0))
	if !lease.Valid(second(2.8)) {
		t.Error("not valid for most of its length")
	}
	latest := time.Duration(float64(length) * (1 - 2*0.0005)) // by a clock that runs slow, against one that runs fast
	if lease.Valid(leaseStart.Add(latest)) {
		t.Error("valid when the state service may have ended it")
	}
	lease.Renewed(second(2))
	lease.Renewed(second(1)) // an answer that comes late
	if !lease.Valid(second(4.5)) {
		t.Error("a late answer to an earlier renewal has shortened it")
	}
	lease.Invalidate()
	if lease.Valid(second(2)) {
		t.Error("valid after it was given up")
	}
}

// An extension counts only if every peer has granted one, only as far as the shortest of them, and
// only while the lease is valid: a peer that grants nothing may be claiming.
func TestLeaseIsExtendedByAllPeersOnly(t *testing.T) {
	lease := NewLease(3*time.Second, []string{"b", "c"})
	lease.Renewed(second(0))
	if lease.NeedsExtension(second(0.75)) || !lease.NeedsExtension(second(2)) {
		t.Error("an extension is asked for at the wrong time")
	}
	if lease.Extended("b", second(2), second(5)) || lease.Valid(second(3)) {
		t.Error("extended by one of two peers")
	}
	if !lease.Extended("c", second(2), second(4)) {
		t.Error("the first extension by all isn't told")
	}
	if !lease.Valid(second(3.9)) || lease.Valid(second(4)) {
		t.Error("not extended as far as the shorter of the two")
	}
	if lease.Extended("c", second(3), second(4.5)) || !lease.Valid(second(4.4)) {
		t.Error("a further extension is told as the first, or doesn't count")
	}
	if lease.Extended("c", second(5), second(8)) || lease.Valid(second(5)) {
		t.Error("a lease that had lapsed is valid again")
	}
	lease.Renewed(second(6))
	lease.Extended("b", second(6), second(10))
	lease.Invalidate()
	lease.Renewed(second(7))
	if lease.Extended("c", second(7), second(10)) {
		t.Error("an extension from before the lease was given up still counts")
	}
}
