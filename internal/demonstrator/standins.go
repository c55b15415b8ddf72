package demonstrator

import (
	"net/netip"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Standins runs the platform and the workers of a declaration, without daemons.
type Standins struct {
	fleet *Fleet
}

// StartStandins starts the platform's services at addr and each worker at its
// declared address.
func StartStandins(network connector.Network, addr netip.AddrPort, declaration *schema.Declaration) (*Standins, error) {
	qualities := map[string]float64{}
	for model, declared := range declaration.GetModels() {
		for name, version := range declared.GetVersions() {
			qualities[model+"@"+name] = version.GetQuality()
		}
	}
	f := newFleet(Options{Declaration: declaration, Hosts: LoopbackHosts{}, Qualities: qualities})
	platform, err := faker.StartPlatform(network, addr, f.Qualities, 0)
	if err != nil {
		return nil, err
	}
	f.Platform = platform
	if err := f.startWorkers(); err != nil {
		f.Close()
		return nil, err
	}
	return &Standins{fleet: f}, nil
}

// Workers returns the number of running workers.
func (s *Standins) Workers() int { return len(s.fleet.workers) }

// Close stops the platform and the workers.
func (s *Standins) Close() { s.fleet.Close() }
