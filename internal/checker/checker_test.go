package checker_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/checker"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// fixture is a small history that violates no invariant until a test mutates it.
type fixture struct {
	declaration     *schema.Declaration
	chats           []checker.Chat
	bookingAttempts []checker.BookingAttempt
	observations    []checker.RevisionObservation
	withdrawn       map[string]time.Time
	draining        map[string]time.Time
	engineRuns      []faker.Execution
	serviceCalls    []faker.ExecutedCall
	bills           []*schema.Bill
}

const engineAddress = "10.1.0.1:9000"

var start = time.Unix(1_800_000_000, 0)

func newFixture(t *testing.T) *fixture {
	t.Helper()
	declaration, err := demonstrator.LoadDeployment("derwent")
	if err != nil {
		t.Fatalf("Deployment() got error %v, want nil", err)
	}
	response := func(prompt, bill string) *caller.Answer {
		return &caller.Answer{Text: faker.ExpectedResponse("eagle@v1", prompt, 1024), Version: "eagle@v1", Bill: bill, Cost: "0.001000"}
	}
	bill := func(id, service string, amount int64) *schema.Bill {
		return &schema.Bill{Id: id, Account: "rota-office", Service: service, Amount: amount, Time: timestamppb.New(start)}
	}
	return &fixture{
		declaration: declaration,
		chats: []checker.Chat{
			{Account: "rota-office", Prompt: "p1", Conversation: "c", Response: response("p1", "b1")},
			{Account: "rota-office", Prompt: "p2", Conversation: "c", Response: response("p2", "b2")},
			{Account: "rota-office", Prompt: "p3", Err: &caller.Error{Kind: "overloaded", Ran: caller.RanNo}},
		},
		bookingAttempts: []checker.BookingAttempt{
			{Account: "rota-office", Key: "k", Body: "x", Result: &caller.Result{Status: 200, Body: []byte("1"), Bill: "b3", Cost: "0.000050"}},
			{Account: "rota-office", Key: "k", Body: "x", Result: &caller.Result{Status: 200, Body: []byte("1"), Bill: "b3", Cost: "0.000050"}},
			{Account: "rota-office", Key: "l", Body: "y", Err: &caller.Error{Kind: "claims_unavailable", Ran: caller.RanNo}},
		},
		observations: []checker.RevisionObservation{{Daemon: "a/1", Revision: 1}, {Daemon: "a/1", Revision: 2}},
		engineRuns: []faker.Execution{
			{Version: "eagle@v1", Prompt: "p1", StartedAt: start, Complete: true},
			{Version: "eagle@v1", Prompt: "p2", StartedAt: start.Add(time.Minute), Complete: true},
		},
		serviceCalls: []faker.ExecutedCall{{Call: "POST /turns", IdempotencyKey: "k", Body: "x", ReceivedAt: start}},
		bills:        []*schema.Bill{bill("b1", "chat", 1000), bill("b2", "chat", 1000), bill("b2", "chat", 1000), bill("b3", "turn-ledger", 50)},
	}
}

func (s *fixture) violations(t *testing.T) []string {
	t.Helper()
	history := &checker.History{}
	for _, chat := range s.chats {
		history.AddChat(chat)
	}
	for _, attempt := range s.bookingAttempts {
		history.AddBookingAttempt(attempt)
	}
	for _, observation := range s.observations {
		history.AddRevisionObservation(observation)
	}
	for version, at := range s.withdrawn {
		history.AddWithdrawal(version, at)
	}
	for endpoint, at := range s.draining {
		history.AddDraining(endpoint, at)
	}
	violations, err := checker.Check(checker.Input{
		Declaration: s.declaration,
		History:     history,
		Runs: checker.EndpointRuns{
			Engines:  map[string][]faker.Execution{engineAddress: s.engineRuns},
			Services: map[string][]faker.ExecutedCall{"turn-ledger": s.serviceCalls},
		},
		Bills: s.bills,
	})
	if err != nil {
		t.Fatalf("Check() got error %v, want nil", err)
	}
	var invariants []string
	for _, violation := range violations {
		invariants = append(invariants, violation.Invariant)
	}
	return invariants
}

// TestCheckReportsEachViolation guards against a checker that misses a fault: each
// row damages a valid history in one way and expects the matching violation.
func TestCheckReportsEachViolation(t *testing.T) {
	rows := map[string]struct {
		mutate func(*fixture)
		want   string
	}{
		"valid history":                           {func(*fixture) {}, ""},
		"a model that is not allowed":             {func(s *fixture) { s.engineRuns[0].Version = "wren@v1" }, "allowed version"},
		"work after a withdrawal":                 {func(s *fixture) { s.withdrawn = map[string]time.Time{"eagle@v1": start.Add(time.Second)} }, "withdrawn version"},
		"work on a draining endpoint":             {func(s *fixture) { s.draining = map[string]time.Time{engineAddress: start.Add(time.Second)} }, "draining endpoint"},
		"a conversation that changed its version": {func(s *fixture) { s.changeVersion() }, "keeps its version"},
		"a response to another request":           {func(s *fixture) { s.chats[0].Response.Text = faker.ExpectedResponse("eagle@v1", "p2", 1024) }, "complete response"},
		"a truncated response":                    {func(s *fixture) { s.chats[0].Response.Text = s.chats[0].Response.Text[:20] }, "complete response"},
		"a chat that ran but was reported as not run": {func(s *fixture) {
			s.engineRuns = append(s.engineRuns, faker.Execution{Version: "eagle@v1", Prompt: "p3"})
		}, "did not run"},
		"a booking that ran but was reported as not run": {func(s *fixture) { s.serviceCalls = append(s.serviceCalls, faker.ExecutedCall{Body: "y"}) }, "did not run"},
		"a booking that ran twice":                       {func(s *fixture) { s.serviceCalls = append(s.serviceCalls, s.serviceCalls[0]) }, "at most once"},
		"a booking that was confirmed but did not run":   {func(s *fixture) { s.serviceCalls = nil }, "was confirmed"},
		"a retry with a different response":              {func(s *fixture) { s.bookingAttempts[1].Result.Body = []byte("2") }, "same response"},
		"a missing chat bill":                            {func(s *fixture) { s.bills = s.bills[1:] }, "billed once"},
		"a bill with a different amount":                 {func(s *fixture) { s.bills[0].Amount = 7 }, "billed once"},
		"one bill for two requests":                      {func(s *fixture) { s.chats[1].Response.Bill = "b1" }, "billed once"},
		"a second bill under another id":                 {func(s *fixture) { s.addExtraBill() }, "billed once"},
		"a configuration that reverted": {func(s *fixture) {
			s.observations = append(s.observations, checker.RevisionObservation{Daemon: "a/1", Revision: 1})
		}, "never reverts"},
		"a missing booking bill": {func(s *fixture) { s.bills = s.bills[:3] }, "billed once"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			row.mutate(s)
			got := s.violations(t)
			if row.want == "" {
				if len(got) > 0 {
					t.Errorf("violations got %v, want none", got)
				}
				return
			}
			if !slices.ContainsFunc(got, func(invariant string) bool { return strings.Contains(invariant, row.want) }) {
				t.Errorf("violations got %v, want one about %q", got, row.want)
			}
		})
	}
}

func (s *fixture) changeVersion() {
	s.chats[1].Response.Version = "heron@v3"
	s.chats[1].Response.Text = faker.ExpectedResponse("heron@v3", "p2", 1024)
}

func (s *fixture) addExtraBill() {
	extra := proto.CloneOf(s.bills[0])
	extra.Id = "b9"
	s.bills = append(s.bills, extra)
}
