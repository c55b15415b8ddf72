package apportioner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/apportioner"
)

// TestColdSharesStayWithinBound guards against a cold endpoint that crashes because the daemons
// of a fleet together send more than it bears in one second, however many they are.
func TestColdSharesStayWithinBound(t *testing.T) {
	const tolerance = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		members := names(rapid.IntRange(1, 400).Draw(t, "members"))
		perSecond := rapid.Float64Range(0, 200).Draw(t, "rate")
		bound := apportioner.ColdBound{Factor: rapid.Float64Range(1, 3).Draw(t, "factor"), Margin: rapid.Float64Range(0, 20).Draw(t, "margin")}
		endpoint := rapid.StringN(1, 8, 8).Draw(t, "endpoint")
		sum, most := 0.0, 0
		for _, member := range members {
			share := bound.Share(endpoint, perSecond, member, members)
			sum += share
			if share > 0 {
				// The daemon may send one request at once, and then its share.
				most += 1 + int(share)
			}
		}
		if sum > perSecond+tolerance {
			t.Fatalf("sum of the shares got %v, want at most %v", sum, perSecond)
		}
		if limit := perSecond*bound.Factor + bound.Margin; float64(most) > limit {
			t.Fatalf("requests in a second got up to %d, want at most %v", most, limit)
		}
		if enough := perSecond >= 1 && bound.Factor >= 1.5 && len(members) >= 8; enough && sum < perSecond/2 {
			t.Fatalf("sum of the shares got %v, want at least half of %v", sum, perSecond)
		}
	})
}

// TestColdSharesOfDifferingLists guards against a cold endpoint that gets more than it bears because
// daemons know different members, each of which lacks one in twenty: those that miss a daemon take its
// share. It is the load of a fleet in which daemons start and stop while a zone returns cold.
func TestColdSharesOfDifferingLists(t *testing.T) {
	const (
		daemons   = 60
		missing   = 0.05
		perSecond = 11.0
	)
	rows := map[string]apportioner.ColdBound{
		"the declared rate alone": {Factor: 1},
		"a margin":                {Factor: 1.5, Margin: 5},
	}
	for name, bound := range rows {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(8, 60))
			all := names(daemons)
			for endpoint := range 50 {
				most := 0
				for _, self := range all {
					members := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name != self && random.Float64() < missing })
					if share := bound.Share(fmt.Sprint("e", endpoint), perSecond, self, members); share > 0 {
						most += 1 + int(share)
					}
				}
				if limit := perSecond*bound.Factor + bound.Margin; float64(most) > limit {
					t.Errorf("requests of e%d in a second got up to %d, want at most %v", endpoint, most, limit)
				}
			}
		})
	}
}

// TestColdShares guards against a daemon that takes the rate of a whole fleet because it knows few
// members, or none.
func TestColdShares(t *testing.T) {
	const perSecond = 11.0
	bound := apportioner.ColdBound{Factor: 1.5, Margin: 5}
	rows := map[string]struct {
		perSecond float64
		bound     apportioner.ColdBound
		members   int
		// most is the largest share of one daemon.
		most float64
	}{
		"a daemon alone":             {perSecond, bound, 1, 2},
		"three daemons":              {perSecond, bound, 3, 2},
		"nine daemons":               {perSecond, bound, 9, 2},
		"a large fleet":              {perSecond, bound, 300, 0.8},
		"no requests are borne":      {0, apportioner.ColdBound{Factor: 1.5}, 9, 0},
		"bound of less than one":     {0.5, apportioner.ColdBound{Factor: 1.5}, 9, 0},
		"rate beyond every integer":  {1e300, bound, 1 << 10, 1e10},
		"less than one each second":  {0.25, bound, 60, 0.25},
		"neither multiple nor slack": {perSecond, apportioner.ColdBound{Factor: 1}, 300, 0.8},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			members := names(row.members)
			most := 0.0
			for _, member := range members {
				most = max(most, row.bound.Share("e1", row.perSecond, member, members))
			}
			if most > row.most || most <= 0 && row.most > 0 {
				t.Errorf("largest share got %v, want above 0 and at most %v", most, row.most)
			}
		})
	}
	if got := bound.Share("e1", perSecond, "other", names(3)); got != 0 {
		t.Errorf("Share() of a daemon that is no member got %v, want 0", got)
	}
}
