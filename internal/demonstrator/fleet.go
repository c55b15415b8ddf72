// Package demonstrator runs a whole deployment in one process: stand-ins of the
// platform and of the endpoints, and daemons in each availability zone. The
// demo and trials run on loopback, and tests on in-memory networks.
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/router"
	"quetzalgrade.example/quetzalgrade/internal/server"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// Secrets that all daemons of a fleet share.
const (
	// OperatorToken authenticates operators.
	OperatorToken   = "operator-token-of-the-demo"
	peerToken       = "peer-token-of-the-demo"
	conversationKey = "conversation-key-of-the-demo"
)

// Hosts provides the network of each host.
type Hosts interface {
	// Host returns the network and the address of a named host in a zone.
	Host(name, zone string) (connector.Network, netip.Addr)
	// Worker returns the network of the host on which a declared worker runs.
	Worker(worker *schema.Worker) connector.Network
}

// Options configure a fleet. A zero value of EngineSpeed, AppendRate, Retention,
// DrainTimeout or MaxBills selects the default.
type Options struct {
	Declaration *schema.Declaration
	Hosts       Hosts
	// DaemonsPerZone is the number of daemons in each zone.
	DaemonsPerZone int
	// Qualities holds the true mean rating of each version.
	Qualities   map[string]float64
	Logger      hclog.Logger
	Router      router.Options
	EngineSpeed faker.EngineSpeed
	// AppendRate is the number of log appends a second that the cluster may make.
	AppendRate int
	Retention  time.Duration
	// InstanceListLag is the delay after which the platform's instance list shows
	// a change.
	InstanceListLag time.Duration
	Seed            uint64
	// DrainTimeout limits how long a stopping daemon waits for its requests.
	DrainTimeout time.Duration
	MaxBills     int
}

// Daemon is a running daemon.
type Daemon struct {
	Name   string
	Zone   string
	Addr   netip.Addr
	Server *server.Server
	cancel context.CancelFunc
	done   chan error
	// incarnation distinguishes the processes that have run under the name.
	incarnation uint64
}

// ID returns the name and incarnation. A replacement under the same name is a
// new process, which serves no requests until it has read the configuration.
func (d *Daemon) ID() string { return fmt.Sprintf("%s/%d", d.Name, d.incarnation) }

// Fleet is a running deployment: the platform, the endpoints and the daemons.
type Fleet struct {
	options   Options
	Platform  *faker.Platform
	Engines   map[string]*faker.Engine
	Services  map[string]*faker.Service
	Ledgers   map[string]*faker.Ledger
	Qualities *faker.Qualities

	mu          sync.Mutex
	daemons     map[string]*Daemon
	workers     map[string]*faker.Server
	incarnation uint64
}

func newFleet(options Options) *Fleet {
	return &Fleet{
		options:   options,
		Engines:   map[string]*faker.Engine{},
		Services:  map[string]*faker.Service{},
		Ledgers:   map[string]*faker.Ledger{},
		Qualities: faker.NewQualities(options.Qualities),
		daemons:   map[string]*Daemon{},
		workers:   map[string]*faker.Server{},
	}
}

// PlatformZone is the zone in which the platform's services run.
const PlatformZone = "platform"

