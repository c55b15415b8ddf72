package tracker

import (
	"math"
	"time"
)

const (
	// initialSpeed is the assumed time to read a token, in milliseconds.
	initialSpeed = 0.01
	// fasterSmoothing and slowerSmoothing are the weights of an answer that was
	// faster or slower than expected: waiting makes answers slow, so the time to
	// read a token is near the low end of what is seen.
	fasterSmoothing = 0.1
	slowerSmoothing = 0.01
	// minRead is the least number of tokens of a prompt that tells the speed.
	minRead = 300
	// delayHalfLife is the time in which a delay that was seen counts half.
	delayHalfLife = 250 * time.Millisecond
)

// readTime is the time to read tokens of a prompt for a model.
func (t *Tracker) readTime(model string, tokens int) time.Duration {
	speed, known := t.speeds[model]
	if !known {
		speed = initialSpeed
	}
	return time.Duration(speed * float64(max(0, tokens)) * float64(time.Millisecond))
}

// learn takes the time in which an answer began.
func (t *Tracker) learn(query Query, took time.Duration) {
	tokens := query.PromptTokens - query.SharedTokens
	if tokens < minRead {
		return
	}
	speed, known := t.speeds[query.Model]
	if !known {
		speed = initialSpeed
	}
	seen := float64(took) / float64(time.Millisecond) / float64(tokens)
	smoothing := slowerSmoothing
	if seen < speed {
		smoothing = fasterSmoothing
	}
	t.speeds[query.Model] = speed + smoothing*(seen-speed)
}

const (
	// delayMemory is the time in which the mean delay forgets; it does not depend on
	// how many answers this daemon sees. maxDelayWeight bounds what one answer says.
	delayMemory    = 600 * time.Millisecond
	maxDelayWeight = 0.25
)

// noteDelay takes by how much an answer began later than its prompt explains.
func (t *Tracker) noteDelay(delay time.Duration, now time.Time) {
	since := now.Sub(t.meanDelayed)
	t.meanDelayed = now
	weight := min(maxDelayWeight, 1-math.Exp(-float64(since)/float64(delayMemory)))
	t.meanDelay += time.Duration(weight * float64(delay-t.meanDelay))
}

// Expect returns the time after which an answer to the query would begin at the
// best endpoint, and the mean delay of answers beyond what their prompts
// explain.
func (t *Tracker) EstimateTTFT(query Query) (first, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	best := time.Duration(math.MaxInt64)
	for _, view := range t.views(t.fitting(query, now), query, now) {
		if !view.Ejected {
			best = min(best, view.Backlog+view.UncachedPrefill)
		}
	}
	return min(best, time.Hour) + t.readTime(query.Model, query.PromptTokens-query.SharedTokens), t.meanDelay
}

// delayAt is the delay that is still expected at the endpoint.
func (s *state) delayAt(now time.Time) time.Duration {
	age := now.Sub(s.delayed)
	if s.delay <= 0 || age > 8*delayHalfLife {
		return 0
	}
	return time.Duration(float64(s.delay) * math.Exp2(-float64(age)/float64(delayHalfLife)))
}
