package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
)

var start = time.Unix(1_800_000_000, 0)

// at returns a time of a test.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// event is what daemons see: a crash of an endpoint, or a served request.
type event struct {
	seconds float64
	// endpoint is the crashed endpoint, or empty for a served request, which began at
	// the time.
	endpoint string
	parts    []uint64
	// waiting is set if the endpoint had not begun to respond.
	waiting bool
}

// lastDigest is the digest of the latest request of these tests. Each event is of another request.
var lastDigest atomic.Uint64

// apply applies events to a quarantine.
func apply(q *quarantiner.Quarantine, events []event) {
	for _, e := range events {
		now := at(e.seconds)
		if e.endpoint == "" {
			q.RecordServed(e.parts, now, now)
			continue
		}
		q.RecordCrashes(q.Suspects(e.endpoint, e.parts, lastDigest.Add(1), !e.waiting, now), now)
	}
}

// blocked returns the parts that block requests at a time.
func blocked(q *quarantiner.Quarantine, parts []uint64, now time.Time) []uint64 {
	var result []uint64
	for _, part := range parts {
		if _, _, isBlocked := q.Check([]uint64{part}, now, func(uint64) bool { return false }); isBlocked {
			result = append(result, part)
		}
	}
	return result
}

// TestQuarantinedParts guards against a part that goes on crashing endpoints, and against
// sound requests that are refused because they share a part with those that do.
func TestQuarantinedParts(t *testing.T) {
	crashes := func(parts ...[]uint64) []event {
		var events []event
		for i, list := range parts {
			events = append(events, event{1 + float64(i)/10, fmt.Sprintf("e%d", i), list, false})
		}
		return events
	}
	rows := map[string]struct {
		events []event
		// now is when the requests are checked, in seconds.
		now  float64
		want []uint64
	}{
		"two crashes prove nothing":             {crashes([]uint64{1, 2, 3}, []uint64{1, 2, 3}), 2, nil},
		"last shared part":                      {crashes([]uint64{1, 2, 3}, []uint64{1, 2, 3}, []uint64{1, 2, 3}), 2, []uint64{3}},
		"first part":                            {crashes([]uint64{1, 2, 3}, []uint64{1, 4, 5}, []uint64{1, 6, 7}), 2, []uint64{1}},
		"middle part":                           {crashes([]uint64{1, 2, 3}, []uint64{1, 2, 5}, []uint64{1, 2, 7}), 2, []uint64{2}},
		"a report of the later part is missing": {append(crashes([]uint64{1, 2, 3}, []uint64{1, 2, 3}), event{1.5, "e9", []uint64{1, 2}, false}), 2, nil},
		"two prompts under one bad part":        {crashes([]uint64{1, 2}, []uint64{1, 3}, []uint64{1, 2}, []uint64{1, 3}, []uint64{1, 4}), 2, []uint64{1}},
		"another part waits at the same endpoints": {append(crashes([]uint64{1, 3}, []uint64{1, 3}, []uint64{1, 3}),
			event{1, "e0", []uint64{1, 2}, true}, event{1.1, "e1", []uint64{1, 2}, true}, event{1.2, "e2", []uint64{1, 2}, true}), 2, []uint64{3}},
		"a later part waits at the same endpoints": {append(crashes([]uint64{3, 4}, []uint64{3, 5}, []uint64{3, 6}),
			event{1, "e0", []uint64{1, 2}, true}, event{1.1, "e1", []uint64{1, 2}, true}, event{1.2, "e2", []uint64{1, 2}, true}), 2, []uint64{3}},
		"another part was taken for the cause": {append([]event{{1, "e0", []uint64{1, 2}, false}, {1.1, "e1", []uint64{1, 2}, false}, {1.2, "e2", []uint64{1, 2}, false}, {1.4, "e9", []uint64{5}, false}},
			event{1.5, "e0", []uint64{1, 3}, false}, event{1.5, "e1", []uint64{1, 3}, false}, event{1.5, "e2", []uint64{1, 3}, false}, event{1.6, "e3", []uint64{1, 3}, false}), 2, []uint64{3}},
		"an earlier part is in a later crash too": {append(crashes([]uint64{1, 2}, []uint64{1, 2}, []uint64{1, 2}),
			event{1.4, "e8", []uint64{5}, false}, event{1.5, "e9", []uint64{1, 6}, false}, event{1.9, "e7", []uint64{7}, false}), 2, []uint64{2}},
		"many endpoints crash at once": {func() []event {
			var events []event
			for i := range 20 {
				events = append(events, event{1, fmt.Sprintf("e%d", i), []uint64{1, 10 + uint64(i%3)}, false})
			}
			return events
		}(), 2, nil},
		"endpoints stop one after the other": {func() []event {
			var events []event
			for i := range 12 {
				events = append(events, event{1 + float64(i)/4, fmt.Sprintf("e%d", i), []uint64{100 + uint64(i), 2 + uint64(i%3)}, false})
			}
			return events
		}(), 5, nil},
		"one endpoint that crashes for many":  {[]event{{1, "e1", []uint64{1, 2}, false}, {1, "e1", []uint64{1, 2}, false}, {1, "e1", []uint64{1, 2}, false}}, 2, nil},
		"endpoints crash, each under another": {crashes([]uint64{1}, []uint64{2}, []uint64{3}, []uint64{4}, []uint64{5}), 2, nil},
		"part that is served between the crashes": {[]event{{1, "e1", []uint64{1}, false}, {1.1, "", []uint64{1}, false}, {1.2, "e2", []uint64{1}, false}, {1.3, "", []uint64{1}, false},
			{1.4, "e3", []uint64{1}, false}, {1.5, "", []uint64{1}, false}, {1.6, "e4", []uint64{1}, false}}, 2, nil},
		"part that was served just before": {append([]event{{0.5, "", []uint64{1, 2}, false}}, crashes([]uint64{1, 2, 3}, []uint64{1, 2, 3}, []uint64{1, 2, 3}, []uint64{1, 2, 3})...), 3, []uint64{3}},
		"part that turns bad": {append([]event{{0.5, "", []uint64{1, 2}, false}}, append(
			crashes([]uint64{1, 2}, []uint64{1, 2}, []uint64{1, 2}, []uint64{1, 2}, []uint64{1, 2}), event{2.1, "e9", []uint64{1, 2}, false})...), 3, []uint64{2}},
		"two bad parts": {crashes([]uint64{1, 2}, []uint64{1, 3}, []uint64{1, 2}, []uint64{1, 3}, []uint64{1, 2}, []uint64{1, 3}), 2, []uint64{2, 3}},
		"wrong one is served again": {append(crashes([]uint64{1, 2}, []uint64{1, 2}, []uint64{1, 2}), event{1.5, "", []uint64{2}, false},
			event{1.6, "e7", []uint64{1, 2}, false}, event{1.7, "", []uint64{1}, false}), 2, nil},
		"long ago": {crashes([]uint64{1}, []uint64{1}, []uint64{1}), 1 + quarantiner.Lifetime.Seconds() + 1, nil},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(func(quarantiner.Change) {})
			apply(q, row.events)
			q.Sweep(at(row.now))
			if got := blocked(q, []uint64{1, 2, 3, 4, 5, 6, 7}, at(row.now)); !slices.Equal(got, row.want) {
				t.Errorf("blocked parts got %v, want %v", got, row.want)
			}
		})
	}
}

