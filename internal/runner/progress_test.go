package runner

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// TestFullStateIsWrittenInTime guards against a good version that is rolled back as
// undecided because each daemon delays its write of the full state until it is too late.
func TestFullStateIsWrittenInTime(t *testing.T) {
	for _, duration := range []time.Duration{14 * time.Second, 18 * time.Second, 24 * time.Second, time.Minute} {
		order := promoter.Order{Duration: duration}
		view := promoter.View{Order: order, State: promoter.Canary, OldEndpoints: 8, NewEndpoints: 8, Balance: promoter.Score{TTFT: -9, TTFTFloor: -9}}
		for promoter.Decide(view) == promoter.Canary {
			view.Elapsed += decideInterval
		}
		if promoter.Decide(view) != promoter.Full {
			// The order is too short for a canary.
			continue
		}
		// A daemon that follows a zone reader waits up to twice the jitter.
		if got, limit := 2*jitterOf(promoter.Full, view), view.TimeForFull(); got >= limit {
			t.Errorf("an order of %v: delay got up to %v, want less than %v", duration, got, limit)
		}
	}
}
