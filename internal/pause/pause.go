// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for d, or less when ctx ends, and returns ctx.Err() in that case. It
// does not wait when d is not over zero.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
