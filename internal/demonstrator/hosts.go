package demonstrator

import (
	"net/netip"
	"sync"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// LoopbackHosts runs every host on the IPv4 loopback address.
type LoopbackHosts struct{}

// Host implements Hosts.
func (LoopbackHosts) Host(string, string) (connector.Network, netip.Addr) {
	return connector.TCP{}, netip.AddrFrom4([4]byte{127, 0, 0, 1})
}

// Worker implements Hosts.
func (LoopbackHosts) Worker(*schema.Worker) connector.Network { return connector.TCP{} }

// SimulatedHosts runs each host on an in-memory fabric, so that tests can use
// virtual time.
type SimulatedHosts struct {
	Fabric *connector.Fabric
	mu     sync.Mutex
	addrs  map[string]netip.Addr
}

// NewSimulatedHosts returns hosts on a fabric.
func NewSimulatedHosts(fabric *connector.Fabric) *SimulatedHosts {
	return &SimulatedHosts{Fabric: fabric, addrs: map[string]netip.Addr{}}
}

// Host implements Hosts. The same name always gets the same address.
func (s *SimulatedHosts) Host(name, zone string) (connector.Network, netip.Addr) {
	s.mu.Lock()
	addr, known := s.addrs[name]
	if !known {
		next := len(s.addrs) + 1
		addr = netip.AddrFrom4([4]byte{10, 0, byte(next >> 8), byte(next)})
		s.addrs[name] = addr
	}
	s.mu.Unlock()
	return s.Fabric.Host(addr, zone), addr
}

// Worker implements Hosts. Each worker must have a distinct IP address; see
// WithDistinctHosts.
func (s *SimulatedHosts) Worker(worker *schema.Worker) connector.Network {
	addr, err := netip.ParseAddrPort(worker.GetAddress())
	if err != nil {
		return connector.TCP{}
	}
	return s.Fabric.Host(addr.Addr(), worker.GetZone())
}
