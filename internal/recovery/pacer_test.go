package recovery

import (
	"testing"
	"time"
)

// The rate of starts begins low, rises while all is healthy, is lowered while it isn't, and becomes
// unlimited in the end; urgent starts are never held back. A rate that doesn't rise would delay work
// after each change of leader; one that isn't lowered would overload a state service that has just
// come back.
func TestPace(t *testing.T) {
	p := NewPacer(start, PaceOptions{Enabled: true, Initial: 10, Highest: 60})
	taken := 0
	startsInSecond := func(from int, healthy bool) int {
		n := 0
		for step := range 10 {
			p.Advance(at(time.Duration(from)*time.Second+time.Duration(step+1)*100*time.Millisecond), healthy)
			for p.Allow(false) && n < 1000 {
				n++
			}
		}
		taken += n
		return n
	}
	if n := startsInSecond(0, true); n > 18 {
		t.Fatalf("%d starts in the first second", n)
	}
	if a, b := startsInSecond(1, true), startsInSecond(2, false); b >= a {
		t.Fatalf("%d starts, then %d in a second that isn't healthy, want fewer", a, b)
	}
	rate := p.Rate()
	for range 2 {
		if !p.Allow(true) {
			t.Fatal("an urgent start was held back")
		}
	}
	for i := range 8 {
		startsInSecond(3+i, true)
	}
	if !p.Unlimited() || p.Rate() != 0 || rate >= 30 {
		t.Fatalf("unlimited %v at rate %g, after rate %g", p.Unlimited(), p.Rate(), rate)
	}
	for range 10_000 {
		if !p.Allow(false) {
			t.Fatal("a start was held back after the highest rate was reached")
		}
	}
	if off := NewPacer(start, PaceOptions{}); !off.Allow(false) || !off.Unlimited() {
		t.Fatal("a start was held back, or counts as limited, with pacing off")
	}
}
