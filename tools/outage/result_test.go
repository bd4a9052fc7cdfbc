package main

import (
	"testing"
	"time"
)

// The busiest second may begin at any start. A count by whole clock seconds would miss a burst that
// spans two of them.
func TestBusiestSecond(t *testing.T) {
	began := time.Now()
	at := func(milliseconds ...int) []time.Time {
		var times []time.Time
		for _, ms := range milliseconds {
			times = append(times, began.Add(time.Duration(ms)*time.Millisecond))
		}
		return times
	}
	for _, c := range []struct {
		times []time.Time
		want  int
	}{
		{nil, 0},
		{at(0), 1},
		{at(0, 1000), 1},
		{at(0, 900, 1100, 1800, 3000), 3},
	} {
		if got := busiestSecond(c.times); got != c.want {
			t.Errorf("%v: %d in the busiest second, want %d", c.times, got, c.want)
		}
	}
}
