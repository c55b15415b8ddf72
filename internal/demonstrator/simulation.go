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
	withinZone  = 100 * time.Microsecond
	betweenZone = 500 * time.Microsecond
	toCallers   = time.Millisecond
)

// CallerZone is the zone of the callers' hosts.
const CallerZone = "callers"

// Delay is the one-way delay between two zones.
func Delay(from, to string) time.Duration {
	switch {
	case from == CallerZone || to == CallerZone:
		return toCallers
	case from == to:
		return withinZone
	default:
		return betweenZone
	}
}

// workerPort is the port of each simulated worker.
const workerPort = 9000

// Spread returns a copy of a declaration in which each worker has a host of
// its own.
func Spread(declaration *schema.Declaration) *schema.Declaration {
	copied := proto.CloneOf(declaration)
	number := 0
	for _, name := range sortedNames(copied.GetServices()) {
		for _, worker := range copied.GetServices()[name].GetWorkers() {
			number++
			worker.Address = fmt.Sprintf("10.1.%d.%d:%d", number>>8, number&0xff, workerPort)
		}
	}
	return copied
}

// Simulation is a fleet on an in-memory network, for virtual time.
type Simulation struct {
	*Fleet
	Fabric *connector.Fabric
	Hosts  *Simulated
	// Client reaches the daemons from the callers' zone.
	Client    *http.Client
	transport *http.Transport
}

// Simulate starts a fleet on an in-memory network.
func Simulate(options Options) (*Simulation, error) {
	fabric := connector.NewFabric(Delay)
	hosts := NewSimulated(fabric)
	options.Hosts = hosts
	options.Declaration = Spread(options.Declaration)
	network, _ := hosts.Host("callers", CallerZone)
	fleet, err := Start(options)
	if err != nil {
		return nil, err
	}
	transport := connector.NewTransport(network)
	return &Simulation{Fleet: fleet, Fabric: fabric, Hosts: hosts, Client: &http.Client{Transport: transport}, transport: transport}, nil
}

// Caller returns a client of an account at a daemon.
func (s *Simulation) Caller(daemon *Daemon, account string) *caller.Client {
	return caller.New(s.Client, daemon.Server.Addresses().Clients, Key(account))
}

// Crash ends a daemon as a failed instance does: its connections break and
// nothing is handed over.
func (s *Simulation) Crash(name string) {
	daemon := s.Daemon(name)
	s.Fabric.Kill(daemon.Addr)
	s.KillDaemon(name)
}

// Isolate cuts a zone off from the named zones, both ways.
func (s *Simulation) Isolate(zone string, from ...string) {
	for _, other := range from {
		s.Fabric.Partition(zone, other)
		s.Fabric.Partition(other, zone)
	}
}

// Rejoin undoes Isolate.
func (s *Simulation) Rejoin(zone string, from ...string) {
	for _, other := range from {
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
