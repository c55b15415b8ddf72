// Package runner runs the daemon of an entry instance that forwards requests
// unchanged. The daemon follows the declarations, rollout orders and
// registrations that operators and endpoints write to the log, serves clients,
// and drains before it stops.
package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/drainer"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/keeper"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
	"quetzalgrade.example/quetzalgrade/internal/relayer"
	"quetzalgrade.example/quetzalgrade/internal/reserver"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// Translator decodes the records that operators and endpoints write, and the
// headers of requests and responses.
type Translator interface {
	forwarder.Codec
	// DecodeOperatorRecord decodes a record of the operators' topic. Exactly one
	// field of the result is set, or none if the daemon does not use this kind of
	// record.
	DecodeOperatorRecord(record subscriber.Record) (OperatorRecord, error)
	// DecodeRegistration decodes a record of the endpoints' topic.
	DecodeRegistration(record subscriber.Record) (tracker.Registration, error)
	// DecodeStatus decodes a record of the status topic. EncodeStatus encodes one.
	DecodeStatus(record subscriber.Record) (promoter.Status, error)
	EncodeStatus(status promoter.Status) (key string, value []byte, err error)
}

// WritableTopic is a keyed topic that daemons also write to.
type WritableTopic interface {
	subscriber.Source
	// Append adds a record.
	Append(ctx context.Context, key string, value []byte) error
	// AppendAt adds a record if the topic ends at the position. Otherwise, it returns
	// subscriber.ErrOffsetConflict.
	AppendAt(ctx context.Context, key string, value []byte, at subscriber.Position) error
}

// OperatorRecord is one record of the operators' topic.
type OperatorRecord struct {
	Declaration *matcher.Declaration
	// Keys are the API keys of a declaration that cannot be read as a whole, or nil if they cannot
	// be read either.
	Keys  *matcher.KeyList
	Order *promoter.Order
	// WithdrawnService is the service whose rollout order was withdrawn.
	WithdrawnService string
	// EvacuatedZone is an availability zone whose endpoints must get no requests,
	// ReturnedZone one whose evacuation was withdrawn.
	EvacuatedZone string
	ReturnedZone  string
}

// Dependencies are the parts of the process that a daemon uses.
type Dependencies struct {
	Network    connector.Network
	Translator Translator
	// OperatorTopic holds the records of operators, EndpointTopic the registrations
	// of endpoints. The daemon only reads them.
	OperatorTopic subscriber.Source
	EndpointTopic subscriber.Source
	// StatusTopic holds the states of rollouts, ResultsTopic the daemons' reports on
	// new versions.
	StatusTopic  WritableTopic
	ResultsTopic WritableTopic
	// ReaderTopic holds the zone reader of each zone.
	ReaderTopic WritableTopic
	// ContactTopic names one daemon of each zone, through which others join.
	ContactTopic WritableTopic
	Clock        subscriber.Clock
	LogOutput    io.Writer
	// Memory is the number of bytes that the process may use. If it is 0, DefaultMemory
	// applies.
	Memory int64
	// ReloadSignal yields a value when the settings may have changed. LoadSettings
	// reads them; if it is nil, settings are never reloaded.
	ReloadSignal <-chan struct{}
	LoadSettings func() (Settings, error)
}

const (
	// DefaultMemory is the number of bytes that a process may use unless told otherwise: it
	// fits the usual entry instance.
	DefaultMemory = 256 << 20
	// bodyShare is the share of the memory for the bodies of requests in progress. As much
	// again may be garbage.
	bodyShare = 0.3
)

const (
	// operatorReadWait is how long a read waits for a declaration, operatorReadSlack how
	// much longer its response may take. When the log is silent to the zone reader, the
	// daemons that read from it learn this after the two, and must still apply a
	// declaration in time.
	operatorReadWait  = 1000 * time.Millisecond
	operatorReadSlack = 400 * time.Millisecond
	// operatorBatchDelay is the pause after a read that returned declarations.
	operatorBatchDelay = 200 * time.Millisecond
	// readerSilenceShare is how long a zone reader may be silent, as a share of the time within
	// which a draining endpoint must get no more requests.
	// The rest is for one more exchange, the change of the reader and the read of the log.
	readerSilenceShare = 0.375
	// confirmAfter is the time after which a waiting read is backed by a second read
	// that does not wait.
	confirmAfter = 60 * time.Millisecond
	// sweepInterval is how often idle connections and sessions are removed.
	sweepInterval = time.Second
)

