package medlarclock

import (
	"context"
	"time"
)

// Sleep waits for d or until the context ends, and reports whether the whole time has passed.
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
