package tracker

import (
	"net/netip"
	"time"
)

const (
	// callerMemory is the number of results that are remembered of each caller and service.
	callerMemory = 16
	// minOtherVersionResults is the number of the caller's results on other versions that must be known
	// before a failure is put down to the caller and not to the version.
	minOtherVersionResults = 3
	// minOtherSuccesses is the number of successes of other callers, each within the last
	// otherSuccessTime, that clear an endpoint at which all requests of one caller were.
	minOtherSuccesses = 2
	otherSuccessTime  = 5 * time.Second
	// maxCallers bounds the callers that are remembered.
	maxCallers = 1024
)

// callerKey names the requests of one caller for a service.
type callerKey struct{ service, caller string }

// callerResult is the result of a request of a caller.
type callerResult struct {
	// endpoint, address and started name the incarnation of the endpoint.
	endpoint string
	address  netip.AddrPort
	started  time.Time
	version  string
	failed   bool
	at       time.Time
}

// callerHistory holds the latest results of a caller's requests for a service. A request that fails
// wherever it is sent says nothing against an endpoint.
type callerHistory struct {
	results [callerMemory]callerResult
	// count is the number of results so far; those before the last callerMemory are overwritten.
	count int
}

// add adds a result.
func (h *callerHistory) add(result callerResult) {
	h.results[h.count%callerMemory] = result
	h.count++
}

// countResults returns the number of remembered results that are included, and that of failures among them.
func (h *callerHistory) countResults(include func(result callerResult) bool) (failed, total int) {
	for _, result := range h.results[:min(h.count, callerMemory)] {
		if !include(result) {
			continue
		}
		total++
		if result.failed {
			failed++
		}
	}
	return failed, total
}

// callerHistory returns the results of the choice's caller.
func (t *Tracker) callerHistory(c *Choice) *callerHistory {
	key := callerKey{c.query.Service, c.query.Caller}
	history := t.callers[key]
	if history == nil {
		if len(t.callers) >= maxCallers {
			clear(t.callers)
		}
		history = &callerHistory{}
		t.callers[key] = history
	}
	return history
}

// recordCaller remembers the result of a request of its caller.
func (t *Tracker) recordCaller(c *Choice, failed bool, now time.Time) {
	t.callerHistory(c).add(callerResult{endpoint: c.ID, address: c.Address, started: c.Started, version: c.Version, failed: failed, at: now})
}

// failureWeight returns the weight of a failure as evidence against its endpoint, from 0 to 1. It is the
// lower, the more of the caller's requests fail at other endpoints as well.
func (t *Tracker) failureWeight(c *Choice, now time.Time) float64 {
	failed, total := t.callerHistory(c).countResults(func(result callerResult) bool { return result.endpoint != c.ID && t.isCurrentResult(result) })
	switch {
	case total > 0:
		// Half a failure more, because a few successes elsewhere may be chance.
		return 1 - (float64(failed)+0.5)/float64(total+1)
	case t.servesOthers(c, now):
		return 0
	default:
		return 1
	}
}

// servesOthers reports whether all requests of other callers that were lately at the choice's endpoint
// succeeded.
func (t *Tracker) servesOthers(c *Choice, now time.Time) bool {
	failed, total := 0, 0
	for key, history := range t.callers {
		if key.service != c.query.Service || key.caller == c.query.Caller {
			continue
		}
		otherFailed, other := history.countResults(func(result callerResult) bool {
			return result.endpoint == c.ID && now.Sub(result.at) < otherSuccessTime && t.isCurrentResult(result)
		})
		failed += otherFailed
		total += other
	}
	return failed == 0 && total >= minOtherSuccesses
}

// isCurrentResult reports whether a result is of an endpoint that is still registered with the same
// incarnation and address. Endpoints that are gone may have failed because of that.
func (t *Tracker) isCurrentResult(result callerResult) bool {
	return t.isCurrent(Registration{ID: result.endpoint, Address: result.address, Started: result.started})
}

// FailsOnOtherVersions reports whether at least half of the caller's latest requests to other versions
// of the service failed, so that a failure says nothing about this version.
func (c *Choice) FailsOnOtherVersions() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	history := c.tracker.callerHistory(c)
	failed, total := history.countResults(func(result callerResult) bool {
		return result.version != c.Version && c.tracker.isCurrentResult(result)
	})
	return total >= minOtherVersionResults && 2*failed >= total
}