// Runner is one entry daemon.
type Runner struct {
	settings atomic.Pointer[Settings]
	deps     Dependencies
	logger   hclog.Logger
	noter    *noter.Noter

	system        *actor.ActorSystem
	operatorState *keeper.Keeper[operatorState, operatorSnapshot]
	operatorTopic *subscriber.Subscriber
	endpointTopic *subscriber.Subscriber
	rollouts      *rolloutManager
	relayer       *relayer.Relayer
	peers         *peers
	contacts      *contacts
	revisions     *revisions
	quarantine    *quarantiner.Quarantine
	crashReports  crashReports
	crashRecords  *crashRecords
	// ignoredRecords counts the operators' records that this daemon does not act on.
	ignoredRecords *metrics.Counter
	// readerSilences counts the exchanges with the zone reader that got no response.
	readerSilences *metrics.Counter
	// epoch is the log's epoch of the last change of the operators' topic, logRestores counts
	// its changes.
	epoch       atomic.Uint64
	logRestores *metrics.Counter
	// checkedZones are the evacuated zones that were known to checkEvacuations when it was
	// last called. Only sweep uses it.
	checkedZones map[string]int64
	// sharers are the names of the daemons among which limits were last divided. Only
	// sweep uses it.
	sharers []string
	// coldDivision is how what cold endpoints accept was last divided. Only sweep uses it.
	coldDivision coldDivision
	startedAt    time.Time
	tracker      *tracker.Tracker
	// bodies is the memory that the bodies of requests share.
	bodies    *reserver.Budget
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	metrics   *metrics.Set
	// stopTimes is set while the daemon stops.
	stopTimes    atomic.Pointer[stopTimes]
	listeners    listeners
	clientServer *http.Server
	drainer      *drainer.Drainer
	delay        *delayMeter
	// endRequests ends the clients' requests with a cause.
	endRequests  context.CancelCauseFunc
	otherServers []*http.Server
}

// New returns a daemon with open listeners. Run serves them. The error is that of
// a listener that could not be opened.
func New(settings Settings, deps Dependencies) (*Runner, error) {
	logOutput := noter.New(deps.LogOutput)
	r := &Runner{
		deps:      deps,
		noter:     logOutput,
		logger:    logOutput.Logger("entry", settings.LogLevel),
		system:    keeper.NewSystem(),
		metrics:   metrics.NewSet(),
		drainer:   drainer.New(),
		delay:     newDelayMeter(),
		startedAt: time.Now(),
	}
	r.settings.Store(&settings)
	memory := deps.Memory
	if memory <= 0 {
		memory = DefaultMemory
	}
	r.bodies = reserver.NewBudget(int64(bodyShare * float64(memory)))
	r.registerMetrics()
	if settings.DrainDeadline < minDrainDeadline {
		r.logger.Warn("the drain deadline is too short to be kept if the zone reader fails", "deadline", settings.DrainDeadline, "shortest", minDrainDeadline)
	}
	r.operatorState = keeper.New(r.system, newOperatorState(), (*operatorState).snapshot)
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(deps.Clock())))
	r.tracker = tracker.New(settings.Zone, random, time.Now, r.logger)
	codec := deps.Translator
	r.exchanger = exchanger.New(deps.Network, func(status int, response http.Header, id string) exchanger.Match {
		return matchResponse(codec.ParseResponse(status, response), status, id)
	})
	r.rollouts = newRolloutManager(r)
	r.forwarder = forwarder.New(forwarder.Dependencies{
		Codec:        codec,
		ControlPlane: r,
		Tracker:      r.tracker,
		Exchanger:    r.exchanger,
		Bodies:       r.bodies,
		RetryBudgets: forwarder.NewRetryBudgets(retryShare*settings.RetryRatio, retryBurst),
		Logger:       r.logger,
		Counters:     forwarder.NewCounters(r.metrics),
	})
	r.operatorTopic = subscriber.New("operator", deps.OperatorTopic, subscriber.ReadTiming{Wait: operatorReadWait, BatchDelay: operatorBatchDelay, Slack: operatorReadSlack}, deps.Clock, r.applyOperatorRecords, r.logger)
	r.endpointTopic = subscriber.New("endpoints", deps.EndpointTopic, endpointReadTiming(settings.DrainDeadline), deps.Clock, r.applyRegistrations, r.logger)
	r.quarantine = quarantiner.New(r.handleQuarantine)
	r.crashRecords = newCrashRecords(r)
	r.tracker.SetOutageGrace(r.remainingGrace)
	for _, topic := range []*subscriber.Subscriber{r.endpointTopic, r.rollouts.statusTopic, r.rollouts.resultsTopic} {
		topic.FollowOutages(r.operatorTopic)
	}
	r.interruptReads(r.operatorTopic, r.endpointTopic, r.rollouts.statusTopic, r.rollouts.resultsTopic)
	r.shareReads()
	r.contacts = newContacts(r)
	r.revisions = newRevisions(r)
	r.peers = newPeers(r, r.applyFacts)
	return r, r.listen()
}

