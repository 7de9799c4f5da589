// Package wait pauses a duty for a time that its context can cut short.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends; then it returns the context's error.
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