// TestSoundPartOfEarlierReport guards against a daemon that starts and learns of crashes after
// it has learned that the part is sound: it would refuse requests with the part of nearly all
// prompts.
func TestSoundPartOfEarlierReport(t *testing.T) {
	crashes := []event{{1, "e1", []uint64{1}, false}, {1.2, "e2", []uint64{1}, false}, {1.4, "e3", []uint64{1}, false}}
	rows := map[string]struct {
		// began is when the response began that another daemon has reported.
		began float64
		want  []uint64
	}{
		"response after the crashes":  {1.5, nil},
		"response before the crashes": {0.5, []uint64{1}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(func(quarantiner.Change) {})
			q.RecordSound(1, at(row.began), at(2))
			apply(q, crashes)
			q.Sweep(at(3))
			if got := blocked(q, []uint64{1}, at(3)); !slices.Equal(got, row.want) {
				t.Errorf("blocked parts got %v, want %v", got, row.want)
			}
		})
	}
}

// TestOneDaemonTriesAgain guards against a part that stays quarantined when it no longer
// crashes endpoints, and against trials so frequent that they crash many.
func TestOneDaemonTriesAgain(t *testing.T) {
	q := quarantiner.New(func(quarantiner.Change) {})
	apply(q, []event{{1, "e1", []uint64{1}, false}, {1.2, "e2", []uint64{1}, false}, {1.4, "e3", []uint64{1}, false}})
	trials := 0
	trial := func(seconds float64, owner bool) bool {
		_, _, isBlocked := q.Check([]uint64{1}, at(seconds), func(uint64) bool { return owner })
		return !isBlocked
	}
	for seconds := 2.0; seconds < 120; seconds++ {
		if trial(seconds, false) {
			t.Fatalf("trial at %v s by a daemon that is not to try", seconds)
		}
		if trial(seconds, true) {
			trials++
			apply(q, []event{{seconds, fmt.Sprintf("e%v", seconds), []uint64{1}, false}})
		}
	}
	if trials < 1 || trials > 3 {
		t.Errorf("trials in two minutes got %d, want 1 to 3", trials)
	}
	apply(q, []event{{130, "", []uint64{1}, false}})
	if !trial(131, false) {
		t.Error("request got refused after a trial was served, want it sent")
	}
}

