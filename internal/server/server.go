package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/allocator"
	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/claimer"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/configurator"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/gateway"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/internal/keeper"
	"quetzalgrade.example/quetzalgrade/internal/limiter"
	"quetzalgrade.example/quetzalgrade/internal/orderer"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
	"quetzalgrade.example/quetzalgrade/internal/roller"
	"quetzalgrade.example/quetzalgrade/internal/router"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

const (
	// configInterval is how often the configuration stream is read. Rumours of a
	// newer revision trigger a read before that.
	configInterval = time.Second
	claimsInterval = 2 * time.Second
	grantsInterval = time.Second
	// evidenceInterval is how often evidence is read, evidenceDelay how long it
	// waits to share an append.
	evidenceInterval = 2 * time.Second
	evidenceDelay    = 3 * time.Second
	billDelay        = 2 * time.Second
	leasesInterval   = 2 * time.Second
	// ordersInterval is how often the declared state of engines is looked after.
	ordersInterval = 2 * time.Second
	grantDelay     = time.Second
	// claimWindow is the share of the log's retention for which an idempotency
	// key is remembered.
	claimWindow = 0.5
	pinLife     = 24 * time.Hour
	maxPins     = 100_000
)

// Server is one daemon.
type Server struct {
	config Config
	logger hclog.Logger
	holder string
	nextID atomic.Uint64

	system    *actor.ActorSystem
	settings  *keeper.Keeper[configState, configView]
	members   *keeper.Keeper[gossiper.Membership, memberView]
	estimates *keeper.Keeper[estimator.Table, estimator.Snapshot]
	pins      *keeper.Keeper[pinner.Table, int]
	peers     *peerClients
	transport *http.Transport
	log       *journaler.Client
	budget    *rate.Limiter
	appenders map[string]*journaler.Appender
	followers map[string]*journaler.Follower
	watcher   *watcher.Watcher
	sender    *sender.Sender
	admitter  *admitter.Admitter
	limiter   *limiter.Limiter
	claimer   *claimer.Claimer
	biller    *biller.Biller
	assessor  *assessor.Assessor
	roller    *roller.Roller
	orderer   *orderer.Orderer
	router    *router.Router
	gateway   *gateway.Gateway
	metrics   *metrics.Set
	stopping  atomic.Bool
	proposed  map[string]time.Time
	listeners listeners
	servers   []*http.Server
	// callers is the one of the servers that answers callers.
	callers    *http.Server
	background sync.WaitGroup
	// configured is the revision that the parts were told of.
	configured atomic.Uint64
	killed     chan struct{}
	// urgent signals news that other members must have at once.
	urgent   chan struct{}
	killOnce sync.Once
}

// listeners are the sockets of a daemon.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
	metrics   net.Listener
}

// New builds a daemon and opens its listeners.
func New(config Config) (*Server, error) {
	s := &Server{
		config:    config,
		logger:    config.Logger.Named("server"),
		holder:    config.Name + "/" + strconv.FormatUint(config.Incarnation, 10),
		transport: connector.Transport(config.Network),
		budget:    rate.NewLimiter(rate.Limit(config.Appends), 1),
		appenders: map[string]*journaler.Appender{},
		followers: map[string]*journaler.Follower{},
		watcher:   watcher.New(),
		admitter:  admitter.New(config.Parallel),
		metrics:   metrics.NewSet(),
		proposed:  map[string]time.Time{},
		killed:    make(chan struct{}),
		urgent:    make(chan struct{}, 1),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.buildState()
	s.buildParts()
	s.buildRouter()
	s.registerMetrics()
	return s, nil
}

func (s *Server) listen() error {
	for _, socket := range []struct {
		name string
		addr netip.AddrPort
		into *net.Listener
	}{
		{"callers", s.config.Callers, &s.listeners.callers},
		{"peers", s.config.Peer, &s.listeners.peers},
		{"operators", s.config.Operators, &s.listeners.operators},
		{"metrics", s.config.Metrics, &s.listeners.metrics},
	} {
		listener, err := s.config.Network.Listen(socket.addr)
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "listen for %s", socket.name)
		}
		*socket.into = listener
	}
	return nil
}

