package tracker

import "maps"

// SetEvacuated replaces the set of availability zones whose endpoints get no new requests. Requests
// that run there are not ended.
func (t *Tracker) SetEvacuated(zones map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = maps.Clone(zones)
}

// CountInZone returns the number of registered endpoints of an availability zone.
func (t *Tracker) CountInZone(zone string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, endpoint := range t.endpoints {
		if endpoint.Zone == zone {
			count++
		}
	}
	return count
}

// Permitted reports whether the endpoint may still get the request for which it was chosen. It
// may since have been drained, evacuated, removed, restarted or given another address, or have
// turned cold. It must be called once, because it takes the request from the share of an endpoint
// that has turned cold.
func (c *Choice) Permitted() bool { return c.stillAvailable() && c.WithinColdShare() }

// stillAvailable reports whether the process for which the request was chosen may get work.
func (c *Choice) stillAvailable() bool {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[c.ID]
	return endpoint != nil && endpoint.Started.Equal(c.Started) && endpoint.Address == c.Address && t.available(endpoint, t.now())
}
