package forwarder

import (
	"slices"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// maxNotServed is the number of endpoints that may refuse a request because of what it asks for before
// it is rejected. A single one may lack what the others serve.
const maxNotServed = 2

// misdirection is why an endpoint refused a request as misdirected.
type misdirection int

const (
	// misdirectionNone means that the response is no such refusal.
	misdirectionNone misdirection = iota
	// misdirectionAddress means that another endpoint has the address.
	misdirectionAddress
	// misdirectionModel means that the endpoint may not serve the model that the request names. That
	// is no evidence against the endpoint.
	misdirectionModel
)

// misdirection returns why the chosen endpoint refused the request. A response that does not say who
// responded proves that another endpoint has the address only if the request itself is no reason.
func (c *call) misdirection(choice *tracker.Choice, info ResponseInfo) misdirection {
	switch {
	case !info.Misdirected:
		return misdirectionNone
	case info.Responder == choice.ID:
		return misdirectionModel
	case info.Responder == "" && c.mayNameUnservedModel():
		return misdirectionModel
	default:
		return misdirectionAddress
	}
}

// mayNameUnservedModel reports whether the client has chosen the model, or has named none where the
// route has some, and it is not a model of the route.
func (c *call) mayNameUnservedModel() bool {
	if c.model() != "" || slices.Contains(c.route.Models, c.Model) {
		return false
	}
	return c.Model != "" || c.AnyModel || len(c.route.Models) > 0
}

// requiredModel returns the model that the request runs on, which the router or the client has
// chosen, or an empty string if that is left to the endpoint.
func (c *call) requiredModel() string {
	if model := c.model(); model != "" {
		return model
	}
	return c.Model
}

// checkModel rejects a request for a model that no endpoint serves on its route.
func (c *call) checkModel() *classifier.Error {
	if c.Model == "" || slices.Contains(c.route.Models, c.Model) {
		return nil
	}
	if len(c.route.Models) == 0 && !c.Tracker.LacksModel(c.route.Service, c.Model) {
		return nil
	}
	return c.ifFresh(classifier.New(classifier.ModelNotServed, "no endpoint of route %q serves the model %q", c.route.Name, c.Model))
}

// countNotServed counts a refusal that the request itself has caused. It returns an error once so many
// endpoints have refused the request that the others would too.
func (c *call) countNotServed(reason misdirection) *classifier.Error {
	if reason != misdirectionModel || c.model() != "" {
		return nil
	}
	if c.notServed++; c.notServed < maxNotServed {
		return nil
	}
	return classifier.New(classifier.ModelNotServed, "endpoints of route %q refuse the request for the model %q", c.route.Name, c.Model)
}
