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

// Bounds that the brief states.
const (
	// inForce is the time in which an accepted configuration is in force.
	inForce = 6 * time.Second
	// leaveGrace is the time in which a leaving endpoint gets no more work.
	leaveGrace = 3 * time.Second
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
}

// String returns "promise: detail".
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// check is one run of the checker.
type check struct {
	facts    Facts
	catalog  *compiler.Catalog
	byPrompt map[string]Chat
	found    []Violation
}

// Check returns the promises that the facts break.
func Check(facts Facts) ([]Violation, error) {
	catalog, err := compiler.Compile(1, facts.Declaration)
	if err != nil {
		return nil, err
	}
	c := &check{facts: facts, catalog: catalog, byPrompt: map[string]Chat{}}
	for _, chat := range facts.History.Chats() {
		c.byPrompt[chat.Prompt] = chat
	}
	c.allowedVersions()
	c.withdrawnVersions()
	c.leavingEndpoints()
	c.conversations()
	c.wholeAnswers()
	c.notRun()
	c.bookings()
	c.bills()
	c.revisions()
	slices.SortFunc(c.found, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return c.found, nil
}

func (c *check) fail(promise, format string, args ...any) {
	c.found = append(c.found, Violation{promise, fmt.Sprintf(format, args...)})
}

// eachRun calls visit for each run of an engine.
func (c *check) eachRun(visit func(endpoint string, run faker.Execution)) {
	for endpoint, runs := range c.facts.Runs.Engines {
		for _, run := range runs {
			visit(endpoint, run)
		}
	}
}

func (c *check) allowedVersions() {
	c.eachRun(func(_ string, run faker.Execution) {
		chat, known := c.byPrompt[run.Prompt]
		if !known {
			return
		}
		id, _ := compiler.ParseVersion(run.Version)
		account := c.catalog.Accounts[chat.Account]
		if account == nil || !account.Policy.Versions.Has(id) {
			c.fail("a request runs only on an allowed version", "%q of %s ran on %s", run.Prompt, chat.Account, run.Version)
		}
	})
}

func (c *check) withdrawnVersions() {
	for _, change := range c.facts.History.withdrawn {
		c.eachRun(func(endpoint string, run faker.Execution) {
			if run.Version == change.Name && run.StartedAt.Sub(change.At) > inForce {
				c.fail("a withdrawn version gets no new work", "%s ran at %s %s after its withdrawal", run.Version, endpoint, run.StartedAt.Sub(change.At))
			}
		})
	}
}

func (c *check) leavingEndpoints() {
	for _, change := range c.facts.History.leaving {
		c.eachRun(func(endpoint string, run faker.Execution) {
			if endpoint == change.Name && run.StartedAt.Sub(change.At) > leaveGrace {
				c.fail("a leaving endpoint gets no new work", "%s ran a request %s after it began to leave", endpoint, run.StartedAt.Sub(change.At))
			}
		})
	}
}

func (c *check) conversations() {
	first := map[string]string{}
	for _, chat := range c.facts.History.Chats() {
		if chat.Conversation == "" || chat.Err != nil {
			continue
		}
		name := chat.Account + "/" + chat.Conversation
		version, known := first[name]
		if !known {
			first[name] = chat.Answer.Version
			continue
		}
		if version != chat.Answer.Version && !c.mayMove(chat.Account, version) {
			c.fail("a conversation keeps its version", "%s began on %s and went on with %s", name, version, chat.Answer.Version)
		}
	}
}

// mayMove reports whether an account's conversations may leave a version.
func (c *check) mayMove(account, version string) bool {
	withdrawn := slices.ContainsFunc(c.facts.History.withdrawn, func(change Change) bool { return change.Name == version })
	return withdrawn && c.catalog.Accounts[account].Policy.Move
}

func (c *check) wholeAnswers() {
	for _, chat := range c.facts.History.Chats() {
		if chat.Err != nil {
			continue
		}
		id, _ := compiler.ParseVersion(chat.Answer.Version)
		limit := c.catalog.Versions[id].MaxOutput
		if chat.MaxTokens > 0 {
			limit = min(limit, chat.MaxTokens)
		}
		if want := faker.ExpectedResponse(chat.Answer.Version, chat.Prompt, limit); chat.Answer.Text != want {
			c.fail("a caller receives the whole answer to its own request", "%q got %d bytes that differ from its answer of %d bytes", chat.Prompt, len(chat.Answer.Text), len(want))
		}
	}
}

// saidNotRun reports whether the caller was told that its request did not run.
func saidNotRun(err error) bool {
	failure, ok := errors.Into[*caller.Error](err)
	return ok && failure.Ran == caller.RanNo
}

const promiseNotRun = "what a caller is told did not run did not run"

func (c *check) notRun() {
	ran := map[string]bool{}
	c.eachRun(func(_ string, run faker.Execution) { ran[run.Prompt] = true })
	for _, chat := range c.facts.History.Chats() {
		if saidNotRun(chat.Err) && ran[chat.Prompt] {
			c.fail(promiseNotRun, "%q was run; the caller got %v", chat.Prompt, chat.Err)
		}
	}
}

// attempts groups the attempts of one booking.
func (c *check) attempts() map[string][]Booking {
	groups := map[string][]Booking{}
	for _, booking := range c.facts.History.Bookings() {
		groups[booking.Body] = append(groups[booking.Body], booking)
	}
	return groups
}

func (c *check) bookings() {
	ran := map[string]int{}
	for _, calls := range c.facts.Runs.Services {
		for _, call := range calls {
			ran[call.Body]++
		}
	}
	for body, attempts := range c.attempts() {
		count := ran[body]
		if count > 1 {
			c.fail("a booking runs at most once", "%s ran %d times", body, count)
		}
		answered := slices.ContainsFunc(attempts, func(b Booking) bool { return b.Err == nil })
		if answered && count == 0 {
			c.fail("a booking that was confirmed ran", "%s was confirmed but did not run", body)
		}
		notRun := !slices.ContainsFunc(attempts, func(b Booking) bool { return !saidNotRun(b.Err) })
		if notRun && count > 0 {
			c.fail(promiseNotRun, "booking %s was run; every caller was told it was not", body)
		}
		c.sameAnswers(body, attempts)
	}
}

// sameAnswers checks that repeats of a key get the same answer.
func (c *check) sameAnswers(body string, attempts []Booking) {
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
			c.fail("a repeated key gets the same answer", "booking %s got %q and %q", body, first.Body, attempt.Result.Body)
		}
	}
}