// interruptReads makes the silence of the log to one topic's reads end the waiting reads of the
// others.
func (r *Runner) interruptReads(topics ...*subscriber.Subscriber) {
	for _, silent := range topics {
		silent.OnSilence(func() {
			for _, other := range topics {
				if other != silent {
					other.Interrupt()
				}
			}
		})
	}
}

// shareReads sets up the relayer, which lets the daemons of the zone share their
// reads of the log.
func (r *Runner) shareReads() {
	settings := r.settings.Load()
	r.relayer = relayer.New(relayer.Options{
		Zone:        settings.Zone,
		Self:        relayer.ZoneReader{Name: settings.Name, Address: settings.RelayAddress},
		ReaderTopic: r.deps.ReaderTopic,
		Network:     r.deps.Network,
		Clock:       r.deps.Clock,
		LoadTracker: r.tracker,
		MaxSilence:  time.Duration(readerSilenceShare * float64(settings.DrainDeadline)),
		HandleSilence: func() {
			r.readerSilences.Inc()
			r.endpointTopic.Recheck()
		},
		Logger: r.logger,
	})
	if settings.RelayAddress.IsValid() {
		r.relayer.ShareTopics(r.operatorTopic, r.endpointTopic, r.rollouts.statusTopic, r.rollouts.resultsTopic)
	}
}

const (
	// retryShare is the share of the allowed retries that a daemon uses, because the
	// retries of clients count too.
	retryShare = 0.85
	// retryBurst bounds the retries that a daemon accumulates for one service.
	retryBurst = 16
)

// matchResponse says whether a response belongs to the request with the id. Only a response
// that is not successful may lack an id.
func matchResponse(info forwarder.ResponseInfo, status int, requestID string) exchanger.Match {
	switch {
	case info.RequestID == requestID && requestID != "":
		return exchanger.Own
	case info.RequestID == "" && status >= http.StatusMultipleChoices:
		return exchanger.Anonymous
	default:
		return exchanger.Foreign
	}
}

// Run serves until ctx ends. Then it becomes unready, drains and closes. The error
// is that of the first part that failed.
func (r *Runner) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(workCtx)
	r.start(groupCtx, group)
	settings := r.settings.Load()
	r.logger.Info("daemon started", "name", settings.Name, "zone", settings.Zone, "callers", settings.ClientAddress, "metrics", settings.MetricsAddress, "store", settings.LogAddress)
	select {
	case <-ctx.Done():
		r.stop(workCtx)
	case <-groupCtx.Done():
	}
	r.logger.Info("daemon stopped", "name", settings.Name)
	cancel()
	for _, server := range r.otherServers {
		_ = server.Close()
	}
	_ = r.clientServer.Close()
	r.exchanger.Close()
	err := group.Wait()
	r.operatorState.Stop()
	r.peers.stop()
	r.system.Shutdown()
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// start runs the daemon's background tasks and servers in the group.
func (r *Runner) start(ctx context.Context, group *errgroup.Group) {
	run := func(task func(context.Context) error) {
		group.Go(func() error { return task(ctx) })
	}
	run(r.noter.Run)
	run(r.operatorTopic.Run)
	run(r.endpointTopic.Run)
	run(r.rollouts.run)
	run(r.sweep)
	run(r.delay.run)
	run(r.watchSettings)
	if r.listeners.relay != nil {
		run(r.relayer.Run)
		run(r.relayer.ShareLoads)
		run(r.contacts.run)
		run(r.crashRecords.run)
		run(r.peers.prober.Run)
		run(r.peers.prober.RunUrgent)
	}
	r.clientServer = r.newClientServer(ctx)
	r.serve(group, r.clientServer, r.drainer.Listen(r.listeners.clients))
	for _, handled := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{r.listeners.ready, http.HandlerFunc(r.handleReady)},
		{r.listeners.metrics, http.HandlerFunc(r.handleMetrics)},
		{r.listeners.relay, r.relayHandler()},
	} {
		if handled.listener == nil {
			continue
		}
		server := r.newServer(handled.handler)
		r.otherServers = append(r.otherServers, server)
		r.serve(group, server, handled.listener)
	}
}

// relayHandler returns the handler of requests from other daemons.
func (r *Runner) relayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", r.relayer.Handler())
	mux.Handle(r.peers.handler())
	return mux
}

// sweep closes idle connections and removes ended sessions until ctx ends.
func (r *Runner) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.exchanger.Sweep()
			r.rollouts.sweepSessions()
			r.peers.sweep()
			r.divideCold()
			r.divideLimits()
			r.checkEvacuations()
			r.quarantine.Sweep(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