func (s *Server) closeListeners() {
	for _, listener := range []net.Listener{s.listeners.callers, s.listeners.peers, s.listeners.operators, s.listeners.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// buildState starts the actors that own the daemon's state.
func (s *Server) buildState() {
	s.system = keeper.NewSystem()
	s.settings = keeper.New(s.system, newConfigState(), (*configState).view)
	self := gossiper.Member{
		Name:        s.config.Name,
		Zone:        s.config.Zone,
		Address:     connector.Address(s.listeners.peers),
		Incarnation: s.config.Incarnation,
	}
	s.members = keeper.New(s.system, gossiper.New(self), viewMembers)
	s.estimates = keeper.New(s.system, estimator.New(), (*estimator.Table).Snapshot)
	s.pins = keeper.New(s.system, pinner.NewTable(pinLife, maxPins), viewPins)
	s.peers = newPeerClients(s.transport, s.config.PeerTokens)
}

func (s *Server) buildParts() {
	c := s.config
	client := &http.Client{Transport: s.transport}
	s.log = journaler.NewClient(client, c.Log)
	s.sender = sender.New(c.Network, s.watcher.Report)
	s.watcher.OnLeaving = s.endpointLeaves
	s.assessor = assessor.New(client, c.Ratings, s.rated)
	s.claimer = claimer.New(s.holder, s.newID, s.appender(claimer.Stream, grantDelay), s.log, claimsInterval, time.Duration(claimWindow*float64(c.Retention)))
	s.limiter = limiter.New(s.holder, s.newID, s.appender(allocator.Stream, grantDelay), s.log, grantsInterval, transfers{s})
	s.biller = biller.New(s.appender(biller.Stream, billDelay), copies{s}, c.MaxBills)
	s.roller = roller.New(s.holder, s.newID, s.appender(roller.Stream, evidenceDelay), s.log, evidenceInterval, s.stopVersion)
	s.orderer = orderer.New(s.holder, c.Zone, s.newID, client, s.appender(orderer.Stream, 0), s.log, leasesInterval)
	s.appender(configurator.Stream, 0)
	configuration := journaler.NewFollower(s.log, configurator.Stream, configInterval, s.applyConfiguration)
	configuration.OnSkip = func() { s.settings.Enqueue(func(state *configState) { state.fold.Skip() }) }
	s.followers[configurator.Stream] = configuration
	s.followers[claimer.Stream] = s.claimer.Follower()
	s.followers[allocator.Stream] = s.limiter.Follower()
	s.followers[orderer.Stream] = s.orderer.Follower()
	s.followers[roller.Stream] = s.roller.Follower()
}

func (s *Server) appender(stream string, delay time.Duration) *journaler.Appender {
	appender := journaler.NewAppender(s.log, stream, s.budget, delay)
	s.appenders[stream] = appender
	return appender
}

func (s *Server) buildRouter() {
	s.router = router.New(router.Config{
		Zone:            s.config.Zone,
		State:           views{s},
		Pins:            pins{s},
		Signer:          pinner.NewSigner(s.config.ConversationKeys...),
		Watcher:         s.watcher,
		Sender:          s.sender,
		Admitter:        s.admitter,
		Limiter:         s.limiter,
		Claimer:         s.claimer,
		Biller:          s.biller,
		RetryBudget:     retrier.NewBudget(),
		Assessor:        s.assessor,
		Roller:          s.roller,
		Options:         s.config.Options,
		ObserveResponse: s.observed,
		Background:      func(work func()) { s.background.Go(work) },
		Seed:            s.config.Seed,
	})
	s.gateway = gateway.New(s.router, views{s}.Catalog, s.newID, s.config.MaxBody)
}

// newID returns an id that no other daemon and no earlier run of this one uses.
func (s *Server) newID() string {
	return s.holder + "/" + strconv.FormatUint(s.nextID.Add(1), 10)
}

// Addresses are the addresses that a daemon listens on.
type Addresses struct {
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort
}

// Addresses returns the addresses that the daemon listens on.
func (s *Server) Addresses() Addresses {
	return Addresses{
		Callers:   connector.Address(s.listeners.callers),
		Peers:     connector.Address(s.listeners.peers),
		Operators: connector.Address(s.listeners.operators),
		Metrics:   connector.Address(s.listeners.metrics),
	}
}

// Run serves until ctx ends, then stops in order: unready, drain, hand over,
// flush, leave. It returns after the last part has stopped.
func (s *Server) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(workCtx)
	s.startWork(groupCtx, group)
	s.startServers(group)
	s.logger.Info("daemon started", "name", s.config.Name, "zone", s.config.Zone, "callers", s.Addresses().Callers)
	select {
	case <-ctx.Done():
		s.shutdown(s.untilKilled(workCtx))
	case <-groupCtx.Done():
	case <-s.killed:
	}
	cancel()
	s.closeServers()
	err := group.Wait()
	s.background.Wait()
	s.release()
	s.logger.Info("daemon stopped", "name", s.config.Name)
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// startWork runs the loops of the daemon.
func (s *Server) startWork(ctx context.Context, group *errgroup.Group) {
	run := func(work func(context.Context) error) {
		group.Go(func() error { return work(ctx) })
	}
	for _, appender := range s.appenders {
		run(appender.Run)
	}
	for _, follower := range s.followers {
		run(follower.Run)
	}
	run(s.biller.Run)
	run(s.limiter.Run)
	run(s.assessor.Run)
	run(s.gossip)
	run(s.spreadNews)
	run(s.watchPlatform)
	run(s.watchEndpoints)
	run(s.maintain)
	run(s.orders)
	run(s.probeReturning)
}

const headerTimeout = 10 * time.Second

func (s *Server) startServers(group *errgroup.Group) {
	for _, serving := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{s.listeners.callers, s.gateway.Handler()},
		{s.listeners.peers, s.peerHandler()},
		{s.listeners.operators, s.operatorHandler()},
		{s.listeners.metrics, s.metricsHandler()},
	} {
		server := &http.Server{
			Handler:           serving.handler,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		s.servers = append(s.servers, server)
		if serving.listener == s.listeners.callers {
			s.callers = server
		}
		group.Go(func() error { return serveUntilClosed(server, serving.listener) })
	}
}

// serveUntilClosed serves until the server is closed, which is not an error:
// an error would end the whole group, and with it the parts that a graceful
// stop still needs.
func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) closeServers() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// release frees what the parts hold.
func (s *Server) release() {
	s.transport.CloseIdleConnections()
	s.sender.Close()
	s.settings.Stop()
	s.members.Stop()
	s.estimates.Stop()
	s.pins.Stop()
	s.system.Shutdown()
}

// untilKilled returns a context that also ends when the daemon is killed.
func (s *Server) untilKilled(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.background.Go(func() {
		defer cancel()
		select {
		case <-s.killed:
		case <-ctx.Done():
		}
	})
	return ctx
}

// Kill makes Run return without a graceful stop, as on a second signal.
func (s *Server) Kill() {
	s.killOnce.Do(func() { close(s.killed) })
}

// catalog returns the configuration in force, or nil.
func (s *Server) catalog() *compiler.Catalog { return s.settings.Snapshot().catalog }

// Revision returns the number of the revision in force; 0 for none.
func (s *Server) Revision() uint64 { return s.settings.Snapshot().revision.GetNumber() }

// Serving reports whether this daemon counts another as alive.
func (s *Server) Serving(name string) bool {
	member, known := s.member(name)
	return known && member.Serving()
}
