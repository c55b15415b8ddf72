package tracker

import (
	"math"
	"time"
)

const (
	// initialPrefillMsPerToken is the prefill time per token, in milliseconds,
	// that is assumed for a model before the first measurement.
	initialPrefillMsPerToken = 0.01
	// fasterSmoothing and slowerSmoothing are the weights of a response that was
	// faster or slower than expected. Queueing delays responses, so the prefill
	// time per token is near the low end of the measurements.
	fasterSmoothing = 0.1
	slowerSmoothing = 0.01
	// minPrefillTokens is the least number of tokens outside the shared prefix
	// from which the prefill time per token is measured.
	minPrefillTokens = 300
	// queueDelayHalfLife is the time in which the weight of a measured queue delay
	// halves.
	queueDelayHalfLife = 250 * time.Millisecond
)

// prefillTime returns the expected time to prefill a number of tokens for a
// model.
func (t *Tracker) prefillTime(model string, tokens int) time.Duration {
	msPerToken, found := t.prefillMsPerToken[model]
	if !found {
		msPerToken = initialPrefillMsPerToken
	}
	return time.Duration(msPerToken * float64(max(0, tokens)) * float64(time.Millisecond))
}

// updatePrefillPace adjusts the model's prefill time per token by the time that
// elapsed until a response began.
func (t *Tracker) updatePrefillPace(query Query, elapsed time.Duration) {
	tokens := query.PromptTokens - query.SharedTokens
	if tokens < minPrefillTokens {
		return
	}
	msPerToken, found := t.prefillMsPerToken[query.Model]
	if !found {
		msPerToken = initialPrefillMsPerToken
	}
	measured := float64(elapsed) / float64(time.Millisecond) / float64(tokens)
	smoothing := slowerSmoothing
	if measured < msPerToken {
		smoothing = fasterSmoothing
	}
	t.prefillMsPerToken[query.Model] = msPerToken + smoothing*(measured-msPerToken)
}

const (
	// queueDelayTimeConstant is the time constant of the mean queue delay. Old
	// measurements decay with time rather than with the number of responses, so
	// that the mean does not depend on how many responses this daemon gets.
	// maxQueueDelayWeight bounds the weight of a single response.
	queueDelayTimeConstant = 600 * time.Millisecond
	maxQueueDelayWeight    = 0.25
)

// recordQueueDelay adds the queue delay of a response to the mean. The queue
// delay is the time to first token beyond the expected prefill time.
func (t *Tracker) recordQueueDelay(queueDelay time.Duration, now time.Time) {
	sinceLast := now.Sub(t.meanQueueDelayAt)
	t.meanQueueDelayAt = now
	weight := min(maxQueueDelayWeight, 1-math.Exp(-float64(sinceLast)/float64(queueDelayTimeConstant)))
	t.meanQueueDelay += time.Duration(weight * float64(queueDelay-t.meanQueueDelay))
}

// EstimateTTFT returns the expected time to first token for the query at the best
// endpoint, and the mean queue delay of recent responses. The part of the time
// before the prefill of the tokens outside the shared prefix is capped at an hour,
// which is also assumed when no endpoint is available.
func (t *Tracker) EstimateTTFT(query Query) (ttft, queueDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	best := time.Duration(math.MaxInt64)
	endpoints := t.eligible(query, now)
	for i, candidate := range t.candidates(endpoints, query, now) {
		switch {
		case candidate.Ejected:
		case t.forecasts(query.Service):
			best = min(best, t.engine(endpoints[i], now).First(t.work(query, candidate.UncachedPrefill)))
		default:
			best = min(best, candidate.Backlog+candidate.UncachedPrefill)
		}
	}
	if t.forecasts(query.Service) {
		return min(best, time.Hour), t.meanQueueDelay
	}
	return min(best, time.Hour) + t.prefillTime(query.Model, query.PromptTokens-query.SharedTokens), t.meanQueueDelay
}

// remainingQueueDelay returns the last measured queue delay of the endpoint,
// decayed by its age.
func (s *endpointState) remainingQueueDelay(now time.Time) time.Duration {
	age := now.Sub(s.queueDelayAt)
	if s.queueDelay <= 0 || age > 8*queueDelayHalfLife {
		return 0
	}
	return time.Duration(float64(s.queueDelay) * math.Exp2(-float64(age)/float64(queueDelayHalfLife)))
}
