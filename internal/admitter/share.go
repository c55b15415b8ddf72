package admitter

import "math"

// shareMemory is the number of arrivals after which older ones count half.
const shareMemory = 64

// shares counts by priority how many requests arrive and how many of them are started.
type shares struct {
	// minRatio is the least share of the requests of each priority that is started, in
	// relation to that of all requests; 0 means no bound.
	minRatio   float64
	total      serviceCount
	byPriority map[int]*serviceCount
}

// serviceCount is a number of requests that arrived and of those that were started. Both decay.
type serviceCount struct {
	arrived float64
	started float64
}

func newShares(minRatio float64) *shares {
	return &shares{minRatio: minRatio, byPriority: map[int]*serviceCount{}}
}

// arrive counts a request that arrived.
func (s *shares) arrive(priority int) {
	if s.minRatio <= 0 {
		return
	}
	if s.total.arrived >= shareMemory {
		s.decay()
	}
	count := s.byPriority[priority]
	if count == nil {
		count = &serviceCount{}
		s.byPriority[priority] = count
	}
	count.arrived++
	s.total.arrived++
}

// decay halves all counts, and drops the priorities that are hardly used.
func (s *shares) decay() {
	s.total = serviceCount{}
	for priority, count := range s.byPriority {
		count.arrived /= 2
		count.started /= 2
		if count.arrived < 0.5 {
			delete(s.byPriority, priority)
			continue
		}
		s.total.arrived += count.arrived
		s.total.started += count.started
	}
}

// start counts a request that was started.
func (s *shares) start(priority int) {
	s.total.started++
	if count := s.byPriority[priority]; count != nil {
		count.started++
	}
}

// due reports whether the priority has got less than its least share.
func (s *shares) due(priority int) bool {
	count := s.byPriority[priority]
	if count == nil || s.total.arrived == 0 {
		return false
	}
	return count.started < s.minRatio*s.total.started/s.total.arrived*count.arrived
}

// startsUntil returns after how many starts of any request one of a priority is expected to start
// that has a number of others ahead of it, some of them of its own priority. More urgent ones
// that arrive in the meantime overtake it, up to its least share.
func (s *shares) startsUntil(priority int, ahead float64, aheadOfPriority int) float64 {
	count := s.byPriority[priority]
	if count == nil {
		return ahead + 1
	}
	expected := math.Inf(1)
	if overtaking := s.overtaking(priority); overtaking < 1 {
		expected = (ahead + 1) / (1 - overtaking)
	}
	leastShare := s.minRatio * count.arrived / s.total.arrived
	return min(expected, float64(aheadOfPriority+1)/leastShare)
}

// overtaking returns the number of more urgent requests that arrive for each request started.
func (s *shares) overtaking(priority int) float64 {
	arrived := 0.
	for other, count := range s.byPriority {
		if other > priority {
			arrived += count.arrived
		}
	}
	return arrived / max(1, s.total.started)
}
