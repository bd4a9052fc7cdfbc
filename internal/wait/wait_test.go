package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A loop that sleeps between its tries goes on after the whole pause, and ends at once with its
// context: a pause that outlasted it would hold up the end of a term.
func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name     string
		endAfter time.Duration
		passed   bool
		took     time.Duration
	}{
		{"the time passes", 2 * time.Minute, true, time.Minute},
		{"the context ends before", time.Second, false, time.Second},
		{"the context has ended", 0, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.endAfter)
			defer cancel()
			begun := time.Now()
			if passed := Sleep(ctx, time.Minute); passed != c.passed || time.Since(begun) != c.took {
				t.Errorf("%s: %v after %s", c.name, passed, time.Since(begun))
			}
		})
	}
}
