package subscriber

// before reports whether the epoch is older than another one. An epoch of 0 is compared with
// nothing.
func (e Epoch) before(other Epoch) bool { return e != 0 && other != 0 && e < other }
