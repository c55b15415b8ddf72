package tracker

// Room is what this daemon knows of the load of the endpoints that may get a query.
type Room struct {
	// Endpoints is the number of endpoints that may get the query, and Slots their slots.
	Endpoints int
	Slots     int
	// KnownEndpoints is the number of those whose load a recent report tells. The other fields
	// are of these endpoints only.
	KnownEndpoints int
	// Requests is the number of requests that run or wait there.
	Requests int
	// LeastLoad is the least number of requests for each slot that one of them has.
	LeastLoad float64
}

// KnownShare returns the share of the endpoints whose load a recent report tells.
func (r Room) KnownShare() float64 {
	if r.Endpoints == 0 {
		return 0
	}
	return float64(r.KnownEndpoints) / float64(r.Endpoints)
}

// Room returns what this daemon knows of the load of the endpoints that may get the query. A
// load that was reported more than loadReportTTL ago counts as unknown, because the requests may have
// ended since.
func (t *Tracker) Room(query Query) Room {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	health := t.serviceHealth(query.Service)
	var room Room
	for _, endpoint := range t.eligible(query, now) {
		candidate := t.candidate(endpoint, health, now)
		if candidate.Ejected || endpoint.Slots == 0 {
			continue
		}
		room.Endpoints++
		room.Slots += endpoint.Slots
		if now.Sub(endpoint.reportedAt) >= loadReportTTL {
			continue
		}
		load := float64(candidate.Load) / float64(endpoint.Slots)
		if room.KnownEndpoints == 0 || load < room.LeastLoad {
			room.LeastLoad = load
		}
		room.KnownEndpoints++
		room.Requests += candidate.Load
	}
	return room
}
