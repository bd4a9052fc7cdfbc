package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(5000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// The table of differences in docs/recovery.md, row by row.
func TestTableOfDifferences(t *testing.T) {
	open := ObservedTask{JobOpen: true, Wanted: true, Confirmed: true}
	with := func(change func(*ObservedTask)) ObservedTask {
		r := open
		change(&r)
		return r
	}
	for _, c := range []struct {
		name string
		task ObservedTask
		want Finding
	}{
		{"running and recorded", with(func(r *ObservedTask) { r.Holder = ThisAttempt }), Finding{RunningRecorded, Keep}},
		{"running and recorded, by a late copy", with(func(r *ObservedTask) { r.Holder, r.Confirmed, r.Inherited = ThisAttempt, false, true }), Finding{RunningRecorded, Keep}},
		{"running and never recorded", open, Finding{RunningUnrecorded, Adopt}},
		{"running and never recorded, a gang's", with(func(r *ObservedTask) { r.Whole = true }), Finding{RunningUnrecorded, Stop}},
		{"running and never recorded, by a late copy", with(func(r *ObservedTask) { r.Confirmed = false }), Finding{OlderHeartbeat, Ignore}},
		{"running, another machine holds it", with(func(r *ObservedTask) { r.Holder = Elsewhere }), Finding{HeldElsewhere, Stop}},
		{"running, another machine is to get it", with(func(r *ObservedTask) { r.Holder = UnsentElsewhere }), Finding{HeldElsewhere, WithdrawFirst}},
		{"running, another machine is to get it, a gang's", with(func(r *ObservedTask) { r.Holder, r.Whole = UnsentElsewhere, true }), Finding{RunningUnrecorded, Stop}},
		{"running, the job is over", with(func(r *ObservedTask) { r.JobOpen = false }), Finding{RunningJobOver, Stop}},
		{"running, the task is done", with(func(r *ObservedTask) { r.Wanted = false }), Finding{RunningJobOver, Stop}},
		{"a newer attempt than its record", with(func(r *ObservedTask) { r.Holder, r.Inherited = OlderHere, true }), Finding{NewerThere, MarkLost}},
		{"a newer attempt than one that this term started", with(func(r *ObservedTask) { r.Holder = OlderHere }), Finding{OlderThere, Ignore}},
		{"an older attempt than its record", with(func(r *ObservedTask) { r.Holder, r.Inherited = NewerHere, true }), Finding{OlderThere, Ignore}},
		{"an older attempt than one that is to be started there", with(func(r *ObservedTask) { r.Holder = UnsentHere }), Finding{OlderThere, WithdrawFirst}},
		{"done, and the record isn't", with(func(r *ObservedTask) { r.Holder, r.Exited, r.Done = ThisAttempt, true, true }), Finding{DoneUnrecorded, TakeResult}},
		{"done and never recorded", with(func(r *ObservedTask) { r.Exited, r.Done = true, true }), Finding{DoneUnrecorded, TakeResult}},
		{"done minutes late, another machine holds it", with(func(r *ObservedTask) { r.Holder, r.Exited, r.Done = Elsewhere, true, true }), Finding{DoneUnrecorded, TakeResult}},
		{"done, the job is over", with(func(r *ObservedTask) { r.Exited, r.Done, r.JobOpen = true, true, false }), Finding{DoneJobOver, Forget}},
		{"done, the task is done already", with(func(r *ObservedTask) { r.Holder, r.Exited, r.Done, r.Wanted = ThisAttempt, true, true, false }), Finding{DoneJobOver, Forget}},
		{"exited without a result", with(func(r *ObservedTask) { r.Holder, r.Exited = ThisAttempt, true }), Finding{Failed, Requeue}},
		{"exited without a result, never recorded", with(func(r *ObservedTask) { r.Exited = true }), Finding{Failed, Forget}},
	} {
		if got := Classify(c.task); got != c.want {
			t.Errorf("%s: %v, %v", c.name, got.Reason, got.Action)
		}
	}
	for _, c := range []struct {
		name    string
		attempt UnreportedAttempt
		want    Action
	}{
		{"recorded by an earlier leader, missing from a report under this term", UnreportedAttempt{Inherited: true, Confirmed: true}, MarkLost},
		{"recorded by an earlier leader, missing from what may be a late copy", UnreportedAttempt{Inherited: true}, Wait},
		{"the start was answered or dropped", UnreportedAttempt{Answered: true, Confirmed: true}, MarkLost},
		{"seen before", UnreportedAttempt{Seen: true, Confirmed: true}, MarkLost},
		{"the start hasn't left, or may still be on its way", UnreportedAttempt{Confirmed: true}, Wait},
	} {
		if got := ClassifyUnreported(c.attempt); got != (Finding{RecordedUnreported, c.want}) {
			t.Errorf("%s: %v, %v", c.name, got.Reason, got.Action)
		}
	}
}

// Every combination of what may be known of a reported task has an answer, no reason is
// without a case, and nothing is adopted, stopped or proven gone that mustn't be.
func TestEveryCombination(t *testing.T) {
	seen := map[Reason]bool{RecordedUnreported: true} // that of ClassifyUnreported
	for holder := Nobody; holder <= Elsewhere; holder++ {
		for bits := range 128 {
			bit := func(i int) bool { return bits>>i&1 == 1 }
			r := ObservedTask{Holder: holder, Inherited: bit(0), Exited: bit(1) || bit(2), Done: bit(2), JobOpen: bit(3), Wanted: bit(4), Confirmed: bit(5), Whole: bit(6)}
			f := Classify(r)
			seen[f.Reason] = true
			switch {
			case f.Action == Adopt && (r.Exited || !r.JobOpen || !r.Wanted || !r.Confirmed || r.Whole || holder != Nobody):
				t.Errorf("adopted: %+v", r)
			case f.Action == Stop && (r.Exited || !r.Confirmed):
				t.Errorf("stopped: %+v", r)
			case f.Action == MarkLost && (holder != OlderHere || !r.Inherited):
				t.Errorf("taken for gone: %+v", r)
			case f.Action == WithdrawFirst && holder != UnsentHere && holder != UnsentElsewhere:
				t.Errorf("withdrawn: %+v", r)
			case f.Action == TakeResult && (!r.Done || !r.JobOpen || !r.Wanted):
				t.Errorf("taken as a result: %+v", r)
			case f.Action == Forget && r.Done && r.JobOpen && r.Wanted:
				t.Errorf("a result is forgotten: %+v", r)
			}
		}
	}
	for _, reason := range Reasons() {
		if !seen[reason] {
			t.Errorf("%v has no case", reason)
		}
	}
}

func options(pace PaceOptions) Options {
	return Options{HeartbeatInterval: 3 * time.Second, RestoredBound: 30 * time.Second, Pace: pace}
}

// Placing begins once four fifths of the machines on record have reported, with half of them
// where a confirmed view vouches for the rest, or after a heartbeat interval.
func TestMayPlace(t *testing.T) {
	fleet := func(n int) *Reconciler {
		r := New(start, options(PaceOptions{}))
		for i := range n {
			r.Expect(fmt.Sprint("m-", i))
		}
		return r
	}
	r := fleet(10)
	for i := range 8 {
		if r.MayPlace(at(time.Second), true) {
			t.Fatalf("with %d of 10 machines heard", i)
		}
		r.HeartbeatReceived(fmt.Sprint("m-", i), false, false)
	}
	if !r.MayPlace(at(time.Second), true) || r.MayPlace(at(time.Second), false) {
		t.Fatal("with 8 of 10 machines heard, and the list or not")
	}
	if !fleet(10).MayPlace(at(5*time.Second), false) {
		t.Fatal("not after a report period")
	}
	r = fleet(10)
	for i := range 5 {
		r.ExpectByWarmState(fmt.Sprint("m-", i), true)
	}
	if !r.MayPlace(at(0), false) {
		t.Fatal("half of the machines are vouched for")
	}
	r.ExpectByWarmState("m-0", false)
	if r.MayPlace(at(0), false) {
		t.Fatal("less than half are")
	}
	r.ExpectByWarmState("m-0", true)
	r.GivenUp("m-1")
	r.MachineRemoved("m-2")
	if s := r.Status(at(0)); s.Machines["expected"] != 8 || s.Machines["missing"] != 1 || r.expectedByWarmState != 3 {
		t.Fatalf("%+v, %d vouched for", s.Machines, r.expectedByWarmState)
	}
}

// After a restore of the state service nothing is placed before the leases of all workers that
// haven't reported are over: what was forgotten may run on any.
func TestRestored(t *testing.T) {
	r := New(start, options(PaceOptions{}))
	r.Restored()
	r.Discover("m-1")
	r.HeartbeatReceived("m-1", true, false)
	if r.MayPlace(at(29*time.Second), true) || r.RestoreSettled(at(29*time.Second)) {
		t.Fatal("a machine that isn't listed may hold something")
	}
	if !r.MayPlace(at(31*time.Second), true) || !r.RestoreSettled(at(31*time.Second)) {
		t.Fatal("all leases are over")
	}
}

// Where no machine is on record, a worker has to show by its fencing token that the records aren't
// older than the machines, or a heartbeat interval to pass; but for the first leader of all.
func TestNoMachineOnRecord(t *testing.T) {
	r := New(start, options(PaceOptions{}))
	r.Discover("m-1")
	r.HeartbeatReceived("m-1", false, false)
	if r.MayPlace(at(time.Second), true) {
		t.Fatal("nobody vouches for the records")
	}
	if !r.MayPlace(at(5*time.Second), true) {
		t.Fatal("not after a report period")
	}
	r.ConfirmPreviousTerm()
	if !r.MayPlace(at(time.Second), true) {
		t.Fatal("a worker vouches for the records")
	}
	first := options(PaceOptions{})
	first.FirstTerm = true
	r = New(start, first)
	r.Discover("m-1")
	if !r.MayPlace(at(time.Second), true) {
		t.Fatal("nothing can have been forgotten before the first term")
	}
}

// A term goes through its states in their order and back to none; counts are those of the
// machines, whatever happens.
func TestStatesFollow(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := New(start, options(PaceOptions{Enabled: true, Initial: 10, Highest: 100}))
		last := r.State()
		for step := range 400 {
			now := at(time.Duration(step) * 100 * time.Millisecond)
			name := fmt.Sprint("m-", rng.IntN(12))
			somethingHappens(rng, r, name, step < 20)
			r.Pacer().Pass(now, true)
			r.Advance(now, true)
			if r.State() < last {
				t.Fatalf("seed %d: from %v back to %v", seed, last, r.State())
			}
			last = r.State()
			checkCounts(t, r)
		}
		if last == Collecting {
			t.Fatalf("seed %d: still collecting after 40 s", seed)
		}
	}
}

