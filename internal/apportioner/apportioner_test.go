package apportioner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/apportioner"
)

func names(count int) []string {
	members := make([]string, count)
	for i := range members {
		members[i] = fmt.Sprintf("entry-%d", i)
	}
	return members
}

// TestSharesStayWithinLimit guards against daemons that together send more than an endpoint
// accepts, at once or on average, however many they are: a limit of four a second is less
// than one request for each of 300 daemons. Of four seconds, one and a half times the
// accepted requests and five more are allowed.
func TestSharesStayWithinLimit(t *testing.T) {
	const (
		window    = 4.0
		factor    = 1.5
		slack     = 5
		tolerance = 1e-9
	)
	rapid.Check(t, func(t *rapid.T) {
		members := names(rapid.IntRange(1, 400).Draw(t, "members"))
		perSecond := rapid.Float64Range(0, 200).Draw(t, "rate")
		endpoint := rapid.StringN(1, 8, 8).Draw(t, "endpoint")
		sum, sharers := 0.0, 0
		for _, member := range members {
			share := apportioner.Share(endpoint, perSecond, member, members)
			sum += share
			if share > 0 {
				sharers++
			}
		}
		want := max(perSecond, apportioner.MinPerSecond)
		if sum > want+tolerance || sum < want-tolerance {
			t.Fatalf("sum of the shares got %v, want %v", sum, want)
		}
		// Each sharer may send one request at once, and then its share.
		if got, limit := float64(sharers)+window*want, factor*window*perSecond+slack; got > limit {
			t.Fatalf("requests in %v s got up to %v, want at most %v", window, got, limit)
		}
	})
}

// TestFewSharesChange guards against a restart of one daemon that moves the shares of most
// others.
func TestFewSharesChange(t *testing.T) {
	const perSecond = 6
	members := names(50)
	rest := members[1:]
	gained, lost := 0, 0
	for _, member := range rest {
		before, after := apportioner.Share("e1", perSecond, member, members), apportioner.Share("e1", perSecond, member, rest)
		if before == 0 && after > 0 {
			gained++
		}
		if before > 0 && after == 0 {
			lost++
		}
	}
	if gained > 1 || lost > 0 {
		t.Errorf("daemons that gained and lost a share got %d and %d, want at most 1 and 0", gained, lost)
	}
}

// TestUnknownDaemonHasNoShare guards against a daemon that sends although the others do not
// count it.
func TestUnknownDaemonHasNoShare(t *testing.T) {
	if got := apportioner.Share("e1", 10, "other", names(3)); got != 0 {
		t.Errorf("Share() got %v, want 0", got)
	}
}
