package forecaster

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// TestForecast guards against requests that wait at a slow or busy engine because its state does
// not count, or counts only until the first event.
func TestForecast(t *testing.T) {
	work := Work{Prefill: 100 * ms, Events: 11, PerEvent: 10 * ms}
	usual := Engine{Slowdown: 1, PerRequest: 50 * ms}
	rows := map[string]struct {
		change          func(*Engine)
		work            Work
		first, gap, end time.Duration
	}{
		"idle engine on a usual host":     {func(*Engine) {}, work, 100 * ms, 10 * ms, 200 * ms},
		"idle engine on a slow host":      {func(e *Engine) { e.Slowdown = 1.6 }, work, 160 * ms, 16 * ms, 320 * ms},
		"busy engine":                     {func(e *Engine) { e.Load = 4 }, work, 300 * ms, 50 * ms, 800 * ms},
		"busy engine on a fast host":      {func(e *Engine) { e.Load, e.Slowdown = 4, 0.5 }, work, 150 * ms, 25 * ms, 400 * ms},
		"long prompts of this daemon":     {func(e *Engine) { e.Backlog = 900 * ms }, work, 1000 * ms, 10 * ms, 1100 * ms},
		"backlog that the load explains":  {func(e *Engine) { e.Load, e.Backlog = 4, 150*ms }, work, 300 * ms, 50 * ms, 800 * ms},
		"response of unknown length":      {func(*Engine) {}, Work{Prefill: 100 * ms, PerEvent: 10 * ms}, 100 * ms, 10 * ms, 100 * ms},
		"prompt that is cached entirely":  {func(e *Engine) { e.Load = 2 }, Work{Events: 1, PerEvent: 10 * ms}, 100 * ms, 30 * ms, 100 * ms},
		"idle engine, nothing is learned": {func(e *Engine) { e.PerRequest = 0 }, Work{Events: 5}, 0, 0, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			engine := usual
			row.change(&engine)
			if got := engine.First(row.work); got != row.first {
				t.Errorf("First() got %v, want %v", got, row.first)
			}
			if got := engine.Gap(row.work); got != row.gap {
				t.Errorf("Gap() got %v, want %v", got, row.gap)
			}
			if got := engine.End(row.work); got != row.end {
				t.Errorf("End() got %v, want %v", got, row.end)
			}
		})
	}
}
