package connector

import "net/netip"

// Traffic is what a host has written and read, in bytes, and how many
// connections it opened.
type Traffic struct {
	BytesWritten uint64
	BytesRead    uint64
	ConnsDialled uint64
}

// Traffic returns the traffic of a host so far.
func (f *Fabric) Traffic(addr netip.Addr) Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	if traffic := f.traffic[addr]; traffic != nil {
		return *traffic
	}
	return Traffic{}
}

// count adds a write from one host to another.
func (f *Fabric) countBytes(from, to netip.Addr, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostTraffic(from).BytesWritten += uint64(bytes)
	f.hostTraffic(to).BytesRead += uint64(bytes)
}

func (f *Fabric) hostTraffic(addr netip.Addr) *Traffic {
	traffic := f.traffic[addr]
	if traffic == nil {
		traffic = &Traffic{}
		f.traffic[addr] = traffic
	}
	return traffic
}
