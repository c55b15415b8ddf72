// Package demonstrator runs a whole deployment in one process: the stand-ins
// of the platform and the endpoints, and a daemon in each availability zone.
// It serves the demo, trials on loopback, and tests over in-memory networks.
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
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// Secrets of a fleet in one process.
const (
	// OperatorToken is what operators present.
	OperatorToken   = "operator-token-of-the-demo"
	peerToken       = "peer-token-of-the-demo"
	conversationKey = "conversation-key-of-the-demo"
)

// Hosts gives the network of each host.
type Hosts interface {
	// Host returns the network and address of a named host in a zone.
	Host(name, zone string) (connector.Network, netip.Addr)
	// Worker returns the network of the host of a declared worker.
	Worker(worker *schema.Worker) connector.Network
}

// Options are the choices of a fleet.
type Options struct {
	Declaration *schema.Declaration
	Hosts       Hosts
	// PerZone is the number of daemons in each zone.
	PerZone int
	// Qualities are the true mean ratings of versions.
	Qualities map[string]float64
	Logger    hclog.Logger
	Router    router.Options
	Speed     faker.EngineSpeed
	Appends   int
	Retention time.Duration
	Lag       time.Duration
	Seed      uint64
	Drain     time.Duration
	MaxBills  int
}

// Daemon is one running daemon.
type Daemon struct {
	Name   string
	Zone   string
	Addr   netip.Addr
	Server *server.Server
	stop   context.CancelFunc
	done   chan error
	// incarnation tells apart the processes that had the name.
	incarnation uint64
}

// ID names the process: one that replaces another under its name starts anew
// and serves nobody before it has read the configuration.
func (d *Daemon) ID() string { return fmt.Sprintf("%s/%d", d.Name, d.incarnation) }

// Fleet is a running deployment.
type Fleet struct {
	options  Options
	Platform *faker.Platform
	Engines  map[string]*faker.Engine
	Services map[string]*faker.Service
	Ledgers  map[string]*faker.Ledger
	Rating   *faker.Qualities

	mu          sync.Mutex
	daemons     map[string]*Daemon
	workers     map[string]*faker.Server
	incarnation uint64
}

func newFleet(options Options) *Fleet {
	return &Fleet{
		options:  options,
		Engines:  map[string]*faker.Engine{},
		Services: map[string]*faker.Service{},
		Ledgers:  map[string]*faker.Ledger{},
		Rating:   faker.NewQualities(options.Qualities),
		daemons:  map[string]*Daemon{},
		workers:  map[string]*faker.Server{},
	}
}

// PlatformZone is the zone of the platform's own services.
const PlatformZone = "platform"

