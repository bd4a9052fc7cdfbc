package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(5000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// options returns the settings of a recovery with a heartbeat every 3 s and a RestoredBound of 30 s.
func options(pace PaceOptions) Options {
	return Options{HeartbeatInterval: 3 * time.Second, RestoredBound: 30 * time.Second, Pace: pace}
}

// Placing begins once the cloud's list was read and four fifths of the recorded machines have sent a
// heartbeat or are confirmed by the warm state, once the warm state confirms machines and at least half
// of the recorded ones are confirmed or have sent a heartbeat, or once the time in which all machines
// should have sent one is over. Placing earlier would overload the few known machines; without a time
// bound, one unresponsive machine would delay all work.
func TestMayPlace(t *testing.T) {
	fleet := func(n int) *Reconciler {
		r := New(start, options(PaceOptions{}))
		for i := range n {
			r.AddRecordedMachine(fmt.Sprint("m-", i))
		}
		return r
	}
	r := fleet(10)
	for i := range 8 {
		if r.MayPlace(at(time.Second), true) {
			t.Fatalf("may place after heartbeats of %d of 10 machines", i)
		}
		r.HeartbeatReceived(fmt.Sprint("m-", i), ObservedHeartbeat{})
	}
	if !r.MayPlace(at(time.Second), true) {
		t.Fatal("may not place after heartbeats of 8 of 10 machines")
	}
	if r.MayPlace(at(time.Second), false) {
		t.Fatal("may place before the cloud's list was read")
	}
	if !fleet(10).MayPlace(at(5*time.Second), false) {
		t.Fatal("may not place after a heartbeat interval")
	}
	r = fleet(10)
	for i := range 5 {
		r.SetConfirmedByWarmState(fmt.Sprint("m-", i), true)
	}
	if !r.MayPlace(at(0), false) {
		t.Fatal("may not place with half of the machines confirmed")
	}
	r.SetConfirmedByWarmState("m-0", false)
	if r.MayPlace(at(0), false) {
		t.Fatal("may place with less than half of them confirmed")
	}
	r.SetConfirmedByWarmState("m-0", true)
	r.MachineGivenUp("m-1")
	r.MachineRemoved("m-2")
	if s := r.Status(at(0)); s.Machines["expected"] != 8 || s.Machines["missing"] != 1 || r.confirmedByWarmState != 3 {
		t.Fatalf("%+v, %d confirmed", s.Machines, r.confirmedByWarmState)
	}
}

// After a restore of the state service, nothing is placed before the leases of all workers that
// haven't sent a heartbeat have expired. Attempts that the state service has lost may be running on
// any of them, and would run twice.
func TestRestored(t *testing.T) {
	r := New(start, options(PaceOptions{}))
	r.StateServiceRestored()
	r.AddUnrecordedMachine("m-1")
	r.HeartbeatReceived("m-1", ObservedHeartbeat{TermConfirmed: true})
	if r.MayPlace(at(29*time.Second), true) || r.RestoreSettled(at(29*time.Second)) {
		t.Fatal("may place while a machine without a heartbeat may be running an attempt")
	}
	if !r.MayPlace(at(31*time.Second), true) || !r.RestoreSettled(at(31*time.Second)) {
		t.Fatal("may not place after all leases have expired")
	}
}

// If no machine is recorded, placing waits until a worker's fencing token shows that the records are
// current, or until all machines should have sent a heartbeat; the very first term doesn't wait. The
// records of a restored state service may lack machines on which tasks are running.
func TestNoMachineOnRecord(t *testing.T) {
	r := New(start, options(PaceOptions{}))
	r.AddUnrecordedMachine("m-1")
	r.HeartbeatReceived("m-1", ObservedHeartbeat{})
	if r.MayPlace(at(time.Second), true) {
		t.Fatal("may place although no worker has confirmed the records")
	}
	if !r.MayPlace(at(5*time.Second), true) {
		t.Fatal("may not place after a heartbeat interval")
	}
	r.ConfirmPreviousTerm()
	if !r.MayPlace(at(time.Second), true) {
		t.Fatal("may not place after a worker has confirmed the records")
	}
	first := options(PaceOptions{})
	first.FirstTerm = true
	r = New(start, first)
	r.AddUnrecordedMachine("m-1")
	if !r.MayPlace(at(time.Second), true) {
		t.Fatal("may not place in the first term")
	}
}

// Whatever is observed, and in whatever order, a recovery never returns to an earlier state and has left
// Collecting after 40 s, and the counts by state match the machines. A wrong count could keep a recovery
// from ever ending.
func TestStatesFollow(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := New(start, options(PaceOptions{Enabled: true, Initial: 10, Highest: 100}))
		last := r.State()
		for step := range 400 {
			now := at(time.Duration(step) * 100 * time.Millisecond)
			name := fmt.Sprint("m-", rng.IntN(12))
			observeAtRandom(rng, r, name, step < 20)
			r.Pacer().Advance(now, true)
			r.Advance(now, true)
			if r.State() < last {
				t.Fatalf("seed %d: moved back from %v to %v", seed, last, r.State())
			}
			last = r.State()
			checkCounts(t, r)
		}
		if last == Collecting {
			t.Fatalf("seed %d: still collecting after 40 s", seed)
		}
	}
}

// observeAtRandom passes a random observation of a machine to r. Recorded machines are added only if
// early is set, as at the start of a term.
func observeAtRandom(rng *rand.Rand, r *Reconciler, name string, early bool) {
	switch rng.IntN(7) {
	case 0:
		if early {
			r.AddRecordedMachine(name)
		}
	case 1:
		r.AddUnrecordedMachine(name)
	case 2:
		r.HeartbeatReceived(name, ObservedHeartbeat{TermConfirmed: rng.IntN(2) == 0, HasUnwanted: rng.IntN(5) == 0})
	case 3:
		r.MachineGivenUp(name)
	case 4:
		r.MachineRemoved(name)
	case 5:
		r.SetConfirmedByWarmState(name, rng.IntN(2) == 0)
	case 6:
		r.AddFinding(name, Finding{Reason(rng.IntN(int(reasonCount))), Stop})
	}
}

// checkCounts checks the counts by state, and the count of machines confirmed by the warm state,
// against the machines.
func checkCounts(t *testing.T, r *Reconciler) {
	t.Helper()
	counts := [machineStateCount]int{}
	confirmed := 0
	for _, m := range r.machines {
		counts[m.state]++
		if m.confirmedByWarmState {
			confirmed++
		}
	}
	if counts != r.counts || confirmed != r.confirmedByWarmState {
		t.Fatalf("counts are %v and %d, want %v and %d", r.counts, r.confirmedByWarmState, counts, confirmed)
	}
}
