// Package sleeper pauses a goroutine until some time has passed or its work is to end.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the given time or until ctx ends.
func Sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