// TestRepeatAfterCrash guards against a request that crashes one endpoint after the other
// by its own repeats, and against a sound one that is not repeated.
func TestRepeatAfterCrash(t *testing.T) {
	rows := map[string]struct {
		events []event
		parts  []uint64
		want   bool
	}{
		"first crash with the part":      {[]event{{1, "e1", []uint64{1, 2}, false}}, []uint64{1, 2}, true},
		"second crash with the part":     {[]event{{1, "e1", []uint64{1, 2}, false}, {1.1, "e2", []uint64{1, 2}, false}}, []uint64{1, 2}, false},
		"second crash, but parts served": {[]event{{0.5, "", []uint64{1, 2}, false}, {1, "e1", []uint64{1, 2}, false}, {1.1, "e2", []uint64{1, 2}, false}}, []uint64{1, 2}, true},
		"no parts":                       {nil, nil, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(func(quarantiner.Change) {})
			apply(q, row.events)
			if got := q.MayRepeat(row.parts, 0); got != row.want {
				t.Errorf("MayRepeat() got %v, want %v", got, row.want)
			}
		})
	}
}

// TestCrashingPartAmongLoad guards, over random loads, against a crashing part that is
// found late, and against sound parts that are taken for it. Requests of a few first
// parts, some second and many third parts run on endpoints that crash under one part.
func TestCrashingPartAmongLoad(t *testing.T) {
	const (
		seeds        = 60
		badPart      = 999
		responseTime = 0.2
		// At most maxLate requests may reach an endpoint later than knownAfter seconds
		// after the fifth crash.
		fifth      = 5
		knownAfter = 3
		maxLate    = 3
	)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		place := int(seed % 3)
		q := quarantiner.New(func(quarantiner.Change) {})
		prompt := func(bad bool) []uint64 {
			parts := []uint64{1 + random.Uint64N(3), 10 + random.Uint64N(20), 100 + random.Uint64N(500)}
			if bad {
				parts[place] = badPart
			}
			return parts
		}
		crashes, late, fifthAt := 0, 0, 0.0
		for second := 0.0; second < 20; second += 0.01 {
			isBad := second > 4 && random.Float64() < 0.05
			parts := prompt(isBad)
			if _, _, isBlocked := q.Check(parts, at(second), func(uint64) bool { return false }); isBlocked {
				if !isBad {
					t.Errorf("seed %d: sound request got refused at %.2f s", seed, second)
				}
				continue
			}
			if !isBad {
				q.RecordServed(parts, at(second-responseTime), at(second))
				continue
			}
			crashes++
			switch {
			case crashes == fifth:
				fifthAt = second
			case crashes > fifth && second > fifthAt+knownAfter:
				late++
			}
			endpoint := fmt.Sprintf("e%d", crashes)
			apply(q, []event{{second, endpoint, parts, false}})
			for range random.IntN(5) {
				apply(q, []event{{second, endpoint, prompt(false), true}})
			}
		}
		if late > maxLate {
			t.Errorf("seed %d: endpoints crashed late got %d, want at most %d", seed, late, maxLate)
		}
	}
}
