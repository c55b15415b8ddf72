package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/gateway"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Time limits that the specification sets.
const (
	// configurationGrace is the time within which an accepted configuration
	// must be in force on all daemons.
	configurationGrace = 6 * time.Second
	// drainGrace is the time after which a draining endpoint must receive no
	// new work.
	drainGrace = 3 * time.Second
)

// Violation is one breach of an invariant of the system.
type Violation struct {
	Invariant string
	// Detail names the request, endpoint or daemon concerned.
	Detail string
}

// String returns "invariant: detail".
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// evaluation holds the state of one call of Check.
type evaluation struct {
	input      Input
	catalog    *compiler.Catalog
	byPrompt   map[string]Chat
	violations []Violation
}

// Check returns the violations of the system's invariants that the input shows,
// sorted by text. It returns an error if the declaration does not compile.
func Check(input Input) ([]Violation, error) {
	catalog, err := compiler.Compile(1, input.Declaration)
	if err != nil {
		return nil, err
	}
	c := &evaluation{input: input, catalog: catalog, byPrompt: map[string]Chat{}}
	for _, chat := range input.History.Chats() {
		c.byPrompt[chat.Prompt] = chat
	}
	c.checkAllowedVersions()
	c.checkWithdrawnVersions()
	c.checkDrainingEndpoints()
	c.checkConversations()
	c.checkResponseTexts()
	c.checkNotRun()
	c.checkBookings()
	c.checkBills()
	c.checkRevisions()
	slices.SortFunc(c.violations, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return c.violations, nil
}

func (c *evaluation) report(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// forEachRun calls visit for each request that an engine ran.
func (c *evaluation) forEachRun(visit func(endpoint string, run faker.Execution)) {
	for endpoint, runs := range c.input.Runs.Engines {
		for _, run := range runs {
			visit(endpoint, run)
		}
	}
}

func (c *evaluation) checkAllowedVersions() {
	c.forEachRun(func(_ string, run faker.Execution) {
		chat, known := c.byPrompt[run.Prompt]
		if !known {
			return
		}
		id, _ := compiler.ParseVersion(run.Version)
		account := c.catalog.Accounts[chat.Account]
		if account == nil || !account.Policy.Versions.Has(id) {
			c.report("a request runs only on an allowed version", "%q of %s ran on %s", run.Prompt, chat.Account, run.Version)
		}
	})
}

func (c *evaluation) checkWithdrawnVersions() {
	for _, cutoff := range c.input.History.withdrawn {
		c.forEachRun(func(endpoint string, run faker.Execution) {
			if run.Version == cutoff.Name && run.StartedAt.Sub(cutoff.At) > configurationGrace {
				c.report("a withdrawn version gets no new work", "%s ran at %s %s after its withdrawal was accepted", run.Version, endpoint, run.StartedAt.Sub(cutoff.At))
			}
		})
	}
}

func (c *evaluation) checkDrainingEndpoints() {
	for _, cutoff := range c.input.History.draining {
		c.forEachRun(func(endpoint string, run faker.Execution) {
			if endpoint == cutoff.Name && run.StartedAt.Sub(cutoff.At) > drainGrace {
				c.report("a draining endpoint gets no new work", "%s ran a request %s after it began draining", endpoint, run.StartedAt.Sub(cutoff.At))
			}
		})
	}
}

func (c *evaluation) checkConversations() {
	first := map[string]string{}
	for _, chat := range c.input.History.Chats() {
		if chat.Conversation == "" || chat.Err != nil {
			continue
		}
		name := chat.Account + "/" + chat.Conversation
		version, known := first[name]
		if !known {
			first[name] = chat.Response.Version
			continue
		}
		if version != chat.Response.Version && !c.mayChangeVersion(chat.Account, version) {
			c.report("a conversation keeps its version", "%s started on %s and continued on %s", name, version, chat.Response.Version)
		}
	}
}

// mayChangeVersion reports whether an account's conversations may continue on
// another version: the version was withdrawn and the account's policy allows it.
func (c *evaluation) mayChangeVersion(account, version string) bool {
	withdrawn := slices.ContainsFunc(c.input.History.withdrawn, func(cutoff Cutoff) bool { return cutoff.Name == version })
	return withdrawn && c.catalog.Accounts[account].Policy.MoveWhenWithdrawn
}

func (c *evaluation) checkResponseTexts() {
	for _, chat := range c.input.History.Chats() {
		if chat.Err != nil {
			continue
		}
		id, _ := compiler.ParseVersion(chat.Response.Version)
		limit := c.catalog.Versions[id].MaxOutput
		if chat.MaxTokens > 0 {
			limit = min(limit, chat.MaxTokens)
		}
		if want := faker.ExpectedResponse(chat.Response.Version, chat.Prompt, limit); chat.Response.Text != want {
			c.report("a client receives the complete response to its own request", "%q got %d bytes that differ from the expected response of %d bytes", chat.Prompt, len(chat.Response.Text), len(want))
		}
	}
}

// reportedNotRun reports whether the error told the client that its request did
// not run.
func reportedNotRun(err error) bool {
	failure, ok := errors.Into[*caller.Error](err)
	return ok && failure.Ran == caller.RanNo
}

const invariantNotRun = "a request that was reported as not run did not run"

func (c *evaluation) checkNotRun() {
	ran := map[string]bool{}
	c.forEachRun(func(_ string, run faker.Execution) { ran[run.Prompt] = true })
	for _, chat := range c.input.History.Chats() {
		if reportedNotRun(chat.Err) && ran[chat.Prompt] {
			c.report(invariantNotRun, "%q was run, but the client got %v", chat.Prompt, chat.Err)
		}
	}
}

// attemptsByBody groups the booking attempts by body, which is unique to each
// booking.
func (c *evaluation) attemptsByBody() map[string][]BookingAttempt {
	groups := map[string][]BookingAttempt{}
	for _, booking := range c.input.History.BookingAttempts() {
		groups[booking.Body] = append(groups[booking.Body], booking)
	}
	return groups
}

func (c *evaluation) checkBookings() {
	ran := map[string]int{}
	for _, calls := range c.input.Runs.Services {
		for _, call := range calls {
			ran[call.Body]++
		}
	}
	for body, attempts := range c.attemptsByBody() {
		count := ran[body]
		if count > 1 {
			c.report("a booking runs at most once", "%s ran %d times", body, count)
		}
		succeeded := slices.ContainsFunc(attempts, func(b BookingAttempt) bool { return b.Err == nil })
		if succeeded && count == 0 {
			c.report("a booking that was confirmed ran", "%s was confirmed but did not run", body)
		}
		allNotRun := !slices.ContainsFunc(attempts, func(b BookingAttempt) bool { return !reportedNotRun(b.Err) })
		if allNotRun && count > 0 {
			c.report(invariantNotRun, "booking %s was run, but every attempt was reported as not run", body)
		}
		c.checkSameResponses(body, attempts)
	}
}

// checkSameResponses checks that all successful attempts of one booking got the
// same response and bill.
func (c *evaluation) checkSameResponses(body string, attempts []BookingAttempt) {
	var first *caller.Result
	for _, attempt := range attempts {
		if attempt.Err != nil {
			continue
		}
		if first == nil {
			first = attempt.Result
			continue
		}
		if string(first.Body) != string(attempt.Result.Body) || first.Bill != attempt.Result.Bill {
			c.report("retries with the same key get the same response", "booking %s got %q and %q", body, first.Body, attempt.Result.Body)
		}
	}
}

const invariantBilledOnce = "each request is billed once"

func (c *evaluation) checkBills() {
	builder := biller.NewStatementBuilder("", time.Time{})
	for _, bill := range c.input.Bills {
		builder.Apply(bill)
	}
	byID := map[string]*schema.Bill{}
	for _, bill := range builder.Statement().Bills {
		byID[bill.GetId()] = bill
	}
	requestByBill := map[string]string{}
	for _, chat := range c.input.History.Chats() {
		if chat.Err == nil {
			c.checkBill(byID, requestByBill, chat.Response.Bill, chat.Response.Cost, chat.Prompt)
		}
	}
	for body, attempts := range c.attemptsByBody() {
		for _, attempt := range attempts {
			if attempt.Err == nil {
				c.checkBill(byID, requestByBill, attempt.Result.Bill, attempt.Result.Cost, body)
				break
			}
		}
	}
	c.checkBillCount(byID)
}

func (c *evaluation) checkBill(byID map[string]*schema.Bill, requestByBill map[string]string, id, cost, request string) {
	if other, taken := requestByBill[id]; taken && other != request {
		c.report(invariantBilledOnce, "%q and %q share bill %s", other, request, id)
	}
	requestByBill[id] = request
	bill := byID[id]
	if bill == nil {
		if !c.input.BillsExpired {
			c.report(invariantBilledOnce, "%q got a response, but bill %s is not in the log", request, id)
		}
		return
	}
	amount, err := gateway.ParseCost(cost)
	if err != nil || pricer.Money(bill.GetAmount()) != amount {
		c.report(invariantBilledOnce, "%q was reported at cost %s, but bill %s has amount %s", request, cost, id, pricer.Money(bill.GetAmount()))
	}
}

// checkBillCount checks that no account has more chat bills than complete runs.
func (c *evaluation) checkBillCount(byID map[string]*schema.Bill) {
	runs, bills := map[string]int{}, map[string]int{}
	c.forEachRun(func(_ string, run faker.Execution) {
		if chat, known := c.byPrompt[run.Prompt]; known && run.Complete {
			runs[chat.Account]++
		}
	})
	for _, bill := range byID {
		if bill.GetService() == "chat" {
			bills[bill.GetAccount()]++
		}
	}
	for account, count := range bills {
		if count > runs[account] {
			c.report(invariantBilledOnce, "account %s has %d bills for %d complete runs", account, count, runs[account])
		}
	}
}

func (c *evaluation) checkRevisions() {
	newest := map[string]uint64{}
	for _, observation := range c.input.History.observations {
		if observation.Revision < newest[observation.Daemon] {
			c.report("a configuration never reverts", "%s went from revision %d to %d", observation.Daemon, newest[observation.Daemon], observation.Revision)
		}
		newest[observation.Daemon] = max(newest[observation.Daemon], observation.Revision)
	}
}
