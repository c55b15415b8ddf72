package demonstrator_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
)

// runSimulation runs a test body in virtual time on a fleet whose declaration is
// in force.
func runSimulation(t *testing.T, deployment string, adjust func(*demonstrator.Options), body func(t *testing.T, s *demonstrator.Simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		declaration, err := demonstrator.LoadDeployment(deployment)
		if err != nil {
			t.Fatalf("Deployment(%q) got error %v, want nil", deployment, err)
		}
		options := demonstrator.Options{
			Declaration:    declaration,
			DaemonsPerZone: 1,
			Qualities:      demonstrator.DemoQualities,
			Logger:         hclog.NewNullLogger(),
			Seed:           1,
		}
		if adjust != nil {
			adjust(&options)
		}
		s, err := demonstrator.StartSimulation(options)
		if err != nil {
			t.Fatalf("Simulate() got error %v, want nil", err)
		}
		defer func() {
			s.Close()
			// Wait until the streams that engines keep for resumption have expired.
			time.Sleep(time.Minute)
		}()
		if err := s.Apply(t.Context(), s.Client, s.Declaration(), "test", "start"); err != nil {
			t.Fatalf("Apply() got error %v, want nil", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := s.WaitReady(ctx, s.Client); err != nil {
			t.Fatalf("Ready() got error %v, want nil", err)
		}
		body(t, s)
	})
}

func userMessage(text string) []caller.Message {
	return []caller.Message{{Role: "user", Content: text}}
}

// TestRequestPath guards against a chat without text, bill or cost, and a booking
// that runs again when its key is sent to another daemon.
func TestRequestPath(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		daemons := s.Daemons()
		response, err := s.AccountClient(daemons[0], "valley-growers").Chat(t.Context(), caller.Chat{Messages: userMessage("When is my turn?"), Stream: true})
		if err != nil {
			t.Fatalf("Chat() got error %v, want nil", err)
		}
		if response.Bill == "" || response.Cost == "" || response.Text == "" {
			t.Errorf("Chat() got %+v, want text, bill and cost", response)
		}
		booking := caller.Call{Service: "turn-ledger", Method: http.MethodPost, Path: "/turns", Key: "k", Body: []byte(`{}`)}
		for _, daemon := range daemons {
			if _, err := s.AccountClient(daemon, "rota-office").Call(t.Context(), booking); err != nil {
				t.Errorf("Call() at %s got error %v, want nil", daemon.Name, err)
			}
		}
		if got := len(s.Ledgers["turn-ledger"].ExecutedCalls()); got != 1 {
			t.Errorf("bookings run got %d, want 1", got)
		}
	})
}