// Start starts the stand-ins and daemons of a declaration. The declaration is
// not applied yet.
func Start(options Options) (*Fleet, error) {
	f := newFleet(options)
	network, addr := options.Hosts.Host("platform", PlatformZone)
	platform, err := faker.StartPlatform(network, netip.AddrPortFrom(addr, 0), f.Rating, options.Lag)
	if err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	f.Platform = platform
	if err := f.startWorkers(); err != nil {
		return nil, err
	}
	for _, zone := range f.Zones() {
		for i := range options.PerZone {
			if _, err := f.StartDaemon(fmt.Sprintf("%s-%d", zone, i+1), zone); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// Zones returns the declared zones in order.
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
		return errors.Wrap(err, "worker address")
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
		speed := f.options.Speed
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
		return nil, errors.Errorf("worker %s is of a service without a kind", address)
	}
}

// StartDaemon starts a daemon in a zone and lists it with the platform.
func (f *Fleet) StartDaemon(name, zone string) (*Daemon, error) {
	network, addr := f.options.Hosts.Host(name, zone)
	f.mu.Lock()
	f.incarnation++
	incarnation := f.incarnation
	f.mu.Unlock()
	platform := f.Platform.Addr()
	any0 := netip.AddrPortFrom(addr, 0)
	daemon, err := server.New(server.Config{
		Cluster:               f.options.Declaration.GetCluster(),
		Name:                  name,
		Zone:                  zone,
		ClientAddr:            any0,
		PeerAddr:              any0,
		OperatorAddr:          any0,
		MetricsAddr:           any0,
		LogAddr:               platform,
		RatingAddr:            platform,
		InstanceListAddr:      platform,
		AppendsPerSecond:      orDefault(f.options.Appends, 300),
		Retention:             orDefault(f.options.Retention, 24*time.Hour),
		ConversationKeys:      [][]byte{[]byte(conversationKey)},
		OperatorTokens:        []string{OperatorToken},
		PeerTokens:            []string{peerToken},
		MaxBodyBytes:          1 << 20,
		MaxBills:              orDefault(f.options.MaxBills, 200_000),
		MaxConcurrentRequests: 512,
		SeedPeers:             f.seeds(zone),
		DrainTimeout:          orDefault(f.options.Drain, 30*time.Second),
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
	started := &Daemon{Name: name, Zone: zone, Addr: addr, Server: daemon, stop: cancel, done: make(chan error, 1), incarnation: incarnation}
	go func() { started.done <- daemon.Run(ctx) }()
	f.mu.Lock()
	f.daemons[name] = started
	f.mu.Unlock()
	f.list()
	return started, nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// maxSeeds is the number of peers that a daemon's settings name.
const maxSeeds = 3

// seeds returns the peers that a new daemon's settings name, those of its own
// zone first: only they can be reached while the zone is cut off.
func (f *Fleet) seeds(zone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, daemon := range f.Daemons() {
		if daemon.Zone == zone {
			near = append(near, daemon.Server.Addresses().Peers)
		} else {
			far = append(far, daemon.Server.Addresses().Peers)
		}
	}
	near = append(near, far...)
	return near[:min(maxSeeds, len(near))]
}

// list publishes the daemons in the platform's instance list.
func (f *Fleet) list() {
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

// Daemons returns the running daemons by name.
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

func (f *Fleet) remove(name string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	daemon := f.daemons[name]
	delete(f.daemons, name)
	return daemon
}

// StopDaemon stops a daemon gracefully and waits for its end.
func (f *Fleet) StopDaemon(name string) error {
	daemon := f.remove(name)
	f.list()
	daemon.stop()
	return <-daemon.done
}

// KillDaemon ends a daemon at once.
func (f *Fleet) KillDaemon(name string) {
	daemon := f.remove(name)
	daemon.Server.Kill()
	if err := <-daemon.done; err != nil {
		f.options.Logger.Debug("daemon was killed", "name", name, "error", err)
	}
	daemon.stop()
	f.list()
}

// SetEngines replaces the faults of all engines.
func (f *Fleet) SetEngines(faults faker.EngineFaults) {
	for _, engine := range f.Engines {
		engine.SetFaults(faults)
	}
}

// SetServices replaces the faults of all workers of plain services.
func (f *Fleet) SetServices(faults faker.ServiceFaults) {
	for _, service := range f.Services {
		service.SetFaults(faults)
	}
}

// StopWorker closes a worker.
func (f *Fleet) StopWorker(address string) { f.workers[address].Close() }

// Close ends the whole fleet.
func (f *Fleet) Close() {
	for _, daemon := range f.Daemons() {
		f.KillDaemon(daemon.Name)
	}
	for _, worker := range f.workers {
		worker.Close()
	}
	f.Platform.Close()
}

// Operator returns a client of a daemon's operator interface.
func (f *Fleet) Operator(daemon *Daemon, client *http.Client) schemaconnect.OperatorServiceClient {
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+OperatorToken)
			return next(ctx, request)
		}
	})
	return schemaconnect.NewOperatorServiceClient(client, "http://"+daemon.Server.Addresses().Operators.String(), connect.WithInterceptors(authorize))
}

// Key returns the API key that WithKeys gives an account.
func Key(account string) string { return "qk-demo-" + account }

// WithKeys returns a copy of a declaration in which each account has one key
// that is known to the demo.
func WithKeys(declaration *schema.Declaration) *schema.Declaration {
	copied := proto.CloneOf(declaration)
	for name, account := range copied.GetAccounts() {
		digest := sha256.Sum256([]byte(Key(name)))
		account.Keys = []string{hex.EncodeToString(digest[:])}
	}
	return copied
}

// Ready waits until every daemon is ready for callers.
func (f *Fleet) Ready(ctx context.Context, client *http.Client) error {
	for _, daemon := range f.Daemons() {
		for !isReady(ctx, client, daemon) {
			if err := ctx.Err(); err != nil {
				return errors.Wrapf(err, "daemon %s is not ready", daemon.Name)
			}
			wait(ctx, 50*time.Millisecond)
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

func wait(ctx context.Context, time0 time.Duration) {
	timer := time.NewTimer(time0)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
