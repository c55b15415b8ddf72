package forwarder

import (
	"context"
	"net/http"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// maxCrashEvents is the number of events up to which a response has no more than begun. A
// request whose response got further has not crashed its endpoint.
const maxCrashEvents = 1

// sharedParts returns the parts of the prompt that the request may share with others,
// which are all but the last one.
func (c *call) sharedParts() []PromptPart {
	return c.PromptParts[:max(0, len(c.PromptParts)-1)]
}

// content returns what the request may crash endpoints with.
func (c *call) content() Content {
	return Content{Parts: c.sharedParts(), Digest: c.contentDigest}
}

// checkContent returns an error if the request must not be sent to an endpoint because it, or a
// part of its prompt, crashes endpoints.
func (c *call) checkContent() *classifier.Error {
	verdict := c.ControlPlane.CheckContent(c.content())
	c.suspected, c.onTrial = verdict.Suspected, verdict.Trial
	switch {
	case !verdict.Blocked:
		return nil
	case verdict.Whole:
		return c.quarantined(verdict.RetryAfter)
	default:
		return classifier.New(classifier.PromptQuarantined, "requests with a part of the prompt crash endpoints").WithRetryAfter(verdict.RetryAfter)
	}
}

// quarantined returns the error for a request that crashes endpoints.
func (c *call) quarantined(retryAfter time.Duration) *classifier.Error {
	return classifier.New(classifier.RequestQuarantined, "the request, of digest %s, crashes endpoints", formatDigest(c.contentDigest())).WithRetryAfter(retryAfter)
}

// beginTrial returns an error if the request, for which an endpoint has been chosen, may be sent as a
// trial only and another one has been since.
func (c *call) beginTrial(choice *tracker.Choice) *classifier.Error {
	if !c.onTrial || c.ControlPlane.BeginTrial(c.content()) {
		return nil
	}
	choice.End(tracker.Neutral, 0)
	return c.quarantined(notReadyRetryAfter)
}

// checkCrash finds out whether an endpoint that closed the connection before the response
// had more than begun has crashed, and records it. An endpoint that crashed refuses
// connections. Begun says whether the response had begun at all.
func (c *call) checkCrash(ctx context.Context, choice *tracker.Choice, begun bool) {
	if ctx.Err() != nil || !c.Exchanger.Refuses(ctx, choice.Address) {
		return
	}
	c.Counters.Crashes.Inc()
	if !c.ControlPlane.EndpointCrashed(choice.Registration, c.content(), begun) {
		c.mayCrash = true
	}
	c.log("endpoint crashed while it had the request", c.brokenFields(choice, "begun", begun, "repeatable", !c.mayCrash)...)
}

// recordServed records that the response, which began at the time, has more than begun.
func (c *call) recordServed(began time.Time) {
	c.ControlPlane.ContentServed(c.content(), began, false)
}

// recordWhole records a whole response with a status.
func (c *call) recordWhole(status int) {
	if status < http.StatusInternalServerError {
		c.ControlPlane.ContentServed(c.content(), time.Now(), status >= http.StatusMultipleChoices)
	}
}
