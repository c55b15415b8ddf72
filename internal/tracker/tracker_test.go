package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// clock is a time that tests move.
type clock struct{ now time.Time }

func (c *clock) move(by time.Duration) { c.now = c.now.Add(by) }

// fleet returns a tracker in zone a with engines in zones a and b in turn.
func fleet(t *testing.T, engines int) (*tracker.Tracker, *clock) {
	t.Helper()
	c := &clock{now: time.Unix(1000, 0)}
	tr := tracker.New("a", rand.New(rand.NewPCG(1, 2)), func() time.Time { return c.now }, hclog.NewNullLogger())
	for i := range engines {
		tr.Put(registration(i))
	}
	return tr, c
}

func registration(i int) tracker.Registration {
	return tracker.Registration{
		ID: fmt.Sprint("e", i), Service: "helper", Zone: string(rune('a' + i%2)), Version: "v1", Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		Started: time.Unix(1, 0), Models: []string{"small", "large"},
	}
}

func prompt(subject uint64) tracker.Query {
	return tracker.Query{Service: "helper", Model: "large", PrefixKey: subject, SharedTokens: 6000, PromptTokens: 9000}
}

func pick(t *testing.T, tr *tracker.Tracker, query tracker.Query) *tracker.Choice {
	t.Helper()
	choice, ok := tr.Pick(query)
	if !ok {
		t.Fatalf("Pick() got nothing, want an endpoint")
	}
	return choice
}

// Load pattern: many requests about the same things, whose prompts are long.
func TestASubjectIsReadByOneEndpointWhileItHasNoBacklog(t *testing.T) {
	tr, c := fleet(t, 8)
	homes := map[uint64]string{}
	for round := range 5 {
		for subject := uint64(1); subject <= 40; subject++ {
			choice := pick(t, tr, prompt(subject))
			if home, known := homes[subject]; known && home != choice.ID {
				t.Errorf("subject %d in round %d got %s, want its home %s", subject, round, choice.ID, home)
			}
			homes[subject] = choice.ID
			choice.ResponseStarted(choice.ExpectedTTFT())
			choice.End(tracker.Success, 0)
			c.move(time.Second)
		}
	}
	used := map[string]bool{}
	for _, home := range homes {
		used[home] = true
	}
	if len(used) < 7 {
		t.Errorf("homes of 40 subjects got %d of 8 endpoints, want nearly all", len(used))
	}
}

// Load pattern: one subject gets much of the traffic at once.
func TestAHotSubjectSpillsWhenItsHomeIsBusy(t *testing.T) {
	tr, _ := fleet(t, 8)
	counts := map[string]int{}
	for range 40 {
		counts[pick(t, tr, prompt(7)).ID]++
	}
	if len(counts) < 4 {
		t.Errorf("endpoints of a burst on one subject got %v, want the burst spread", counts)
	}
}

// Load pattern: prompts behind prompts. An endpoint whose answers begin late is
// avoided until the delay that was seen has faded.
func TestADelayIsAvoidedAndForgotten(t *testing.T) {
	tr, c := fleet(t, 8)
	choice := pick(t, tr, prompt(3))
	home := choice.ID
	choice.ResponseStarted(3 * time.Second)
	choice.End(tracker.Success, 0)
	if got := pick(t, tr, prompt(3)); got.ID == home {
		t.Errorf("Pick() after a delay of 3 s got the same endpoint, want another")
	} else {
		got.ResponseStarted(got.ExpectedTTFT())
		got.End(tracker.Success, 0)
	}
	c.move(5 * time.Second)
	if got := pick(t, tr, prompt(3)); got.ID != home {
		t.Errorf("Pick() 5 s later got %s, want the home %s again", got.ID, home)
	}
}

// Load pattern: engines that fall behind while each of many daemons sees few
// answers.
func TestADelayOfAllIsFeltWhateverADaemonSees(t *testing.T) {
	rows := map[string]time.Duration{"few answers": 100 * time.Millisecond, "many answers": 20 * time.Millisecond}
	for name, gap := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := fleet(t, 8)
			mean := func(length, late time.Duration) time.Duration {
				for began := c.now; c.now.Sub(began) < length; c.move(gap) {
					choice := pick(t, tr, prompt(1))
					choice.ResponseStarted(choice.ExpectedTTFT() - choice.Backlog + late)
					choice.End(tracker.Success, 0)
				}
				_, delay := tr.EstimateTTFT(prompt(1))
				return delay
			}
			if got := mean(time.Second, 800*time.Millisecond); got < 500*time.Millisecond || got > 800*time.Millisecond {
				t.Errorf("mean delay got %v after a second of 800ms, want most of it", got)
			}
			if got := mean(2*time.Second, 0); got > 100*time.Millisecond {
				t.Errorf("mean delay got %v two seconds later, want it forgotten", got)
			}
		})
	}
}

// Load pattern: endpoints with few slots, filled by the requests of many other
// daemons.
func TestAnEndpointThatOthersFillIsPassedOver(t *testing.T) {
	rows := map[string]struct {
		load tracker.Load
		// passed is set when the home of the subject must not be chosen.
		passed bool
	}{
		"a free slot":       {tracker.Load{Requests: 7}, false},
		"all slots taken":   {tracker.Load{Requests: 16}, true},
		"taken long ago":    {tracker.Load{Requests: 16, Age: 2 * time.Second}, false},
		"an unknown engine": {tracker.Load{ID: "e99", Requests: 16}, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			tr, c := fleet(t, 8)
			home := pick(t, tr, prompt(1))
			c.move(time.Second)
			home.ResponseStarted(home.ExpectedTTFT())
			home.End(tracker.Success, 0)
			c.move(10 * time.Second)
			if row.load.ID == "" {
				row.load.ID = home.ID
			}
			tr.MergeLoads([]tracker.Load{row.load})
			if got := pick(t, tr, prompt(1)).ID; (got != home.ID) != row.passed {
				t.Errorf("Pick() got %s with %d requests at home %s, want another: %t", got, row.load.Requests, home.ID, row.passed)
			}
		})
	}
}