// Start starts the stand-ins and the daemons of a declaration. It does not apply
// the declaration; see Fleet.Apply.
func Start(options Options) (*Fleet, error) {
	f := newFleet(options)
	network, addr := options.Hosts.Host("platform", PlatformZone)
	platform, err := faker.StartPlatform(network, netip.AddrPortFrom(addr, 0), f.Qualities, options.InstanceListLag)
	if err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	f.Platform = platform
	if err := f.startWorkers(); err != nil {
		return nil, err
	}
	for _, zone := range f.Zones() {
		for i := range options.DaemonsPerZone {
			if _, err := f.StartDaemon(fmt.Sprintf("%s-%d", zone, i+1), zone); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// Zones returns the names of the declared zones, sorted.
func (f *Fleet) Zones() []string {
	return sortedNames(f.options.Declaration.GetZones())
}

func sortedNames[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}

func (f *Fleet) startWorkers() error {
	for _, name := range sortedNames(f.options.Declaration.GetServices()) {
		service := f.options.Declaration.GetServices()[name]
		ledger := &faker.Ledger{}
		f.Ledgers[name] = ledger
		for _, worker := range service.GetWorkers() {
			if err := f.startWorker(service, worker, ledger); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startWorker(service *schema.Service, worker *schema.Worker, ledger *faker.Ledger) error {
	addr, err := netip.ParseAddrPort(worker.GetAddress())
	if err != nil {
		return errors.Wrap(err, "parse worker address")
	}
	handler, err := f.workerHandler(service, worker, ledger)
	if err != nil {
		return err
	}
	started, err := faker.Serve(f.options.Hosts.Worker(worker), addr, handler)
	if err != nil {
		return errors.Wrapf(err, "start worker %s", addr)
	}
	f.workers[worker.GetAddress()] = started
	return nil
}

func (f *Fleet) workerHandler(service *schema.Service, worker *schema.Worker, ledger *faker.Ledger) (http.Handler, error) {
	address := worker.GetAddress()
	switch service.GetKind() {
	case schema.Kind_KIND_MODEL:
		speed := f.options.EngineSpeed
		if speed == (faker.EngineSpeed{}) {
			speed = faker.DefaultEngineSpeed
		}
		engine := faker.NewEngine(address, int(worker.GetSlots()), speed)
		engine.SetFencing(service.GetFenced())
		engine.SetVersions(worker.GetVersions())
		f.Engines[address] = engine
		return engine.Handler(), nil
	case schema.Kind_KIND_PLAIN:
		plain := faker.NewService(ledger)
		f.Services[address] = plain
		return plain.Handler(), nil
	default:
		return nil, errors.Errorf("worker %s belongs to a service without a kind", address)
	}
}

// StartDaemon starts a daemon in a zone and adds it to the platform's instance
// list.
func (f *Fleet) StartDaemon(name, zone string) (*Daemon, error) {
	network, addr := f.options.Hosts.Host(name, zone)
	f.mu.Lock()
	f.incarnation++
	incarnation := f.incarnation
	f.mu.Unlock()
	platform := f.Platform.Addr()
	anyPort := netip.AddrPortFrom(addr, 0)
	daemon, err := server.New(server.Config{
		Cluster:               f.options.Declaration.GetCluster(),
		Name:                  name,
		Zone:                  zone,
		ClientAddr:            anyPort,
		PeerAddr:              anyPort,
		OperatorAddr:          anyPort,
		MetricsAddr:           anyPort,
		LogAddr:               platform,
		RatingAddr:            platform,
		InstanceListAddr:      platform,
		AppendsPerSecond:      orDefault(f.options.AppendRate, 300),
		Retention:             orDefault(f.options.Retention, 24*time.Hour),
		ConversationKeys:      [][]byte{[]byte(conversationKey)},
		OperatorTokens:        []string{OperatorToken},
		PeerTokens:            []string{peerToken},
		MaxBodyBytes:          1 << 20,
		MaxBills:              orDefault(f.options.MaxBills, 200_000),
		MaxConcurrentRequests: 512,
		SeedPeers:             f.seeds(zone),
		DrainTimeout:          orDefault(f.options.DrainTimeout, 30*time.Second),
		Network:               network,
		Incarnation:           incarnation,
		RandomSeed:            f.options.Seed + incarnation,
		Logger:                f.options.Logger,
		RouterOptions:         f.options.Router,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "start daemon %s", name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &Daemon{Name: name, Zone: zone, Addr: addr, Server: daemon, cancel: cancel, done: make(chan error, 1), incarnation: incarnation}
	go func() { started.done <- daemon.Run(ctx) }()
	f.mu.Lock()
	f.daemons[name] = started
	f.mu.Unlock()
	f.publishInstances()
	return started, nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// maxSeeds is the maximum number of seed peers in a daemon's settings.
const maxSeeds = 3

// seeds returns the seed peers for a new daemon's settings. Peers in its own zone
// come first, because only they are reachable while the zone is partitioned.
func (f *Fleet) seeds(zone string) []netip.AddrPort {
	var sameZone, otherZones []netip.AddrPort
	for _, daemon := range f.Daemons() {
		if daemon.Zone == zone {
			sameZone = append(sameZone, daemon.Server.Addresses().Peers)
		} else {
			otherZones = append(otherZones, daemon.Server.Addresses().Peers)
		}
	}
	sameZone = append(sameZone, otherZones...)
	return sameZone[:min(maxSeeds, len(sameZone))]
}

// publishInstances replaces the platform's instance list by the running daemons.
func (f *Fleet) publishInstances() {
	var instances []*schema.Instance
	for _, daemon := range f.Daemons() {
		instances = append(instances, &schema.Instance{
			Name:    daemon.Name,
			Address: daemon.Server.Addresses().Peers.String(),
			Zone:    daemon.Zone,
		})
	}
	f.Platform.Instances.Set(instances)
}

// Daemons returns the running daemons, sorted by name.
func (f *Fleet) Daemons() []*Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Daemon
	for _, daemon := range f.daemons {
		list = append(list, daemon)
	}
	slices.SortFunc(list, func(a, b *Daemon) int { return compareText(a.Name, b.Name) })
	return list
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Daemon returns a running daemon by name, or nil.
func (f *Fleet) Daemon(name string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[name]
}

func (f *Fleet) removeDaemon(name string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	daemon := f.daemons[name]
	delete(f.daemons, name)
	return daemon
}

// StopDaemon stops a daemon gracefully, waits until it has ended and returns the
// error of its run.
func (f *Fleet) StopDaemon(name string) error {
	daemon := f.removeDaemon(name)
	f.publishInstances()
	daemon.cancel()
	return <-daemon.done
}

// KillDaemon ends a daemon at once, without draining.
func (f *Fleet) KillDaemon(name string) {
	daemon := f.removeDaemon(name)
	daemon.Server.Kill()
	if err := <-daemon.done; err != nil {
		f.options.Logger.Debug("killed daemon returned an error", "name", name, "error", err)
	}
	daemon.cancel()
	f.publishInstances()
}

// SetEngineFaults replaces the injected faults of all engines.
func (f *Fleet) SetEngineFaults(faults faker.EngineFaults) {
	for _, engine := range f.Engines {
		engine.SetFaults(faults)
	}
}

// SetServiceFaults replaces the injected faults of all workers of plain services.
func (f *Fleet) SetServiceFaults(faults faker.ServiceFaults) {
	for _, service := range f.Services {
		service.SetFaults(faults)
	}
}

// StopWorker stops the worker at an address.
func (f *Fleet) StopWorker(address string) { f.workers[address].Close() }

// Close kills the daemons and stops the workers and the platform.
func (f *Fleet) Close() {
	for _, daemon := range f.Daemons() {
		f.KillDaemon(daemon.Name)
	}
	for _, worker := range f.workers {
		worker.Close()
	}
	f.Platform.Close()
}

// OperatorClient returns an authenticated client of a daemon's operator interface.
func (f *Fleet) OperatorClient(daemon *Daemon, client *http.Client) schemaconnect.OperatorServiceClient {
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+OperatorToken)
			return next(ctx, request)
		}
	})
	return schemaconnect.NewOperatorServiceClient(client, "http://"+daemon.Server.Addresses().Operators.String(), connect.WithInterceptors(authorize))
}

// APIKey returns the API key that WithDemoKeys gives an account.
func APIKey(account string) string { return "qk-demo-" + account }

// WithDemoKeys returns a copy of a declaration in which the only API key of each
// account is the one that APIKey returns.
func WithDemoKeys(declaration *schema.Declaration) *schema.Declaration {
	clone := proto.CloneOf(declaration)
	for name, account := range clone.GetAccounts() {
		digest := sha256.Sum256([]byte(APIKey(name)))
		account.Keys = []string{hex.EncodeToString(digest[:])}
	}
	return clone
}

// WaitReady waits until every daemon is ready for clients. It returns an error if
// ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context, client *http.Client) error {
	for _, daemon := range f.Daemons() {
		for !isReady(ctx, client, daemon) {
			if err := ctx.Err(); err != nil {
				return errors.Wrapf(err, "daemon %s is not ready", daemon.Name)
			}
			sleeper.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, daemon *Daemon) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.Server.Addresses().Metrics.String()+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
