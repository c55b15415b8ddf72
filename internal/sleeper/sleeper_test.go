package sleeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/sleeper"
)

// TestSleep guards against a daemon that does not stop until its longest pause is over, and against
// loops without a pause.
func TestSleep(t *testing.T) {
	rows := map[string]struct {
		pause, endsAfter, want time.Duration
	}{
		"whole pause":           {time.Second, time.Minute, time.Second},
		"ends during the pause": {time.Minute, time.Second, time.Second},
		"no pause":              {0, time.Minute, 0},
		"ended before":          {time.Minute, 0, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), row.endsAfter)
				defer cancel()
				start := time.Now()
				sleeper.Sleep(ctx, row.pause)
				if got := time.Since(start); got != row.want {
					t.Errorf("Sleep() took %v, want %v", got, row.want)
				}
			})
		})
	}
}
