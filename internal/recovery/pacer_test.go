package recovery

import (
	"testing"
	"time"
)

// The rate of starts begins low, rises while all keep up, is lowered while they don't, and ends
// unlimited; urgent starts are never held back. A rate that doesn't rise would delay work after each
// change of the leader, one that isn't lowered would overload a state service that has just come back.
func TestPace(t *testing.T) {
	p := NewPacer(start, PaceOptions{Enabled: true, Initial: 10, Highest: 60})
	taken := 0
	second := func(from int, healthy bool) int {
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
	if n := second(0, true); n > 18 {
		t.Fatalf("%d starts in the first second", n)
	}
	if a, b := second(1, true), second(2, false); b >= a {
		t.Fatalf("%d and then %d starts although answers are late", a, b)
	}
	rate := p.Rate()
	for range 2 {
		if !p.Allow(true) {
			t.Fatal("an urgent start is held back")
		}
	}
	for i := range 8 {
		second(3+i, true)
	}
	if !p.Unlimited() || p.Rate() != 0 || rate >= 30 {
		t.Fatalf("%v at %g, was %g", p.Unlimited(), p.Rate(), rate)
	}
	for range 10_000 {
		if !p.Allow(false) {
			t.Fatal("limited after the highest rate was reached")
		}
	}
	if off := NewPacer(start, PaceOptions{}); !off.Allow(false) || !off.Unlimited() {
		t.Fatal("holds a start back though it is switched off")
	}
}
