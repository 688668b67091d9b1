package medlarclock

import (
	"context"
	"time"
)

// Sleep waits and reports whether the context is still alive.
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
