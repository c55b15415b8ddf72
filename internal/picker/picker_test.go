package picker_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/picker"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

func TestPickTakesNoEndpointThatMayNotBeChosen(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		var endpoints []picker.Endpoint
		request := picker.Request{Zone: "a", PrefixKey: rapid.Uint64Range(0, 3).Draw(t, "prefix")}
		open := 0
		for i := range rapid.IntRange(0, 8).Draw(t, "endpoints") {
			endpoint := picker.Endpoint{
				Address: address(i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Slots: 4,
				Load: rapid.IntRange(0, 12).Draw(t, "load"), Draining: rapid.Bool().Draw(t, "leaving"), Ejected: rapid.Bool().Draw(t, "ejected"),
			}
			tried := rapid.Bool().Draw(t, "tried")
			if tried {
				request.Tried = append(request.Tried, endpoint.Address)
			}
			if !tried && !endpoint.Draining {
				open++
			}
			endpoints = append(endpoints, endpoint)
		}
		chosen, ok := picker.Pick(request, endpoints, picker.Options{}, 0, rand.New(rand.NewPCG(1, 2)))
		if ok != (open > 0) {
			t.Fatalf("Pick() got %v, want %v with %d open endpoints", ok, open > 0, open)
		}
		if ok && (chosen.Draining || slices.Contains(request.Tried, chosen.Address)) {
			t.Fatalf("Pick() got %+v, want one that is open", chosen)
		}
	})
}

func TestEjectionIsCapped(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rows := map[string]struct{ sick, pool, most int }{
		"one of two":                {1, 2, 1},
		"a shared fault of twelve":  {12, 12, 4},
		"the only one stays in use": {1, 1, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			health := picker.NewHealth()
			ejected := 0
			for i := range row.sick {
				for range 8 {
					health.RecordFailure(address(i), now)
					if health.EjectIfUnhealthy(address(i), row.pool, now) {
						ejected++
					}
				}
			}
			if ejected > row.most {
				t.Errorf("ejected got %d, want at most %d", ejected, row.most)
			}
			if row.most > 0 && ejected == 0 {
				t.Error("ejected got 0, want some")
			}
		})
	}
}

func TestASlowEndpointIsEjectedAndProbedOneAtATime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	health := picker.NewHealth()
	for range 6 {
		for i := range 5 {
			health.RecordSuccess(address(i), 15*time.Millisecond, now)
		}
		health.RecordProgress(address(5), 150*time.Millisecond, now)
	}
	if !health.EjectIfUnhealthy(address(5), 6, now) {
		t.Fatal("Judge() of a slow endpoint got false, want true")
	}
	if !health.Ejected(address(5), now.Add(time.Second)) || health.Ejected(address(5), now.Add(10*time.Second)) {
		t.Error("Ejected() got the wrong times, want 5 seconds")
	}
	for range 10 {
		health.RecordSuccess(address(5), 15*time.Millisecond, now.Add(time.Second))
	}
	if !health.Probing(address(5)) {
		t.Error("Probing() got false, want true: answers from before the ejection do not count")
	}
}
