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
	operator := s.OperatorClient(daemon, s.Client)
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

// waitForRevision waits up to a minute until all daemons have the revision in
// force, and returns how long that took.
func waitForRevision(s *demonstrator.Simulation, revision uint64) time.Duration {
	start := time.Now()
	for slices.ContainsFunc(s.Daemons(), func(d *demonstrator.Daemon) bool { return d.Server.Revision() < revision }) {
		if time.Since(start) > time.Minute {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// configurationGrace is the time within which the specification requires an
// accepted configuration to be in force.
const configurationGrace = 6 * time.Second

// TestConcurrentApplyAcceptsOneChange guards against two accepted changes that
// follow the same revision when operators apply them at the same time.
func TestConcurrentApplyAcceptsOneChange(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
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
				t.Errorf("Apply() got error %v, want a decision", got.err)
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
		if took := waitForRevision(s, 2); took > configurationGrace {
			t.Errorf("in force got after %s, want at most %s", took, configurationGrace)
		}
	})
}

// TestApplyUnderLogFaults guards against a change that is lost or takes effect twice
// when the log fails during the append and the operator retries.
func TestApplyUnderLogFaults(t *testing.T) {
	rows := map[string]struct {
		faults    faker.LogFaults
		published bool
	}{
		"append responses are lost": {faults: faker.LogFaults{LoseResponses: 2}, published: true},
		"the log is slow":           {faults: faker.LogFaults{Delay: time.Second}, published: true},
		"the log is down":           {faults: faker.LogFaults{Unavailable: true}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
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
				// Retried with the same id, the change takes effect only once.
				time.Sleep(5 * time.Second)
				retried, err := apply(t, s, s.Daemons()[2], "change-1", change)
				if err != nil || !retried.GetAccepted() || retried.GetRevision() != 2 {
					t.Errorf("Apply() again got %v, %v, want revision 2 accepted", retried, err)
				}
				waitForRevision(s, 2)
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

// TestWithdrawnVersionGetsNoNewWork guards against daemons that still use a version
// after its withdrawal should be in force.
func TestWithdrawnVersionGetsNoNewWork(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		runUnderLoad(t, s, demonstrator.DerwentWorkload, 30*time.Second, func(r *faultRun) {
			time.Sleep(8 * time.Second)
			response, err := apply(r.t, r.s, r.s.Daemons()[0], "", func(d *schema.Declaration) { d.Models["eagle"].Versions["v1"].Withdrawn = true })
			if err != nil || !response.GetAccepted() {
				r.t.Fatalf("Apply() got %v, %v, want accepted", response, err)
			}
			r.d.History.AddWithdrawal("eagle@v1", time.Now())
			if took := waitForRevision(r.s, response.GetRevision()); took > configurationGrace {
				r.t.Errorf("in force got after %s, want at most %s", took, configurationGrace)
			}
		})
	})
}

// TestConfigurationSurvivesLogExpiryAndNewDaemons guards against a configuration that
// is lost when its log records expire, or that new daemons cannot obtain.
func TestConfigurationSurvivesLogExpiryAndNewDaemons(t *testing.T) {
	adjust := func(o *demonstrator.Options) { o.Retention = 10 * time.Minute }
	runSimulation(t, "mekong", adjust, func(t *testing.T, s *demonstrator.Simulation) {
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
		// A new daemon in a partitioned zone fetches the configuration from its peer.
		s.PartitionZone("vinh-long", "can-tho", "soc-trang", demonstrator.PlatformZone)
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

// startRollout starts a rollout of wren v2 and waits until it is in force.
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
	waitForRevision(s, response.GetRevision())
}

// useOnlyWren restricts the accounts to wren, so that a rollout of wren gets all
// traffic.
func useOnlyWren(o *demonstrator.Options) {
	o.Declaration = proto.CloneOf(o.Declaration)
	template := o.Declaration.GetTemplates()["grower"]
	template.Policy.Fields["models"].GetListValue().Values = template.Policy.Fields["models"].GetListValue().Values[:1]
	template.Policy.Fields["caution"].Kind = template.Policy.Fields["urgency"].GetKind()
	delete(template.Policy.Fields, "caution")
}

// newVersion is the version that the rollout tests introduce.
const newVersion = "wren@v2"

// personInterval is the time between the chats of successive people.
const personInterval = 50 * time.Millisecond

// countExposedPeople sends one chat for each of count people and returns how many
// of them got a response from the new version.
func countExposedPeople(t *testing.T, s *demonstrator.Simulation, count int) int {
	t.Helper()
	exposed := map[string]bool{}
	history := &checker.History{}
	done := make(chan struct{})
	for i := range count {
		daemons := s.Daemons()
		daemon := daemons[i%len(daemons)]
		person := fmt.Sprintf("person-%d", i)
		go func() {
			response, err := s.AccountClient(daemon, "valley-growers").Chat(context.Background(), caller.Chat{
				Messages: userMessage("question of " + person), User: person,
			})
			history.AddChat(checker.Chat{Person: person, Response: response, Err: err})
			done <- struct{}{}
		}()
		time.Sleep(personInterval)
	}
	for range count {
		<-done
	}
	for _, chat := range history.Chats() {
		if chat.Err == nil && chat.Response.Version == newVersion {
			exposed[chat.Person] = true
		}
	}
	return len(exposed)
}

func rolloutPhase(t *testing.T, s *demonstrator.Simulation) schema.Phase {
	t.Helper()
	current, err := s.OperatorClient(s.Daemons()[0], s.Client).Current(t.Context(), connect.NewRequest(&schema.CurrentRequest{}))
	if err != nil {
		t.Fatalf("Current() got error %v, want nil", err)
	}
	return current.Msg.GetRevision().GetDeclaration().GetRollouts()["wren-v2"].GetPhase()
}

// TestRollouts guards against a rollout that exposes too many people or ends in the
// wrong phase.
func TestRollouts(t *testing.T) {
	rows := map[string]struct {
		quality       float64
		exposureLimit uint32
		ratersUp      bool
		partitioned   bool
		direct        bool
		phase         schema.Phase
	}{
		"a good version is promoted":                   {quality: 0.78, exposureLimit: 2000, ratersUp: true, phase: schema.Phase_PHASE_DONE},
		"a bad version is stopped":                     {quality: 0.50, exposureLimit: 2000, ratersUp: true, direct: true, phase: schema.Phase_PHASE_ABORTED},
		"a bad version is stopped before exposure":     {quality: 0.50, exposureLimit: 2000, ratersUp: true, phase: schema.Phase_PHASE_ABORTED},
		"without ratings the rollout does not advance": {quality: 0.78, exposureLimit: 2000, phase: schema.Phase_PHASE_RUNNING},
		"exposure stays limited in a partition":        {quality: 0.73, exposureLimit: 40, partitioned: true, direct: true, phase: schema.Phase_PHASE_RUNNING},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSimulation(t, "derwent", useOnlyWren, func(t *testing.T, s *demonstrator.Simulation) {
				s.Qualities.Set("wren@v2", row.quality)
				s.Platform.Rater.SetUnavailable(!row.ratersUp)
				startRollout(t, s, row.exposureLimit, row.direct)
				time.Sleep(5 * time.Second)
				if row.partitioned {
					s.PartitionZone("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
				}
				exposed := countExposedPeople(t, s, 2500)
				if row.phase != schema.Phase_PHASE_DONE && exposed > int(row.exposureLimit) {
					t.Errorf("exposed people got %d, want at most %d", exposed, row.exposureLimit)
				}
				if !row.ratersUp && !row.direct && exposed > 0 {
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

// TestRolloutStopHoldsWhileLogIsDown guards against a rollout that continues because
// the evidence against its version arrives while the log is down and no change of
// the configuration can be written.
func TestRolloutStopHoldsWhileLogIsDown(t *testing.T) {
	runSimulation(t, "derwent", useOnlyWren, func(t *testing.T, s *demonstrator.Simulation) {
		s.Qualities.Set(newVersion, 0.2)
		s.Platform.Rater.SetUnavailable(true)
		startRollout(t, s, 2000, true)
		if got := countExposedPeople(t, s, 200); got == 0 {
			t.Error("exposed people got 0, want some before the stop")
		}
		s.Platform.Log.SetFaults(faker.LogFaults{Unavailable: true})
		s.Platform.Rater.SetUnavailable(false)
		if got := countExposedPeople(t, s, 1500); got == 0 {
			t.Error("exposed people got 0, want some while the log is down")
		}
		// The stop spreads between the daemons by gossip.
		time.Sleep(configurationGrace)
		if got := countExposedPeople(t, s, 300); got != 0 {
			t.Errorf("exposed people got %d, want 0 after the stop", got)
		}
		if got := rolloutPhase(t, s); got != schema.Phase_PHASE_RUNNING {
			t.Errorf("phase got %s, want it unchanged while the log is down", got)
		}
	})
}

// TestOrdersReachEnginesOnce guards against orders that engines miss or get more
// than once after their declared versions change.
func TestOrdersReachEnginesOnce(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
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
			if got := len(engine.AcceptedOrders()); got != 1 {
				t.Errorf("orders to %s got %d, want 1", address, got)
			}
		}
	})
}

// TestFencedEngineRejectsLateOrder guards against an engine that accepts an order
// from a former lease holder, which resumes after another took over the lease.
func TestFencedEngineRejectsLateOrder(t *testing.T) {
	adjust := func(o *demonstrator.Options) { o.DaemonsPerZone = 2 }
	runSimulation(t, "derwent", adjust, func(t *testing.T, s *demonstrator.Simulation) {
		time.Sleep(30 * time.Second)
		// Freezing both daemons of the zone in turn makes the lease change its holder.
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
			orders := engine.AcceptedOrders()
			for i := 1; i < len(orders); i++ {
				if orders[i].FencingNumber < orders[i-1].FencingNumber {
					t.Errorf("%s accepted fence %d after %d", address, orders[i].FencingNumber, orders[i-1].FencingNumber)
				}
			}
			if got := engine.Versions(); len(got) != 4 {
				t.Errorf("versions of %s got %v, want all 4", address, got)
			}
		}
	})
}

// TestRolloutAfterAbortedRollout guards against exposure after a rollout was aborted,
// and a later rollout of the same version that does not start.
func TestRolloutAfterAbortedRollout(t *testing.T) {
	runSimulation(t, "derwent", useOnlyWren, func(t *testing.T, s *demonstrator.Simulation) {
		s.Platform.Rater.SetUnavailable(true)
		startRollout(t, s, 500, true)
		if got := countExposedPeople(t, s, 200); got == 0 {
			t.Error("exposed people got 0, want some during the rollout")
		}
		response, err := apply(t, s, s.Daemons()[1], "", func(d *schema.Declaration) {
			d.Rollouts["wren-v2"].Phase = schema.Phase_PHASE_ABORTED
		})
		if err != nil || !response.GetAccepted() {
			t.Fatalf("Apply() got %v, %v, want accepted", response, err)
		}
		waitForRevision(s, response.GetRevision())
		if got := countExposedPeople(t, s, 200); got != 0 {
			t.Errorf("exposed people got %d, want 0 after the rollout was aborted", got)
		}
		startRollout(t, s, 500, true)
		if got := countExposedPeople(t, s, 200); got == 0 {
			t.Error("exposed people got 0, want some during the second rollout")
		}
	})
}
