package tracker

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/forecaster"
)

const (
	// eventTimeSmoothing is the weight of the newest response in the mean time between
	// events.
	eventTimeSmoothing = 0.05
	// initialEventTime is assumed before the first response of a service has ended.
	initialEventTime = 10 * time.Millisecond
)

// forecasts reports whether the endpoints of a service say how fast their hosts are, so that
// the time of a request is forecast for each of them.
func (t *Tracker) forecasts(service string) bool { return t.slowdownReported[service] }

// engine returns the state of an endpoint in the form that the forecaster needs.
func (t *Tracker) engine(endpoint *endpointState, now time.Time) forecaster.Engine {
	return forecaster.Engine{
		Load:       endpoint.expectedLoad(now),
		Slowdown:   endpoint.slowdown.expected(now),
		Backlog:    max(endpoint.pendingPrefill, endpoint.remainingQueueDelay(now)),
		PerRequest: t.meanDuration(endpoint.Service) / time.Duration(max(1, endpoint.Slots)),
	}
}

// work returns what a query asks of an engine that has not cached some of the prompt.
func (t *Tracker) work(query Query, uncachedPrefill time.Duration) forecaster.Work {
	return forecaster.Work{
		Prefill:  uncachedPrefill + t.prefillTime(query.Model, query.PromptTokens-query.SharedTokens),
		Events:   query.Events,
		PerEvent: t.eventTime(query.Service),
	}
}

// eventTime returns the mean time between two events of a response of the service, on a usual
// host without other requests.
func (t *Tracker) eventTime(service string) time.Duration {
	if mean, ok := t.eventTimes[service]; ok {
		return mean
	}
	return initialEventTime
}

// recordEventTime adds the time between the events of a response to the mean of the service.
func (t *Tracker) recordEventTime(c *Choice, pace time.Duration) {
	if pace <= 0 || !t.forecasts(c.Service) {
		return
	}
	alone := time.Duration(float64(pace) / c.Slowdown / float64(1+c.Load))
	mean := t.eventTime(c.Service)
	t.eventTimes[c.Service] = mean + time.Duration(eventTimeSmoothing*float64(alone-mean))
}
