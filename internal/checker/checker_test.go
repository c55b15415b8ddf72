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

// scene is a small history that breaks no promise.
type scene struct {
	declaration *schema.Declaration
	chats       []checker.Chat
	bookings    []checker.Booking
	sightings   []checker.Sighting
	withdrawn   map[string]time.Time
	leaving     map[string]time.Time
	runs        []faker.Execution
	calls       []faker.ExecutedCall
	bills       []*schema.Bill
}

const engineAddress = "10.1.0.1:9000"

var start = time.Unix(1_800_000_000, 0)

func newScene(t *testing.T) *scene {
	t.Helper()
	declaration, err := demonstrator.Deployment("derwent")
	if err != nil {
		t.Fatalf("Deployment() got error %v, want nil", err)
	}
	answer := func(prompt, bill string) *caller.Answer {
		return &caller.Answer{Text: faker.ExpectedResponse("eagle@v1", prompt, 1024), Version: "eagle@v1", Bill: bill, Cost: "0.001000"}
	}
	bill := func(id, service string, amount int64) *schema.Bill {
		return &schema.Bill{Id: id, Account: "rota-office", Service: service, Amount: amount, Time: timestamppb.New(start)}
	}
	return &scene{
		declaration: declaration,
		chats: []checker.Chat{
			{Account: "rota-office", Prompt: "p1", Conversation: "c", Answer: answer("p1", "b1")},
			{Account: "rota-office", Prompt: "p2", Conversation: "c", Answer: answer("p2", "b2")},
			{Account: "rota-office", Prompt: "p3", Err: &caller.Error{Kind: "overloaded", Ran: caller.RanNo}},
		},
		bookings: []checker.Booking{
			{Account: "rota-office", Key: "k", Body: "x", Result: &caller.Result{Status: 200, Body: []byte("1"), Bill: "b3", Cost: "0.000050"}},
			{Account: "rota-office", Key: "k", Body: "x", Result: &caller.Result{Status: 200, Body: []byte("1"), Bill: "b3", Cost: "0.000050"}},
			{Account: "rota-office", Key: "l", Body: "y", Err: &caller.Error{Kind: "claims_unavailable", Ran: caller.RanNo}},
		},
		sightings: []checker.Sighting{{Daemon: "a/1", Revision: 1}, {Daemon: "a/1", Revision: 2}},
		runs: []faker.Execution{
			{Version: "eagle@v1", Prompt: "p1", StartedAt: start, Complete: true},
			{Version: "eagle@v1", Prompt: "p2", StartedAt: start.Add(time.Minute), Complete: true},
		},
		calls: []faker.ExecutedCall{{Call: "POST /turns", IdempotencyKey: "k", Body: "x", ReceivedAt: start}},
		bills: []*schema.Bill{bill("b1", "chat", 1000), bill("b2", "chat", 1000), bill("b2", "chat", 1000), bill("b3", "turn-ledger", 50)},
	}
}

func (s *scene) violations(t *testing.T) []string {
	t.Helper()
	history := &checker.History{}
	for _, chat := range s.chats {
		history.AddChat(chat)
	}
	for _, booking := range s.bookings {
		history.AddBooking(booking)
	}
	for _, sighting := range s.sightings {
		history.AddSighting(sighting)
	}
	for version, at := range s.withdrawn {
		history.Withdraw(version, at)
	}
	for endpoint, at := range s.leaving {
		history.Leave(endpoint, at)
	}
	found, err := checker.Check(checker.Facts{
		Declaration: s.declaration,
		History:     history,
		Runs: checker.Runs{
			Engines:  map[string][]faker.Execution{engineAddress: s.runs},
			Services: map[string][]faker.ExecutedCall{"turn-ledger": s.calls},
		},
		Bills: s.bills,
	})
	if err != nil {
		t.Fatalf("Check() got error %v, want nil", err)
	}
	var promises []string
	for _, violation := range found {
		promises = append(promises, violation.Promise)
	}
	return promises
}

func TestTheCheckerSeesEachBrokenPromise(t *testing.T) {
	rows := map[string]struct {
		damage func(*scene)
		want   string
	}{
		"nothing broken":                      {func(*scene) {}, ""},
		"a model that is not allowed":         {func(s *scene) { s.runs[0].Version = "wren@v1" }, "allowed version"},
		"work after a withdrawal":             {func(s *scene) { s.withdrawn = map[string]time.Time{"eagle@v1": start.Add(time.Second)} }, "withdrawn version"},
		"work on a leaving endpoint":          {func(s *scene) { s.leaving = map[string]time.Time{engineAddress: start.Add(time.Second)} }, "leaving endpoint"},
		"a conversation that moved":           {func(s *scene) { s.move() }, "keeps its version"},
		"an answer of another request":        {func(s *scene) { s.chats[0].Answer.Text = faker.ExpectedResponse("eagle@v1", "p2", 1024) }, "whole answer"},
		"an answer that was cut":              {func(s *scene) { s.chats[0].Answer.Text = s.chats[0].Answer.Text[:20] }, "whole answer"},
		"a chat run though refused":           {func(s *scene) { s.runs = append(s.runs, faker.Execution{Version: "eagle@v1", Prompt: "p3"}) }, "did not run"},
		"a booking run though refused":        {func(s *scene) { s.calls = append(s.calls, faker.ExecutedCall{Body: "y"}) }, "did not run"},
		"a booking run twice":                 {func(s *scene) { s.calls = append(s.calls, s.calls[0]) }, "at most once"},
		"a booking confirmed and not run":     {func(s *scene) { s.calls = nil }, "was confirmed"},
		"a repeat with another answer":        {func(s *scene) { s.bookings[1].Result.Body = []byte("2") }, "same answer"},
		"a bill that was dropped":             {func(s *scene) { s.bills = s.bills[1:] }, "billed once"},
		"a bill with another amount":          {func(s *scene) { s.bills[0].Amount = 7 }, "billed once"},
		"one bill for two requests":           {func(s *scene) { s.chats[1].Answer.Bill = "b1" }, "billed once"},
		"a second bill under another id":      {func(s *scene) { s.extraBill() }, "billed once"},
		"a configuration that went back":      {func(s *scene) { s.sightings = append(s.sightings, checker.Sighting{Daemon: "a/1", Revision: 1}) }, "never reverts"},
		"a booking's bill that was forgotten": {func(s *scene) { s.bills = s.bills[:3] }, "billed once"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newScene(t)
			row.damage(s)
			got := s.violations(t)
			if row.want == "" {
				if len(got) > 0 {
					t.Errorf("violations got %v, want none", got)
				}
				return
			}
			if !slices.ContainsFunc(got, func(promise string) bool { return strings.Contains(promise, row.want) }) {
				t.Errorf("violations got %v, want one about %q", got, row.want)
			}
		})
	}
}

func (s *scene) move() {
	s.chats[1].Answer.Version = "heron@v3"
	s.chats[1].Answer.Text = faker.ExpectedResponse("heron@v3", "p2", 1024)
}

func (s *scene) extraBill() {
	extra := proto.CloneOf(s.bills[0])
	extra.Id = "b9"
	s.bills = append(s.bills, extra)
}
