package demonstrator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/checker"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// apply publishes a changed declaration through a daemon.
func apply(t *testing.T, s *demonstrator.Simulation, daemon *demonstrator.Daemon, id string, change func(*schema.Declaration)) (*schema.ApplyResponse, error) {
	t.Helper()
	operator := s.Operator(daemon, s.Client)
	current, err := operator.Current(t.Context(), connect.NewRequest(&schema.CurrentRequest{}))
	if err != nil {
		t.Fatalf("Current() got error %v, want nil", err)
	}
	next := proto.CloneOf(current.Msg.GetRevision().GetDeclaration())
	change(next)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := operator.Apply(ctx, connect.NewRequest(&schema.ApplyRequest{
		Declaration: next, Follows: current.Msg.GetRevision().GetNumber(), Author: "test", Reason: "test", Id: id,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// inForce waits until all daemons have the revision and returns how long that
// took.
func inForce(s *demonstrator.Simulation, revision uint64) time.Duration {
	began := time.Now()
	for slices.ContainsFunc(s.Daemons(), func(d *demonstrator.Daemon) bool { return d.Server.Revision() < revision }) {
		if time.Since(began) > time.Minute {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// forceBound is the time in which the brief wants a configuration in force.
const forceBound = 6 * time.Second

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	simulate(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		type outcome struct {
			response *schema.ApplyResponse
			err      error
		}
		outcomes := make(chan outcome, 4)
		for i, daemon := range s.Daemons() {
			go func() {
				response, err := apply(t, s, daemon, fmt.Sprintf("op-%d", i), func(d *schema.Declaration) {
					d.Models["wren"].Versions["v1"].Quality = 0.5 + float64(i)/100
				})
				outcomes <- outcome{response, err}
			}()
		}
		accepted := 0
		for range s.Daemons() {
			got := <-outcomes
			if got.err != nil {
				t.Errorf("Apply() got error %v, want a verdict", got.err)
				continue
			}
			if got.response.GetAccepted() {
				accepted++
			} else if got.response.GetWinner() != 2 {
				t.Errorf("winner got %d, want 2", got.response.GetWinner())
			}
		}
		if accepted != 1 {
			t.Errorf("accepted got %d, want 1", accepted)
		}
		if took := inForce(s, 2); took > forceBound {
			t.Errorf("in force got after %s, want at most %s", took, forceBound)
		}
	})
}

func TestApplyUnderLogFaults(t *testing.T) {
	rows := map[string]struct {
		faults    faker.LogFaults
		published bool
	}{
		"append answers are lost": {faults: faker.LogFaults{LoseAnswers: 2}, published: true},
		"the log is slow":         {faults: faker.LogFaults{Delay: time.Second}, published: true},
		"the log is down":         {faults: faker.LogFaults{Down: true}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			simulate(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
				s.Platform.Log.SetFaults(row.faults)
				change := func(d *schema.Declaration) { d.Models["wren"].Versions["v1"].Quality = 0.6 }
				response, err := apply(t, s, s.Daemons()[1], "change-1", change)
				s.Platform.Log.SetFaults(faker.LogFaults{})
				if row.published {
					if err != nil || !response.GetAccepted() || response.GetRevision() != 2 {
						t.Fatalf("Apply() got %v, %v, want revision 2 accepted", response, err)
					}
				} else if err == nil {
					t.Fatalf("Apply() got %v, want an error", response)
				}
				// Sent again with the same id, the change has one effect.
				time.Sleep(5 * time.Second)
				again, err := apply(t, s, s.Daemons()[2], "change-1", change)
				if err != nil || !again.GetAccepted() || again.GetRevision() != 2 {
					t.Errorf("Apply() again got %v, %v, want revision 2 accepted", again, err)
				}
				inForce(s, 2)
				time.Sleep(5 * time.Second)
				for _, daemon := range s.Daemons() {
					if got := daemon.Server.Revision(); got != 2 {
						t.Errorf("revision at %s got %d, want 2", daemon.Name, got)
					}
				}
			})
		})
	}
}

func TestAWithdrawnVersionGetsNoNewWork(t *testing.T) {
	simulate(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		underLoad(t, s, demonstrator.DerwentWorkload, 30*time.Second, func(r *run) {
			time.Sleep(8 * time.Second)
			response, err := apply(r.t, r.s, r.s.Daemons()[0], "", func(d *schema.Declaration) { d.Models["eagle"].Versions["v1"].Withdrawn = true })
			if err != nil || !response.GetAccepted() {
				r.t.Fatalf("Apply() got %v, %v, want accepted", response, err)
			}
			r.d.History.Withdraw("eagle@v1", time.Now())
			if took := inForce(r.s, response.GetRevision()); took > forceBound {
				r.t.Errorf("in force got after %s, want at most %s", took, forceBound)
			}
		})
	})
}

func TestAConfigurationSurvivesExpiryAndReplacement(t *testing.T) {
	adjust := func(o *demonstrator.Options) { o.Retention = 10 * time.Minute }
	simulate(t, "mekong", adjust, func(t *testing.T, s *demonstrator.Simulation) {
		if _, err := apply(t, s, s.Daemons()[0], "", func(d *schema.Declaration) { d.Models["egret"].Versions["v2"].Quality = 0.8 }); err != nil {
			t.Fatalf("Apply() got error %v, want nil", err)
		}
		for range 6 {
			time.Sleep(4 * time.Minute)
			s.Platform.Log.Expire(10 * time.Minute)
		}
		if _, err := s.StartDaemon("can-tho-2", "can-tho"); err != nil {
			t.Fatalf("StartDaemon() got error %v, want nil", err)
		}
		// A cut-off zone's new daemon takes the configuration from its peer.
		s.Isolate("vinh-long", "can-tho", "soc-trang", demonstrator.PlatformZone)
		if _, err := s.StartDaemon("vinh-long-2", "vinh-long"); err != nil {
			t.Fatalf("StartDaemon() got error %v, want nil", err)
		}
		time.Sleep(15 * time.Second)
		for _, daemon := range s.Daemons() {
			if got := daemon.Server.Revision(); got != 2 {
				t.Errorf("revision at %s got %d, want 2", daemon.Name, got)
			}
		}
	})
}

// startRollout begins a roll-out of wren v2.
func startRollout(t *testing.T, s *demonstrator.Simulation, people uint32, direct bool) {
	t.Helper()
	response, err := apply(t, s, s.Daemons()[0], "", func(d *schema.Declaration) {
		d.Rollouts = map[string]*schema.Rollout{"wren-v2": {
			Model: "wren", From: "v1", To: "v2", Stages: []float64{0.1, 0.3, 0.6}, People: people, Tolerance: 0.03, Phase: schema.Phase_PHASE_RUNNING, Direct: direct,
		}}
	})
	if err != nil || !response.GetAccepted() {
		t.Fatalf("Apply() got %v, %v, want accepted", response, err)
	}
	inForce(s, response.GetRevision())
}

// wrenOnly makes every account use wren alone, for tests of roll-outs.
func wrenOnly(o *demonstrator.Options) {
	o.Declaration = proto.CloneOf(o.Declaration)
	template := o.Declaration.GetTemplates()["grower"]
	template.Policy.Fields["models"].GetListValue().Values = template.Policy.Fields["models"].GetListValue().Values[:1]
	template.Policy.Fields["caution"].Kind = template.Policy.Fields["urgency"].GetKind()
	delete(template.Policy.Fields, "caution")
}

// newVersion is the version that the tests roll out.
const newVersion = "wren@v2"

// personGap is the time between the chats of two people.
const personGap = 50 * time.Millisecond

// people sends one chat each of many people and returns those that saw the
// new version.
func people(t *testing.T, s *demonstrator.Simulation, count int) int {
	t.Helper()
	seen := map[string]bool{}
	history := &checker.History{}
	done := make(chan struct{})
	for i := range count {
		daemons := s.Daemons()
		daemon := daemons[i%len(daemons)]
		person := fmt.Sprintf("person-%d", i)
		go func() {
			answer, err := s.Caller(daemon, "valley-growers").Chat(context.Background(), caller.Chat{
				Messages: question("question of " + person), User: person,
			})
			history.AddChat(checker.Chat{Person: person, Answer: answer, Err: err})
			done <- struct{}{}
		}()
		time.Sleep(personGap)
	}
	for range count {
		<-done
	}
	for _, chat := range history.Chats() {
		if chat.Err == nil && chat.Answer.Version == newVersion {
			seen[chat.Person] = true
		}
	}
	return len(seen)
}

func rolloutPhase(t *testing.T, s *demonstrator.Simulation) schema.Phase {
	t.Helper()
	current, err := s.Operator(s.Daemons()[0], s.Client).Current(t.Context(), connect.NewRequest(&schema.CurrentRequest{}))
	if err != nil {
		t.Fatalf("Current() got error %v, want nil", err)
	}
	return current.Msg.GetRevision().GetDeclaration().GetRollouts()["wren-v2"].GetPhase()
}

func TestRollouts(t *testing.T) {
	rows := map[string]struct {
		quality float64
		bound   uint32
		raters  bool
		cut     bool
		direct  bool
		phase   schema.Phase
	}{
		"a good version takes over":               {quality: 0.78, bound: 2000, raters: true, phase: schema.Phase_PHASE_DONE},
		"a bad version is stopped":                {quality: 0.50, bound: 2000, raters: true, direct: true, phase: schema.Phase_PHASE_ABORTED},
		"a bad version is stopped before people":  {quality: 0.50, bound: 2000, raters: true, phase: schema.Phase_PHASE_ABORTED},
		"without ratings it stays where it is":    {quality: 0.78, bound: 2000, phase: schema.Phase_PHASE_RUNNING},
		"the bound holds while zones are cut off": {quality: 0.73, bound: 40, cut: true, direct: true, phase: schema.Phase_PHASE_RUNNING},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulate(t, "derwent", wrenOnly, func(t *testing.T, s *demonstrator.Simulation) {
				s.Rating.Set("wren@v2", row.quality)
				s.Platform.Rater.SetDown(!row.raters)
				startRollout(t, s, row.bound, row.direct)
				time.Sleep(5 * time.Second)
				if row.cut {
					s.Isolate("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
				}
				exposed := people(t, s, 2500)
				if row.phase != schema.Phase_PHASE_DONE && exposed > int(row.bound) {
					t.Errorf("exposed people got %d, want at most %d", exposed, row.bound)
				}
				if !row.raters && !row.direct && exposed > 0 {
					t.Errorf("exposed people got %d, want 0 before any evidence", exposed)
				}
				if got := rolloutPhase(t, s); got != row.phase {
					t.Errorf("phase got %s, want %s", got, row.phase)
				}
				t.Logf("exposed %d people", exposed)
			})
		})
	}
}

// TestAStopHoldsWhileTheLogIsDown has the evidence against a version come when no
// change of the configuration can be written.
func TestAStopHoldsWhileTheLogIsDown(t *testing.T) {
	simulate(t, "derwent", wrenOnly, func(t *testing.T, s *demonstrator.Simulation) {
		s.Rating.Set(newVersion, 0.2)
		s.Platform.Rater.SetDown(true)
		startRollout(t, s, 2000, true)
		if got := people(t, s, 200); got == 0 {
			t.Error("exposed people got 0, want some before the stop")
		}
		s.Platform.Log.SetFaults(faker.LogFaults{Down: true})
		s.Platform.Rater.SetDown(false)
		if got := people(t, s, 1500); got == 0 {
			t.Error("exposed people got 0, want some while the log is down")
		}
		// The stop spreads from daemon to daemon.
		time.Sleep(forceBound)
		if got := people(t, s, 300); got != 0 {
			t.Errorf("exposed people got %d, want 0 after the stop", got)
		}
		if got := rolloutPhase(t, s); got != schema.Phase_PHASE_RUNNING {
			t.Errorf("phase got %s, want it unchanged while the log is down", got)
		}
	})
}

func TestOrdersReachEnginesOnce(t *testing.T) {
	simulate(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		time.Sleep(30 * time.Second)
		response, err := apply(t, s, s.Daemons()[0], "", func(d *schema.Declaration) {
			for _, worker := range d.Services["rota-helper"].Workers {
				worker.Versions = []string{"wren@v1", "eagle@v1"}
			}
		})
		if err != nil || !response.GetAccepted() {
			t.Fatalf("Apply() got %v, %v, want accepted", response, err)
		}
		time.Sleep(time.Minute)
		for address, engine := range s.Engines {
			if got, want := engine.Versions(), []string{"eagle@v1", "wren@v1"}; !slices.Equal(got, want) {
				t.Errorf("versions of %s got %v, want %v", address, got, want)
			}
			if got := len(engine.Orders()); got != 1 {
				t.Errorf("orders to %s got %d, want 1", address, got)
			}
		}
	})
}