// somethingHappens tells a reconciler something by chance of a machine. Records name machines
// only early on.
func somethingHappens(rng *rand.Rand, r *Reconciler, name string, early bool) {
	switch rng.IntN(7) {
	case 0:
		if early {
			r.Expect(name)
		}
	case 1:
		r.Discover(name)
	case 2:
		r.HeartbeatReceived(name, rng.IntN(2) == 0, rng.IntN(5) == 0)
	case 3:
		r.GivenUp(name)
	case 4:
		r.MachineRemoved(name)
	case 5:
		r.ExpectByWarmState(name, rng.IntN(2) == 0)
	case 6:
		r.Found(name, Finding{Reason(rng.IntN(int(reasons))), Stop})
	}
}

// checkCounts compares the counts with the machines.
func checkCounts(t *testing.T, r *Reconciler) {
	t.Helper()
	counts := [machineStates]int{}
	trusted := 0
	for _, m := range r.machines {
		counts[m.state]++
		if m.expectedByWarmState {
			trusted++
		}
	}
	if counts != r.counts || trusted != r.expectedByWarmState {
		t.Fatalf("counted %v and %d, are %v and %d", r.counts, r.expectedByWarmState, counts, trusted)
	}
}

// The pace begins low, rises while all keep up, falls when they don't, and then costs nothing
// any more. Urgent starts are never held back.
func TestPace(t *testing.T) {
	p := NewPacer(start, PaceOptions{Enabled: true, Initial: 10, Highest: 60})
	taken := 0
	second := func(from int, healthy bool) int {
		n := 0
		for step := range 10 {
			p.Pass(at(time.Duration(from)*time.Second+time.Duration(step+1)*100*time.Millisecond), healthy)
			for p.Take(false) && n < 1000 {
				n++
			}
		}
		taken += n
		return n
	}
	if n := second(0, true); n > 18 {
		t.Fatalf("%d starts in the first second", n)
	}
	if a, b := second(1, true), second(2, false); b >= a {
		t.Fatalf("%d and then %d starts although answers are late", a, b)
	}
	rate := p.Rate()
	for range 2 {
		if !p.Take(true) {
			t.Fatal("an urgent start is held back")
		}
	}
	for i := range 8 {
		second(3+i, true)
	}
	if !p.AtHighest() || p.Rate() != 0 || rate >= 30 {
		t.Fatalf("%v at %g, was %g", p.AtHighest(), p.Rate(), rate)
	}
	for range 10_000 {
		if !p.Take(false) {
			t.Fatal("bounded although it has reached its highest")
		}
	}
	if off := NewPacer(start, PaceOptions{}); !off.Take(false) || !off.AtHighest() {
		t.Fatal("switched off it holds something back")
	}
}
