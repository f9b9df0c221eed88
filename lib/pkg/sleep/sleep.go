// Package sleep provides a sleep that a context can interrupt.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d. It reports whether d has passed; if the context ends first, it returns false immediately.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
