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
	"quetzalgrade.example/quetzalgrade/internal/drainer"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/gateway"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/internal/keeper"
	"quetzalgrade.example/quetzalgrade/internal/limiter"
	"quetzalgrade.example/quetzalgrade/internal/orderer"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/internal/prober"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
	"quetzalgrade.example/quetzalgrade/internal/roller"
	"quetzalgrade.example/quetzalgrade/internal/router"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

const (
	// configReadInterval is how often the daemon reads the configuration stream.
	// A rumour of a newer revision triggers an earlier read.
	configReadInterval = time.Second
	claimReadInterval  = 2 * time.Second
	grantReadInterval  = time.Second
	// evidenceReadInterval is how often the daemon reads evidence, and
	// evidenceAppendDelay is how long evidence waits to be batched with other
	// records in one append.
	evidenceReadInterval = 2 * time.Second
	evidenceAppendDelay  = 3 * time.Second
	billAppendDelay      = 2 * time.Second
	leaseReadInterval    = 2 * time.Second
	// reconcileInterval is how often the daemon compares the engines with their
	// declared versions.
	reconcileInterval = 2 * time.Second
	grantAppendDelay  = time.Second
	// claimWindowFraction is the fraction of the log's retention for which an
	// idempotency key is remembered.
	claimWindowFraction = 0.5
	pinTTL              = 24 * time.Hour
	maxPins             = 100_000
)

// Server is the daemon of one entry instance.
type Server struct {
	config Config
	logger hclog.Logger
	// daemonID identifies this incarnation of the daemon: its name and its
	// incarnation number, separated by a slash.
	daemonID string
	nextID   atomic.Uint64

	system        *actor.ActorSystem
	configuration *keeper.Keeper[configState, configSnapshot]
	members       *keeper.Keeper[gossiper.Membership, memberSnapshot]
	estimates     *keeper.Keeper[estimator.Table, estimator.Snapshot]
	pins          *keeper.Keeper[pinner.Table, int]
	peers         *peerClients
	prober        *prober.Prober
	transport     *connector.Transport
	singleUse     *http.Client // for orders to endpoints and reads of their load
	log           *journaler.Client
	appendBudget  *rate.Limiter
	appenders     map[string]*journaler.Appender
	followers     map[string]*journaler.Follower
	watcher       *watcher.Watcher
	sender        *sender.Sender
	admitter      *admitter.Admitter
	limiter       *limiter.Limiter
	claimer       *claimer.Claimer
	biller        *biller.Biller
	assessor      *assessor.Assessor
	roller        *roller.Roller
	orderer       *orderer.Orderer
	router        *router.Router
	gateway       *gateway.Gateway
	metrics       *metrics.Set
	stopping      atomic.Bool
	dueChanges    map[string]time.Time
	listeners     listeners
	servers       []*http.Server
	// drainer keeps track of the connections of clients.
	drainer    *drainer.Drainer
	background sync.WaitGroup
	// appliedRevision is the number of the newest revision that
	// updateConfiguration has handled.
	appliedRevision atomic.Uint64
	killed          chan struct{}
	killOnce        sync.Once
}

// listeners holds the listening sockets of a daemon.
type listeners struct {
	clients   net.Listener
	peers     net.Listener
	operators net.Listener
	metrics   net.Listener
}

// New builds a daemon and opens its listeners. The daemon does not serve before
// Run. New returns an error if it cannot open a listener.
func New(config Config) (*Server, error) {
	s := &Server{
		config:       config,
		logger:       config.Logger.Named("server"),
		daemonID:     config.Name + "/" + strconv.FormatUint(config.Incarnation, 10),
		transport:    connector.NewTransport(config.Network),
		singleUse:    &http.Client{Transport: connector.NewSingleUseTransport(config.Network)},
		appendBudget: rate.NewLimiter(rate.Limit(config.AppendsPerSecond), 1),
		appenders:    map[string]*journaler.Appender{},
		followers:    map[string]*journaler.Follower{},
		watcher:      watcher.New(),
		admitter:     admitter.New(config.MaxConcurrentRequests, admitter.Options{}),
		metrics:      metrics.NewSet(),
		dueChanges:   map[string]time.Time{},
		killed:       make(chan struct{}),
		drainer:      drainer.New(),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.buildState()
	s.buildComponents()
	s.buildRouter()
	s.registerMetrics()
	return s, nil
}

func (s *Server) listen() error {
	for _, socket := range []struct {
		name   string
		addr   netip.AddrPort
		target *net.Listener
	}{
		{"callers", s.config.ClientAddr, &s.listeners.clients},
		{"peers", s.config.PeerAddr, &s.listeners.peers},
		{"operators", s.config.OperatorAddr, &s.listeners.operators},
		{"metrics", s.config.MetricsAddr, &s.listeners.metrics},
	} {
		listener, err := s.config.Network.Listen(socket.addr)
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "listen for %s", socket.name)
		}
		*socket.target = listener
	}
	return nil
}

