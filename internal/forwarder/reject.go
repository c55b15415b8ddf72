package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/noter"
)

// reject answers a request with an error of the router's own. A kind that says
// "not run" becomes one that says nothing if an endpoint may have run it.
func (c *call) reject(problem *classifier.Error) {
	if c.runs > 0 && problem.Answer().Ran == classifier.RanNo {
		problem = classifier.Wrap(classifier.EndpointFailed, problem, "an endpoint may have run the request")
	}
	c.Counters.count("rejected", problem.Kind)
	c.log("request rejected", "kind", problem.Kind, "error", problem.Error(), "status", problem.Answer().Status,
		"runs", c.runs, "sends", len(c.tried))
	if problem.Kind == classifier.CallerGone {
		panic(http.ErrAbortHandler)
	}
	answer := problem.Answer()
	header := c.writer.Header()
	for name, values := range c.Codec.Owned(c.ID) {
		header[name] = values
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if answer.Ran == classifier.RanNo && answer.Retry {
		header.Set("Retry-After", retryAfter(problem.RetryAfter))
	}
	c.writer.WriteHeader(answer.Status)
	_, _ = c.writer.Write([]byte(string(problem.Kind) + ": " + problem.Message + "; " + answer.Help + "\n"))
}

// retrySpread spreads returning clients over half as long again.
const retrySpread = 0.5

// retryAfter formats a pause in seconds, spread at random so that clients do
// not return together.
func retryAfter(pause time.Duration) string {
	if pause <= 0 {
		pause = notReadyPause
	}
	seconds := pause.Seconds() * (1 + retrySpread*rand.Float64())
	return strconv.FormatFloat(seconds, 'f', 3, 64)
}

// log writes one line about the request.
func (c *call) log(message string, args ...any) {
	if !c.Logger.IsInfo() {
		return
	}
	fields := []any{"request", c.ID, "session", c.Session, "age", noter.FormatDuration(time.Since(c.arrived)), "view_age", noter.FormatDuration(c.view.Age)}
	if c.view.Table != nil {
		fields = append(fields, "revision", c.view.Table.Revision)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "service", c.route.Service)
	}
	if c.account != nil {
		fields = append(fields, "account", c.account.Name)
	}
	c.Logger.Info(message, append(fields, args...)...)
}
