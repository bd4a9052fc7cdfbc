// Package wait has the waits that can be ended. It owns no state; any goroutine may call it.
package wait

import (
	"context"
	"time"
)

// Sleep waits for some time, and reports whether that has passed: false means that ctx has ended
// before.
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
