package admitter

import "math"

// shareMemory is the number of arrivals after which older ones count half.
const shareMemory = 64

// shares counts by class, such as a priority, how many requests arrive and how many of them are
// started.
type shares[C comparable] struct {
	// minRatio is the least share of the requests of each class that is started, in relation
	// to that of all requests; 0 means no bound.
	minRatio float64
	total    serviceCount
	byClass  map[C]*serviceCount
}

// serviceCount is a number of requests that arrived and of those that were started. Both decay.
type serviceCount struct {
	arrived float64
	started float64
}

func newShares[C comparable](minRatio float64) *shares[C] {
	return &shares[C]{minRatio: minRatio, byClass: map[C]*serviceCount{}}
}

// arrive counts a request that arrived.
func (s *shares[C]) arrive(class C) {
	if s.minRatio <= 0 {
		return
	}
	if s.total.arrived >= shareMemory {
		s.decay()
	}
	count := s.byClass[class]
	if count == nil {
		count = &serviceCount{}
		s.byClass[class] = count
	}
	count.arrived++
	s.total.arrived++
}

// decay halves all counts, and drops the classes that are hardly used.
func (s *shares[C]) decay() {
	s.total = serviceCount{}
	for class, count := range s.byClass {
		count.arrived /= 2
		count.started /= 2
		if count.arrived < 0.5 {
			delete(s.byClass, class)
			continue
		}
		s.total.arrived += count.arrived
		s.total.started += count.started
	}
}

// start counts a request that was started.
func (s *shares[C]) start(class C) {
	s.total.started++
	if count := s.byClass[class]; count != nil {
		count.started++
	}
}

// due reports whether the class has got less than its least share.
func (s *shares[C]) due(class C) bool {
	count := s.byClass[class]
	if count == nil || s.total.arrived == 0 {
		return false
	}
	return count.started < s.minRatio*s.total.started/s.total.arrived*count.arrived
}

// startsUntil returns the number of starts, of any requests, after which a request is expected to
// start. It has a priority and a number of requests ahead of it, aheadOfPriority of them of its own
// priority. More urgent ones that arrive in the meantime overtake it, up to its least share.
func startsUntil(s *shares[int], priority int, ahead float64, aheadOfPriority int) float64 {
	count := s.byClass[priority]
	if count == nil {
		return ahead + 1
	}
	expected := math.Inf(1)
	if rate := overtakingRate(s, priority); rate < 1 {
		expected = (ahead + 1) / (1 - rate)
	}
	leastShare := s.minRatio * count.arrived / s.total.arrived
	return min(expected, float64(aheadOfPriority+1)/leastShare)
}

// overtakingRate returns the number of more urgent requests that arrive for each request started.
func overtakingRate(s *shares[int], priority int) float64 {
	arrived := 0.
	for other, count := range s.byClass {
		if other > priority {
			arrived += count.arrived
		}
	}
	return arrived / max(1, s.total.started)
}
