package tracker

// Permitted reports whether the endpoint may still get the request for which it was chosen. It
// may since have been drained, removed, restarted or given another address.
func (c *Choice) Permitted() bool {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[c.ID]
	return endpoint != nil && endpoint.Started.Equal(c.Started) && endpoint.Address == c.Address && t.available(endpoint, t.now())
}
