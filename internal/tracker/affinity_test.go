package tracker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"
)

// TestAffinityRanksOrderByScore guards against daemons that prefer other endpoints for
// a prefix: the ranks must be those of a comparison of each endpoint with every other.
func TestAffinityRanksOrderByScore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var endpoints []*endpointState
		for _, hash := range rapid.SliceOfNDistinct(rapid.Uint64(), 0, 40, rapid.ID).Draw(t, "hashes") {
			endpoints = append(endpoints, &endpointState{idHash: hash})
		}
		query := Query{PrefixKey: rapid.Uint64().Draw(t, "prefix"), Model: rapid.SampledFrom([]string{"", "small", "large"}).Draw(t, "model")}
		score := func(endpoint *endpointState) uint64 {
			return splitMix64(endpoint.idHash ^ splitMix64(query.PrefixKey^xxhash.Sum64String(query.Model)))
		}
		for i, got := range affinityRanks(endpoints, query) {
			want := 0
			for _, other := range endpoints {
				if score(other) > score(endpoints[i]) {
					want++
				}
			}
			if want = min(want, 2); got != want {
				t.Errorf("affinityRanks() got rank %d for endpoint %d, want %d", got, i, want)
			}
		}
	})
}

// BenchmarkPick shows how the time of a choice grows with the number of endpoints.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 90, 163, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker := New("a", rand.New(rand.NewPCG(1, 2)), time.Now, hclog.NewNullLogger())
			for i := range count {
				tracker.Put(Registration{
					ID: fmt.Sprint("e", i), Service: "helper", Zone: string(rune('a' + i%6)), Version: "v1", Slots: 12, Started: time.Unix(1, 0),
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 80),
				})
			}
			b.ReportAllocs()
			for prefix := uint64(1); b.Loop(); prefix++ {
				choice, ok := tracker.Pick(Query{Service: "helper", Model: "large", PrefixKey: 1 + prefix%40, SharedTokens: 6000, PromptTokens: 9000})
				if !ok {
					b.Fatal("Pick() got no endpoint, want one")
				}
				choice.End(Success, 0)
			}
		})
	}
}

// TestAffinityFollowsSpeed guards against prefixes that are cached on slow hosts as often as on
// fast ones, so that their requests wait there.
func TestAffinityFollowsSpeed(t *testing.T) {
	var endpoints []*endpointState
	for i := range 8 {
		endpoint := &endpointState{idHash: xxhash.Sum64String(fmt.Sprint("e", i))}
		value := 0.5
		if i%2 == 0 {
			value = 2
		}
		// A neighbour on the host slows it for a moment, on some daemons only.
		endpoint.slowdown.record(value, time.Unix(1, 0))
		endpoint.slowdown.record(3*value, time.Unix(2, 0))
		endpoints = append(endpoints, endpoint)
	}
	fast := 0
	const prefixes = 2000
	for prefix := range uint64(prefixes) {
		for i, rank := range affinityRanks(endpoints, Query{PrefixKey: splitMix64(prefix + 1)}) {
			if rank == 0 && i%2 == 1 {
				fast++
			}
		}
	}
	if want := 0.8 * prefixes; float64(fast) < 0.95*want || float64(fast) > 1.05*want {
		t.Errorf("prefixes that prefer a fast host got %d of %d, want about %.0f", fast, prefixes, want)
	}
}
