// Package wait has a sleep that a context can cut short. It has no state, and is safe for concurrent
// use.
package wait

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx has ended, and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
