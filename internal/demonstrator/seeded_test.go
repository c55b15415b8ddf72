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

// TestSeededFaultsAreSeen breaks the path of real requests from outside the
// daemon, in the way that a fault inside it would show, and expects the
// checker to see it.
func TestSeededFaultsAreSeen(t *testing.T) {
	rows := map[string]struct {
		seed func(s *demonstrator.Simulation)
		// damage changes what a faulty daemon would have left behind.
		damage func(facts *checker.Facts)
		want   string
	}{
		"bookings are sent twice":        {seed: func(s *demonstrator.Simulation) { s.SetServices(faker.ServiceFaults{ExecuteTwice: true}) }, want: "at most once"},
		"the log drops batches of bills": {seed: func(s *demonstrator.Simulation) { s.Platform.Log.SetFaults(faker.LogFaults{DiscardStream: "bills"}) }, want: "billed once"},
		"streams end early with a mark":  {seed: func(s *demonstrator.Simulation) { s.SetEngines(faker.EngineFaults{EndAfterTokens: 4}) }, want: "whole answer"},
		"engines answer other prompts":   {seed: func(s *demonstrator.Simulation) { s.SetEngines(faker.EngineFaults{SwapResponses: true}) }, want: "whole answer"},
		"a fold without the revision check": {damage: func(f *checker.Facts) {
			f.History.AddSighting(checker.Sighting{Daemon: f.History.FirstDaemon(), Revision: 0})
		}, want: "never reverts"},
		"a withdrawal that is ignored": {damage: func(f *checker.Facts) {
			f.History.Withdraw("eagle@v1", time.Now().Add(-time.Hour))
		}, want: "withdrawn version"},
		"a departure that is ignored": {damage: func(f *checker.Facts) {
			for endpoint := range f.Runs.Engines {
				f.History.Leave(endpoint, time.Now().Add(-time.Hour))
			}
		}, want: "leaving endpoint"},
		"bills without an id of their own": {damage: func(f *checker.Facts) {
			for i, bill := range f.Bills {
				bill.Id = bill.GetId() + strings.Repeat("x", i)
			}
		}, want: "billed once"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulate(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
				if row.seed != nil {
					row.seed(s)
				}
				d := demonstrator.NewDriver(s, demonstrator.DerwentWorkload)
				d.Run(t.Context(), 10*time.Second)
				time.Sleep(30 * time.Second)
				facts := d.Facts()
				if row.damage != nil {
					row.damage(&facts)
				}
				violations, err := checker.Check(facts)
				if err != nil {
					t.Fatalf("Check() got error %v, want nil", err)
				}
				seen := slices.ContainsFunc(violations, func(v checker.Violation) bool { return strings.Contains(v.Promise, row.want) })
				if !seen {
					t.Errorf("violations got %v, want one about %q", violations, row.want)
				}
			})
		})
	}
}
