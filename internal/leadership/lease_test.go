package leadership

import (
	"testing"
	"time"
)

var leaseStart = time.Unix(1000, 0)

// at returns the time s seconds after leaseStart.
func at(s float64) time.Time {
	return leaseStart.Add(time.Duration(s * float64(time.Second)))
}

// The holder's lease must end before the state service ends it, even if clocks drift: otherwise the
// holder could act after another node has claimed. So the holder counts it from when it sent the
// request, less clockMargin.
func TestLeaseEndsBeforeTheStateServiceEndsIt(t *testing.T) {
	const length = 3 * time.Second
	lease := NewLease(length, nil)
	if lease.Valid(leaseStart) {
		t.Fatal("valid before it was granted")
	}
	lease.RecordRenewal(at(0))
	if !lease.Valid(at(2.8)) {
		t.Error("not valid for most of its length")
	}
	latest := time.Duration(float64(length) * (1 - 2*0.0005)) // on a slow clock, while the state service's runs fast
	if lease.Valid(leaseStart.Add(latest)) {
		t.Error("valid when the state service may have ended it")
	}
	lease.RecordRenewal(at(2))
	lease.RecordRenewal(at(1)) // a response that arrives late
	if !lease.Valid(at(4.5)) {
		t.Error("shortened by a late response to an earlier renewal")
	}
	lease.Invalidate()
	if lease.Valid(at(2)) {
		t.Error("valid after it was invalidated")
	}
}

// The lease is extended only if every peer has granted an extension, only to the earliest end of
// them, and only while it is valid: a peer that hasn't granted one may be claiming.
func TestLeaseIsExtendedByAllPeersOnly(t *testing.T) {
	lease := NewLease(3*time.Second, []string{"b", "c"})
	lease.RecordRenewal(at(0))
	if lease.NeedsExtension(at(0.75)) || !lease.NeedsExtension(at(2)) {
		t.Error("needs an extension at the wrong time")
	}
	if lease.RecordExtension("b", at(2), at(5)) || lease.Valid(at(3)) {
		t.Error("extended by one of two peers")
	}
	if !lease.RecordExtension("c", at(2), at(4)) {
		t.Error("the first extension by all peers isn't reported as the first")
	}
	if !lease.Valid(at(3.9)) || lease.Valid(at(4)) {
		t.Error("not extended to the earlier end of the two extensions")
	}
	if lease.RecordExtension("c", at(3), at(4.5)) || !lease.Valid(at(4.4)) {
		t.Error("a further extension is reported as the first, or doesn't count")
	}
	if lease.RecordExtension("c", at(5), at(8)) || lease.Valid(at(5)) {
		t.Error("a lease that had lapsed is valid again")
	}
	lease.RecordRenewal(at(6))
	lease.RecordExtension("b", at(6), at(10))
	lease.Invalidate()
	lease.RecordRenewal(at(7))
	if lease.RecordExtension("c", at(7), at(10)) {
		t.Error("an extension from before the lease was invalidated still counts")
	}
}
