package demonstrator_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/checker"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
)

// TestCheckerDetectsInjectedFaults guards against a checker that misses faults. It
// injects faults outside the daemon, or alters the recorded data, so that the
// result looks like a fault inside the daemon, and expects a violation.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	rows := map[string]struct {
		inject func(s *demonstrator.Simulation)
		// mutate alters the recorded data as a faulty daemon would have left it.
		mutate func(facts *checker.Input)
		want   string
	}{
		"bookings are sent twice":              {inject: func(s *demonstrator.Simulation) { s.SetServiceFaults(faker.ServiceFaults{ExecuteTwice: true}) }, want: "at most once"},
		"the log drops batches of bills":       {inject: func(s *demonstrator.Simulation) { s.Platform.Log.SetFaults(faker.LogFaults{DiscardStream: "bills"}) }, want: "billed once"},
		"streams end early with an end marker": {inject: func(s *demonstrator.Simulation) { s.SetEngineFaults(faker.EngineFaults{EndAfterTokens: 4}) }, want: "complete response"},
		"engines respond to other prompts":     {inject: func(s *demonstrator.Simulation) { s.SetEngineFaults(faker.EngineFaults{SwapResponses: true}) }, want: "complete response"},
		"replay without the revision check": {mutate: func(f *checker.Input) {
			f.History.AddRevisionObservation(checker.RevisionObservation{Daemon: f.History.FirstDaemon(), Revision: 0})
		}, want: "never reverts"},
		"a withdrawal that is ignored": {mutate: func(f *checker.Input) {
			f.History.AddWithdrawal("eagle@v1", time.Now().Add(-time.Hour))
		}, want: "withdrawn version"},
		"draining that is ignored": {mutate: func(f *checker.Input) {
			for endpoint := range f.Runs.Engines {
				f.History.AddDraining(endpoint, time.Now().Add(-time.Hour))
			}
		}, want: "draining endpoint"},
		"bills without stable ids": {mutate: func(f *checker.Input) {
			for i, bill := range f.Bills {
				bill.Id = bill.GetId() + strings.Repeat("x", i)
			}
		}, want: "billed once"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
				if row.inject != nil {
					row.inject(s)
				}
				d := demonstrator.NewDriver(s, demonstrator.DerwentWorkload)
				d.Run(t.Context(), 10*time.Second)
				time.Sleep(30 * time.Second)
				input := d.CheckerInput()
				if row.mutate != nil {
					row.mutate(&input)
				}
				violations, err := checker.Check(input)
				if err != nil {
					t.Fatalf("Check() got error %v, want nil", err)
				}
				detected := slices.ContainsFunc(violations, func(v checker.Violation) bool { return strings.Contains(v.Invariant, row.want) })
				if !detected {
					t.Errorf("violations got %v, want one about %q", violations, row.want)
				}
			})
		})
	}
}
