// Package wait provides a sleep that ends early when its context is done.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the context's error once ctx is done.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