const promiseBills = "each request is billed once"

func (c *check) bills() {
	fold := biller.NewStatementBuilder("", time.Time{})
	for _, bill := range c.facts.Bills {
		fold.Apply(bill)
	}
	byID := map[string]*schema.Bill{}
	for _, bill := range fold.Statement().Bills {
		byID[bill.GetId()] = bill
	}
	used := map[string]string{}
	for _, chat := range c.facts.History.Chats() {
		if chat.Err == nil {
			c.billed(byID, used, chat.Answer.Bill, chat.Answer.Cost, chat.Prompt)
		}
	}
	for body, attempts := range c.attempts() {
		for _, attempt := range attempts {
			if attempt.Err == nil {
				c.billed(byID, used, attempt.Result.Bill, attempt.Result.Cost, body)
				break
			}
		}
	}
	c.billsOfRuns(byID)
}

func (c *check) billed(byID map[string]*schema.Bill, used map[string]string, id, cost, request string) {
	if other, taken := used[id]; taken && other != request {
		c.fail(promiseBills, "%q and %q share bill %s", other, request, id)
	}
	used[id] = request
	bill := byID[id]
	if bill == nil {
		if !c.facts.Expired {
			c.fail(promiseBills, "%q was answered, but bill %s is not in the log", request, id)
		}
		return
	}
	amount, err := gateway.ParseCost(cost)
	if err != nil || pricer.Money(bill.GetAmount()) != amount {
		c.fail(promiseBills, "%q was told cost %s, bill %s says %s", request, cost, id, pricer.Money(bill.GetAmount()))
	}
}

// billsOfRuns checks that there are no more bills than complete runs.
func (c *check) billsOfRuns(byID map[string]*schema.Bill) {
	runs, bills := map[string]int{}, map[string]int{}
	c.eachRun(func(_ string, run faker.Execution) {
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
			c.fail(promiseBills, "account %s has %d bills for %d complete runs", account, count, runs[account])
		}
	}
}

func (c *check) revisions() {
	newest := map[string]uint64{}
	for _, sighting := range c.facts.History.sightings {
		if sighting.Revision < newest[sighting.Daemon] {
			c.fail("a configuration never reverts", "%s went from revision %d to %d", sighting.Daemon, newest[sighting.Daemon], sighting.Revision)
		}
		newest[sighting.Daemon] = max(newest[sighting.Daemon], sighting.Revision)
	}
}
