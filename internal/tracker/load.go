package tracker

import "time"

const (
	// lengthSmoothing is the weight of the newest request in the mean length.
	lengthSmoothing = 0.05
	// initialLength is the length of a request that is assumed at first.
	initialLength = 300 * time.Millisecond
	// busyShare is the share of its slots from which an endpoint is worth telling
	// others about: below it nobody waits.
	busyShare = 0.5
)

// Load is how many requests an endpoint runs and queues.
type Load struct {
	ID       string
	Requests int
	// Age is the time since the endpoint said so.
	Age time.Duration
}

// hear takes the load that an endpoint had at a time.
func (s *state) hear(requests int, at time.Time) {
	s.others = max(0, requests-s.inflight)
	s.reported = at
}

// noteLength takes the time that a request spent at an endpoint.
func (t *Tracker) noteLength(service string, length time.Duration) {
	known := t.lengthOf(service)
	t.lengths[service] = known + time.Duration(lengthSmoothing*float64(length-known))
}

// lengthOf returns the usual time of a service's requests.
func (t *Tracker) lengthOf(service string) time.Duration {
	if known, ok := t.lengths[service]; ok {
		return known
	}
	return initialLength
}

// slotWait is the expected time until the endpoint has a slot for one more
// request: with as many slots as requests one is free after the length of a
// request, shared by the slots.
func (t *Tracker) slotWait(known *state, load int) time.Duration {
	ahead := load + 1 - known.Slots
	if ahead <= 0 || known.Slots == 0 {
		return 0
	}
	return time.Duration(float64(t.lengthOf(known.Service)) * float64(ahead) / float64(known.Slots))
}

// Seen returns the loads that answers to this daemon have carried lately.
func (t *Tracker) DirectLoads() []Load {
	return t.loads(func(known *state, now time.Time) bool { return now.Sub(known.seen) < reportLife })
}

// Busy returns the loads of busy endpoints, by this daemon's answers or by hearsay.
func (t *Tracker) BusyLoads() []Load {
	return t.loads(func(known *state, now time.Time) bool {
		load := known.others + known.inflight
		return now.Sub(known.reported) < reportLife && float64(load) >= busyShare*float64(known.Slots)
	})
}

func (t *Tracker) loads(tells func(*state, time.Time) bool) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var loads []Load
	for _, known := range t.endpoints {
		if tells(known, now) {
			loads = append(loads, Load{ID: known.ID, Requests: known.others + known.inflight, Age: now.Sub(known.reported)})
		}
	}
	return loads
}

// Hear takes loads that other daemons have seen. Older ones than what is known do
// not count.
func (t *Tracker) MergeLoads(loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, load := range loads {
		known := t.endpoints[load.ID]
		if known == nil {
			continue
		}
		if at := now.Add(-load.Age); at.After(known.reported) {
			known.hear(load.Requests, at)
		}
	}
}
