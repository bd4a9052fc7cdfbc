package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Sleep returns after the whole pause, or at once when its context ends. A pause that outlasted the
// context of a retry loop would delay the end of a term.
func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name     string
		endAfter time.Duration
		passed   bool
		took     time.Duration
	}{
		{"the time passes", 2 * time.Minute, true, time.Minute},
		{"the context ends earlier", time.Second, false, time.Second},
		{"the context has already ended", 0, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.endAfter)
			defer cancel()
			begun := time.Now()
			if passed := Sleep(ctx, time.Minute); passed != c.passed || time.Since(begun) != c.took {
				t.Errorf("%s: returned %v after %s", c.name, passed, time.Since(begun))
			}
		})
	}
}