func TestLoadsAreToldAsOldAsTheyAre(t *testing.T) {
	tr, c := fleet(t, 4)
	choice := pick(t, tr, prompt(1))
	choice.ReportLoad(9, 3)
	c.move(300 * time.Millisecond)
	for name, loads := range map[string][]tracker.Load{"Seen": tr.DirectLoads(), "Busy": tr.BusyLoads()} {
		if len(loads) != 1 || loads[0].ID != choice.ID || loads[0].Requests != 12 || loads[0].Age != 300*time.Millisecond {
			t.Errorf("%s() got %+v, want 12 requests of %s 300ms ago", name, loads, choice.ID)
		}
	}
	tr.MergeLoads([]tracker.Load{{ID: choice.ID, Requests: 2, Age: 500 * time.Millisecond}})
	if got := tr.BusyLoads(); len(got) != 1 {
		t.Errorf("Busy() got %+v after older news, want what this daemon saw", got)
	}
	tr.MergeLoads([]tracker.Load{{ID: choice.ID, Requests: 2, Age: 100 * time.Millisecond}})
	if got := tr.BusyLoads(); len(got) != 0 {
		t.Errorf("Busy() got %+v after newer news of an idle endpoint, want none", got)
	}
	c.move(2 * time.Second)
	if got := tr.DirectLoads(); len(got) != 0 {
		t.Errorf("Seen() got %+v two seconds later, want none", got)
	}
}

func TestAnEndpointWithoutConnectionsRests(t *testing.T) {
	tr, c := fleet(t, 4)
	choice := pick(t, tr, prompt(3))
	home := choice.ID
	choice.End(tracker.ConnectFailed, 0)
	for range 50 {
		got := pick(t, tr, prompt(3))
		if got.ID == home {
			t.Fatalf("Pick() right after a refused connection got the same endpoint")
		}
		got.End(tracker.Neutral, 0)
	}
	c.move(5 * time.Second)
	if got := pick(t, tr, prompt(3)); got.ID != home {
		t.Errorf("Pick() 5 s later got %s, want the home %s again", got.ID, home)
	}
}

func TestTheLastEndpointIsTriedEvenWhenDown(t *testing.T) {
	tr, _ := fleet(t, 1)
	pick(t, tr, prompt(3)).End(tracker.ConnectFailed, 0)
	pick(t, tr, prompt(3)).End(tracker.ConnectFailed, 0)
}

func TestAZoneOutOfReachGetsOneRequestAtATime(t *testing.T) {
	tr, c := fleet(t, 8)
	failed := 0
	for subject := uint64(1); subject <= 200; subject++ {
		choice := pick(t, tr, prompt(subject))
		if choice.Zone == "b" {
			failed++
			choice.End(tracker.Unreachable, 0)
		} else {
			choice.ResponseStarted(choice.ExpectedTTFT())
			choice.End(tracker.Success, 0)
		}
		c.move(10 * time.Millisecond)
	}
	if failed > 5 {
		t.Errorf("requests to the zone in 2 s got %d, want a few tries", failed)
	}
	// The zone answers again.
	c.move(2 * time.Second)
	back := 0
	for subject := uint64(1); subject <= 200; subject++ {
		choice := pick(t, tr, prompt(subject))
		if choice.Zone == "b" {
			back++
		}
		choice.ResponseStarted(choice.ExpectedTTFT())
		choice.End(tracker.Success, 0)
		c.move(50 * time.Millisecond)
	}
	if back < 50 {
		t.Errorf("requests to the zone once it answers got %d of 200, want about half", back)
	}
}

func TestVersionsModelsAndTried(t *testing.T) {
	tr, _ := fleet(t, 4)
	moved := registration(3)
	moved.Version = "v2"
	moved.Sequence = 1
	moved.Models = []string{"small"}
	tr.Put(moved)
	rows := map[string]struct {
		query tracker.Query
		want  string
	}{
		"only":     {tracker.Query{Service: "helper", OnlyVersion: "v2"}, "e3"},
		"tried":    {tracker.Query{Service: "helper", Tried: []string{"e0", "e1", "e3"}}, "e2"},
		"except":   {tracker.Query{Service: "helper", ExceptVersion: "v1"}, "e3"},
		"model":    {tracker.Query{Service: "helper", OnlyVersion: "v2", Model: "large"}, ""},
		"service":  {tracker.Query{Service: "other"}, ""},
		"no match": {tracker.Query{Service: "helper", OnlyVersion: "v3"}, ""},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			got := ""
			if choice, ok := tr.Pick(row.query); ok {
				got = choice.ID
			}
			if got != row.want {
				t.Errorf("Pick() got %q, want %q", got, row.want)
			}
		})
	}
}

func TestASubsetIsTheSameOnAllDaemonsAndNeverOne(t *testing.T) {
	used := map[string]bool{}
	for range 3 {
		tr, _ := fleet(t, 12)
		for subject := uint64(1); subject <= 100; subject++ {
			query := prompt(subject)
			query.SubsetShare = 0.01
			used[pick(t, tr, query).ID] = true
		}
	}
	if len(used) != 2 {
		t.Errorf("endpoints of a small subset got %v, want the same two", used)
	}
}
