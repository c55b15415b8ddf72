package connector

import "net/netip"

// Traffic is the number of bytes that a host has written and that were written
// to it, and the number of connections that it has opened.
type Traffic struct {
	BytesWritten uint64
	BytesRead    uint64
	ConnsDialled uint64
}

// Traffic returns the traffic of a host since the network was created.
func (f *Fabric) Traffic(addr netip.Addr) Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	if traffic := f.traffic[addr]; traffic != nil {
		return *traffic
	}
	return Traffic{}
}

// countBytes adds a write from one host to another to the traffic of both.
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