func TestALateOrderMeetsAFencedEngine(t *testing.T) {
	adjust := func(o *demonstrator.Options) { o.PerZone = 2 }
	simulate(t, "derwent", adjust, func(t *testing.T, s *demonstrator.Simulation) {
		time.Sleep(30 * time.Second)
		// Both daemons of the zone are frozen in turn, so that the lease moves.
		for _, name := range []string{"ouse-1", "ouse-2"} {
			s.Fabric.Pause(s.Daemon(name).Addr)
			change := "0." + name[len(name)-1:]
			response, err := apply(t, s, s.Daemon("bothwell-1"), "", func(d *schema.Declaration) {
				d.Models["wren"].Versions["v1"].Quality = 0.7 + float64(len(change))/100
				for i, worker := range d.Services["rota-helper"].Workers {
					worker.Versions = []string{"wren@v1", "eagle@v1", "heron@v3"}[:2+i%2]
					if name == "ouse-2" {
						worker.Versions = []string{"wren@v1", "wren@v2", "heron@v3", "eagle@v1"}
					}
				}
			})
			if err != nil || !response.GetAccepted() {
				t.Fatalf("Apply() got %v, %v, want accepted", response, err)
			}
			time.Sleep(time.Minute)
			s.Fabric.Resume(s.Daemon(name).Addr)
			time.Sleep(30 * time.Second)
		}
		for address, engine := range s.Engines {
			orders := engine.Orders()
			for i := 1; i < len(orders); i++ {
				if orders[i].FencingNumber < orders[i-1].FencingNumber {
					t.Errorf("%s took fence %d after %d", address, orders[i].FencingNumber, orders[i-1].FencingNumber)
				}
			}
			if got := engine.Versions(); len(got) != 4 {
				t.Errorf("versions of %s got %v, want all 4", address, got)
			}
		}
	})
}

func TestARolloutStoppedPartwayAndAnotherBegun(t *testing.T) {
	simulate(t, "derwent", wrenOnly, func(t *testing.T, s *demonstrator.Simulation) {
		s.Platform.Rater.SetDown(true)
		startRollout(t, s, 500, true)
		if got := people(t, s, 200); got == 0 {
			t.Error("exposed people got 0, want some during the roll-out")
		}
		response, err := apply(t, s, s.Daemons()[1], "", func(d *schema.Declaration) {
			d.Rollouts["wren-v2"].Phase = schema.Phase_PHASE_ABORTED
		})
		if err != nil || !response.GetAccepted() {
			t.Fatalf("Apply() got %v, %v, want accepted", response, err)
		}
		inForce(s, response.GetRevision())
		if got := people(t, s, 200); got != 0 {
			t.Errorf("exposed people got %d, want 0 after the roll-out was aborted", got)
		}
		startRollout(t, s, 500, true)
		if got := people(t, s, 200); got == 0 {
			t.Error("exposed people got 0, want some during the second roll-out")
		}
	})
}
