package demonstrator

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// One-way delays of the simulated network.
const (
	withinZone   = 100 * time.Microsecond
	betweenZones = 500 * time.Microsecond
	toClients    = time.Millisecond
)

// CallerZone is the zone of the callers' hosts.
const ClientZone = "callers"

// Delay is the one-way delay between two zones.
func OneWayDelay(from, to string) time.Duration {
	switch {
	case from == ClientZone || to == ClientZone:
		return toClients
	case from == to:
		return withinZone
	default:
		return betweenZones
	}
}

// workerPort is the port of each simulated worker.
const workerPort = 9000

// Spread returns a copy of a declaration in which each worker has a host of
// its own.
func WithDistinctHosts(declaration *schema.Declaration) *schema.Declaration {
	clone := proto.CloneOf(declaration)
	number := 0
	for _, name := range sortedNames(clone.GetServices()) {
		for _, worker := range clone.GetServices()[name].GetWorkers() {
			number++
			worker.Address = fmt.Sprintf("10.1.%d.%d:%d", number>>8, number&0xff, workerPort)
		}
	}
	return clone
}

// Simulation is a fleet on an in-memory network, for virtual time.
type Simulation struct {
	*Fleet
	Fabric *connector.Fabric
	Hosts  *SimulatedHosts
	// Client reaches the daemons from the callers' zone.
	Client    *http.Client
	transport *http.Transport
}

// Simulate starts a fleet on an in-memory network.
func StartSimulation(options Options) (*Simulation, error) {
	fabric := connector.NewFabric(OneWayDelay)
	hosts := NewSimulatedHosts(fabric)
	options.Hosts = hosts
	options.Declaration = WithDistinctHosts(options.Declaration)
	network, _ := hosts.Host("callers", ClientZone)
	fleet, err := Start(options)
	if err != nil {
		return nil, err
	}
	transport := connector.Transport(network)
	return &Simulation{Fleet: fleet, Fabric: fabric, Hosts: hosts, Client: &http.Client{Transport: transport}, transport: transport}, nil
}

// Caller returns a client of an account at a daemon.
func (s *Simulation) AccountClient(daemon *Daemon, account string) *caller.Client {
	return caller.New(s.Client, daemon.Server.Addresses().Callers, APIKey(account))
}

// Crash ends a daemon as a failed instance does: its connections break and
// nothing is handed over.
func (s *Simulation) CrashDaemon(name string) {
	daemon := s.Daemon(name)
	s.Fabric.Kill(daemon.Addr)
	s.KillDaemon(name)
}

// Isolate cuts a zone off from the named zones, both ways.
func (s *Simulation) PartitionZone(zone string, others ...string) {
	for _, other := range others {
		s.Fabric.Cut(zone, other)
		s.Fabric.Cut(other, zone)
	}
}

// Rejoin undoes Isolate.
func (s *Simulation) HealZone(zone string, others ...string) {
	for _, other := range others {
		s.Fabric.Heal(zone, other)
		s.Fabric.Heal(other, zone)
	}
}

// Close ends the simulation.
func (s *Simulation) Close() {
	s.Fleet.Close()
	s.transport.CloseIdleConnections()
}

// Declaration returns the declaration with the simulated workers.
func (f *Fleet) Declaration() *schema.Declaration { return f.options.Declaration }

// WorkerAddr parses a worker's address.
func WorkerAddr(worker *schema.Worker) netip.AddrPort {
	addr, err := netip.ParseAddrPort(worker.GetAddress())
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}
