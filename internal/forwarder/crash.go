package forwarder

import (
	"context"
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

// checkParts returns an error if the request must not be sent to an endpoint because a
// part of its prompt crashes endpoints.
func (c *call) checkParts() *classifier.Error {
	parts := c.sharedParts()
	if len(parts) == 0 {
		return nil
	}
	retryAfter, blocked := c.ControlPlane.CheckParts(parts)
	if !blocked {
		return nil
	}
	return classifier.New(classifier.PromptQuarantined, "requests with a part of the prompt crash endpoints").WithRetryAfter(retryAfter)
}

// checkCrash finds out whether an endpoint that closed the connection before the response
// had more than begun has crashed, and records it. An endpoint that crashed refuses
// connections. Begun says whether the response had begun at all.
func (c *call) checkCrash(ctx context.Context, choice *tracker.Choice, begun bool) {
	parts := c.sharedParts()
	if len(parts) == 0 || ctx.Err() != nil || !c.Exchanger.Refuses(ctx, choice.Address) {
		return
	}
	c.Counters.Crashes.Inc()
	if !c.ControlPlane.EndpointCrashed(choice.Registration, parts, begun) {
		c.mayCrash = true
	}
	c.log("endpoint crashed while it had the request", c.brokenFields(choice, "begun", begun, "repeatable", !c.mayCrash)...)
}

// recordServed records that the response, which began at the time, has more than begun.
func (c *call) recordServed(began time.Time) {
	if parts := c.sharedParts(); len(parts) > 0 {
		c.ControlPlane.PartsServed(parts, began)
	}
}
