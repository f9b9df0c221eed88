// Package sleep waits for a time or until a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits and returns true, or returns false as soon as the context ends.
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
