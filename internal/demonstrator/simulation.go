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

// ClientZone is the zone in which the clients' hosts run.
const ClientZone = "callers"

// OneWayDelay returns the one-way network delay between two zones.
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

// WithDistinctHosts returns a copy of a declaration in which each worker runs on
// its own host.
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

// Simulation is a fleet on an in-memory network, so that tests can use virtual
// time.
type Simulation struct {
	*Fleet
	Fabric *connector.Fabric
	Hosts  *SimulatedHosts
	// Client sends requests to the daemons from ClientZone.
	Client    *http.Client
	transport *connector.Transport
}

// StartSimulation starts a fleet on an in-memory network.
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
	transport := connector.NewTransport(network)
	return &Simulation{Fleet: fleet, Fabric: fabric, Hosts: hosts, Client: &http.Client{Transport: transport}, transport: transport}, nil
}

// AccountClient returns a client that sends requests of an account to a daemon.
func (s *Simulation) AccountClient(daemon *Daemon, account string) *caller.Client {
	return caller.New(s.Client, daemon.Server.Addresses().Clients, APIKey(account))
}

// CrashDaemon ends a daemon as the failure of its instance does: its connections
// break and it hands over no state.
func (s *Simulation) CrashDaemon(name string) {
	daemon := s.Daemon(name)
	s.Fabric.Kill(daemon.Addr)
	s.KillDaemon(name)
}

// PartitionZone blocks traffic between a zone and the named zones in both
// directions.
func (s *Simulation) PartitionZone(zone string, others ...string) {
	for _, other := range others {
		s.Fabric.Partition(zone, other)
		s.Fabric.Partition(other, zone)
	}
}

// HealZone reverses PartitionZone.
func (s *Simulation) HealZone(zone string, others ...string) {
	for _, other := range others {
		s.Fabric.Heal(zone, other)
		s.Fabric.Heal(other, zone)
	}
}

// Close stops the fleet and closes the idle connections of Client.
func (s *Simulation) Close() {
	s.Fleet.Close()
	s.transport.CloseIdleConnections()
}

// Declaration returns the declaration that the fleet was started with. In a
// simulation, its workers have the addresses of their simulated hosts.
func (f *Fleet) Declaration() *schema.Declaration { return f.options.Declaration }

// WorkerAddr parses a worker's address. It returns the zero AddrPort if the
// address is invalid.
func WorkerAddr(worker *schema.Worker) netip.AddrPort {
	addr, err := netip.ParseAddrPort(worker.GetAddress())
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}
