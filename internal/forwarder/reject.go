package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/noter"
)

// reject responds to a request with an error of the router. If an endpoint may
// have run the request, an error kind that guarantees that it was not executed is
// replaced by EndpointFailed, which does not guarantee it.
func (c *call) reject(problem *classifier.Error) {
	if c.possibleRuns > 0 && problem.Response().Execution == classifier.NotExecuted {
		problem = classifier.Wrap(classifier.EndpointFailed, problem, "an endpoint may have run the request")
	}
	c.Counters.countByKind("rejected", problem.Kind)
	c.log("request rejected", "kind", problem.Kind, "error", problem.Error(), "status", problem.Response().Status,
		"runs", c.possibleRuns, "sends", len(c.tried))
	if problem.Kind == classifier.ClientDisconnected {
		panic(http.ErrAbortHandler)
	}
	response := problem.Response()
	header := c.writer.Header()
	for name, values := range c.Codec.LocalHeader(c.ID) {
		header[name] = values
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if response.Execution == classifier.NotExecuted && response.Retryable {
		header.Set("Retry-After", retryAfter(problem.RetryAfter))
	}
	c.writer.WriteHeader(response.Status)
	_, _ = c.writer.Write([]byte(string(problem.Kind) + ": " + problem.Message + "; " + response.Help + "\n"))
}

// retryAfterJitter is the largest random extension of a Retry-After delay, as a
// share of the delay.
const retryAfterJitter = 0.5

// retryAfter formats a delay in seconds. It adds random jitter so that clients do
// not retry at the same time.
func retryAfter(delay time.Duration) string {
	if delay <= 0 {
		delay = notReadyRetryAfter
	}
	seconds := delay.Seconds() * (1 + retryAfterJitter*rand.Float64())
	return strconv.FormatFloat(seconds, 'f', 3, 64)
}

// log writes one log line with the fields of the request.
func (c *call) log(message string, args ...any) {
	if !c.Logger.IsInfo() {
		return
	}
	fields := []any{"request", c.ID, "session", c.Session, "age", noter.Brief(time.Since(c.arrived)), "view_age", noter.Brief(c.view.Age)}
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
