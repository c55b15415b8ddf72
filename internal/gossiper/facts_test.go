package gossiper_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// factLifetime is the lifetime of the facts of these tests.
const factLifetime = 5 * time.Minute

// crashKey is the key of crashFact.
const crashKey = "crash/e1/7"

// crashFact returns a fact about a part of a prompt.
func crashFact() *schema.Fact {
	return &schema.Fact{
		Lifetime: durationpb.New(factLifetime),
		About:    &schema.Fact_Crash{Crash: &schema.PartCrash{Part: 7, Endpoint: "e1"}},
	}
}

// holdsFact reports whether a member holds crashFact, in at least the given version.
func holdsFact(version uint64) func(string, *gossiper.Membership) bool {
	return func(_ string, m *gossiper.Membership) bool {
		for _, fact := range m.FactMessages(time.Time{}) {
			if gossiper.FactKey(fact) == crashKey && fact.GetVersion() >= version {
				return true
			}
		}
		return false
	}
}

// TestFactReachesEveryMember guards against a fact that binds only some daemons: its
// sender fails, a daemon restarts without a memory, or a zone is cut off while the fact
// spreads.
func TestFactReachesEveryMember(t *testing.T) {
	rows := map[string]struct {
		size int
		// event happens once the fact is known where it was observed.
		event func(c *cluster)
		// rounds bounds the rounds until all members hold the fact.
		rounds int
	}{
		"9 members":   {9, func(*cluster) {}, changeRounds},
		"360 members": {360, func(*cluster) {}, changeRounds},
		"the observer stops after a round": {90, func(c *cluster) {
			c.round()
			c.memberships["m003"] = nil
		}, changeRounds},
		"a member restarts later": {9, func(c *cluster) {
			c.roundsUntil(changeRounds, holdsFact(1))
			c.names = append(c.names[:5:5], c.names[6:]...)
			c.add("m005", 2)
		}, 1},
		"a cut ends after the rumour has died out": {90, func(c *cluster) {
			c.partitioned = func(a, b string) bool { return (a < "m030") != (b < "m030") }
			for range 2 * detectionRounds {
				c.round()
			}
			c.partitioned = func(string, string) bool { return false }
		}, 2 * joinRounds},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := newCluster(row.size)
			c.roundsUntil(joinRounds, func(_ string, m *gossiper.Membership) bool { return serving(m) == row.size })
			c.memberships["m003"].Observe(crashFact(), c.now)
			c.fanOut("m003")
			row.event(c)
			if got := c.roundsUntil(row.rounds, holdsFact(1)); got == row.rounds {
				t.Errorf("rounds until every member holds the fact got %d or more, want fewer", got)
			}
		})
	}
}

// TestNewerFactReplacesOlder guards against an outdated fact that comes back: a daemon
// that was cut off must not undo what the others have observed since.
func TestNewerFactReplacesOlder(t *testing.T) {
	c := newCluster(30)
	c.memberships["m003"].Observe(crashFact(), c.now)
	c.roundsUntil(joinRounds, holdsFact(1))
	c.partitioned = func(a, b string) bool { return (a == "m009") != (b == "m009") }
	c.memberships["m003"].Observe(crashFact(), c.now)
	for range joinRounds {
		c.round()
	}
	c.partitioned = func(string, string) bool { return false }
	if got := c.roundsUntil(2*detectionRounds, holdsFact(2)); got == 2*detectionRounds {
		t.Errorf("rounds until every member holds the newer fact got %d or more, want fewer", got)
	}
}

// TestFactAfterExpiredOne guards against an observation that is ignored because a daemon still
// holds the expired one about the same thing, with a higher version. Facts of seconds, such as the time
// that an endpoint stays cold, come again soon after they have expired.
func TestFactAfterExpiredOne(t *testing.T) {
	c := newCluster(9)
	c.memberships["m003"].Observe(crashFact(), c.now)
	c.memberships["m003"].Observe(crashFact(), c.now)
	c.roundsUntil(joinRounds, holdsFact(2))
	c.now = c.now.Add(factLifetime)
	first := gossiper.New(gossiper.Member{Name: "m100"})
	first.Observe(crashFact(), c.now)
	changes := c.memberships["m003"].Receive(&schema.Rumours{Facts: first.FactMessages(c.now)}, c.now)
	if got := len(changes.Facts); got != 1 {
		t.Errorf("new facts got %d, want 1", got)
	}
}

// TestFactExpires guards against facts that outlive their cause: the age travels with
// the fact, so that passing it on does not prolong it.
func TestFactExpires(t *testing.T) {
	c := newCluster(9)
	c.memberships["m003"].Observe(crashFact(), c.now)
	c.roundsUntil(joinRounds, holdsFact(1))
	end := c.now.Add(factLifetime)
	for !c.now.After(end) {
		c.round()
	}
	c.round()
	for name, membership := range c.memberships {
		if got := len(membership.FactMessages(c.now)); got != 0 {
			t.Errorf("member %s holds %d facts after the lifetime, want none", name, got)
		}
	}
}