func (s *Server) closeListeners() {
	for _, listener := range []net.Listener{s.listeners.clients, s.listeners.peers, s.listeners.operators, s.listeners.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// buildState starts the actors that own the state of the daemon.
func (s *Server) buildState() {
	s.system = keeper.NewSystem()
	s.configuration = keeper.New(s.system, newConfigState(), (*configState).snapshot)
	self := gossiper.Member{
		Name:        s.config.Name,
		Zone:        s.config.Zone,
		Address:     connector.ListenerAddress(s.listeners.peers),
		Incarnation: s.config.Incarnation,
	}
	s.members = keeper.New(s.system, gossiper.New(self), newMemberSnapshot)
	s.estimates = keeper.New(s.system, estimator.New(), (*estimator.Table).Snapshot)
	s.pins = keeper.New(s.system, pinner.NewTable(pinTTL, maxPins), countPins)
	s.peers = newPeerClients(s.transport, s.config.PeerTokens)
	s.prober = s.newProber()
}

func (s *Server) buildComponents() {
	c := s.config
	client := &http.Client{Transport: s.transport}
	s.log = journaler.NewClient(client, c.LogAddr)
	s.sender = sender.New(c.Network, s.watcher.RecordLoadReport)
	s.watcher.OnDraining = s.announceDrainingEndpoint
	s.assessor = assessor.New(client, c.RatingAddr, s.recordRating)
	s.claimer = claimer.New(s.daemonID, s.newID, s.newAppender(claimer.Stream, grantAppendDelay), s.log, claimReadInterval, time.Duration(claimWindowFraction*float64(c.Retention)))
	s.limiter = limiter.New(s.daemonID, s.newID, s.newAppender(allocator.Stream, grantAppendDelay), s.log, grantReadInterval, limiterPeers{s})
	s.biller = biller.New(s.newAppender(biller.Stream, billAppendDelay), billPeers{s}, c.MaxBills)
	s.roller = roller.New(s.daemonID, s.newID, s.newAppender(roller.Stream, evidenceAppendDelay), s.log, evidenceReadInterval, s.stopVersion)
	s.orderer = orderer.New(s.daemonID, c.Zone, s.newID, s.singleUse, s.newAppender(orderer.Stream, 0), s.log, leaseReadInterval)
	s.newAppender(configurator.Stream, 0)
	configuration := journaler.NewFollower(s.log, configurator.Stream, configReadInterval, s.applyConfigurationRecords)
	configuration.OnGap = func() { s.configuration.Enqueue(func(state *configState) { state.revisions.MarkGap() }) }
	s.followers[configurator.Stream] = configuration
	s.followers[claimer.Stream] = s.claimer.Follower()
	s.followers[allocator.Stream] = s.limiter.Follower()
	s.followers[orderer.Stream] = s.orderer.Follower()
	s.followers[roller.Stream] = s.roller.Follower()
}

// newAppender returns an appender that startLoops will run.
func (s *Server) newAppender(stream string, delay time.Duration) *journaler.Appender {
	appender := journaler.NewAppender(s.log, stream, s.appendBudget, delay)
	s.appenders[stream] = appender
	return appender
}

func (s *Server) buildRouter() {
	s.router = router.New(router.Config{
		Zone:            s.config.Zone,
		State:           routerViews{s},
		Pins:            pinPeers{s},
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
		Options:         s.config.RouterOptions,
		ObserveResponse: s.recordCompletion,
		Background:      func(work func()) { s.background.Go(work) },
		Seed:            s.config.RandomSeed,
	})
	s.gateway = gateway.New(s.router, routerViews{s}.Catalog, s.newID, s.config.MaxBodyBytes)
}

// newID returns an id that is unique among all daemons and their incarnations.
func (s *Server) newID() string {
	return s.daemonID + "/" + strconv.FormatUint(s.nextID.Add(1), 10)
}

// Addresses holds the addresses that a daemon listens on.
type Addresses struct {
	Clients   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort
}

// Addresses returns the addresses that the daemon listens on.
func (s *Server) Addresses() Addresses {
	return Addresses{
		Clients:   connector.ListenerAddress(s.listeners.clients),
		Peers:     connector.ListenerAddress(s.listeners.peers),
		Operators: connector.ListenerAddress(s.listeners.operators),
		Metrics:   connector.ListenerAddress(s.listeners.metrics),
	}
}

// Run serves until ctx ends and then stops gracefully: the daemon becomes
// unready, announces that it is leaving, drains its requests, hands over its
// state and flushes its appends. Run returns after the last component has
// stopped. A stop because of ctx or Kill is not an error.
func (s *Server) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(workCtx)
	s.startLoops(groupCtx, group)
	s.startServers(group)
	s.logger.Info("daemon started", "name", s.config.Name, "zone", s.config.Zone, "callers", s.Addresses().Clients)
	select {
	case <-ctx.Done():
		s.shutdown(s.cancelOnKill(workCtx))
	case <-groupCtx.Done():
	case <-s.killed:
	}
	cancel()
	s.closeServers()
	err := group.Wait()
	s.background.Wait()
	s.closeComponents()
	s.logger.Info("daemon stopped", "name", s.config.Name)
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// startLoops starts the background loops of the daemon.
func (s *Server) startLoops(ctx context.Context, group *errgroup.Group) {
	run := func(loop func(context.Context) error) {
		group.Go(func() error { return loop(ctx) })
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
	run(s.prober.Run)
	run(s.prober.RunUrgent)
	run(s.pollInstanceList)
	run(s.pollEndpointLoads)
	run(s.runMaintenance)
	run(s.reconcileEngines)
	run(s.probeRecovering)
}

const headerTimeout = 10 * time.Second

func (s *Server) startServers(group *errgroup.Group) {
	for _, spec := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{s.listeners.clients, s.gateway.Handler()},
		{s.listeners.peers, s.peerHandler()},
		{s.listeners.operators, s.operatorHandler()},
		{s.listeners.metrics, s.metricsHandler()},
	} {
		server := &http.Server{
			Handler:           spec.handler,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		s.servers = append(s.servers, server)
		listener := spec.listener
		if listener == s.listeners.clients {
			s.drainer.Watch(server)
			listener = s.drainer.Listen(listener)
		}
		group.Go(func() error { return serveUntilClosed(server, listener) })
	}
}

// serveUntilClosed serves until the server or its listener is closed. It returns nil then, since
// an error would cancel the whole group and with it the components that a
// graceful stop still needs.
func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *Server) closeServers() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// closeComponents releases the connections and actors of the components.
func (s *Server) closeComponents() {
	s.transport.CloseIdleConnections()
	s.configuration.Stop()
	s.members.Stop()
	s.estimates.Stop()
	s.pins.Stop()
	s.system.Shutdown()
}

// cancelOnKill returns a context that also ends when the daemon is killed.
func (s *Server) cancelOnKill(ctx context.Context) context.Context {
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

// Kill makes Run return without completing a graceful stop, as on a second
// signal. It is safe to call it more than once.
func (s *Server) Kill() {
	s.killOnce.Do(func() { close(s.killed) })
}

// catalog returns the compiled configuration in force, or nil if there is none.
func (s *Server) catalog() *compiler.Catalog { return s.configuration.Snapshot().catalog }

// Revision returns the number of the revision in force, or 0 if there is none.
func (s *Server) Revision() uint64 { return s.configuration.Snapshot().revision.GetNumber() }

// IsMemberServing reports whether this daemon regards the named member as serving.
func (s *Server) IsMemberServing(name string) bool {
	member, found := s.memberByName(name)
	return found && member.Serving()
}
