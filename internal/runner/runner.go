// Package runner runs the daemon of an entry instance that forwards requests
// unchanged: it follows what operators and endpoints write to the log, serves
// clients, and stops in order.
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
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/keeper"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/relayer"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// Translator reads what operators and endpoints write.
type Translator interface {
	forwarder.Codec
	// Declared reads a record of the operators' topic. Exactly one result is set
	// unless the record is of a kind that the daemon does not use.
	Declared(item subscriber.Record) (Declared, error)
	// Endpoint reads a record of the endpoints' topic.
	Endpoint(item subscriber.Record) (tracker.Registration, error)
	// Status reads a record of the topic of progress; EncodeStatus writes one.
	Status(item subscriber.Record) (promoter.Status, error)
	EncodeStatus(status promoter.Status) (key string, value []byte, err error)
}

// Board is a keyed topic that daemons write to.
type Board interface {
	subscriber.Source
	// Append adds a record.
	Append(ctx context.Context, key string, value []byte) error
	// AppendAt adds a record if the topic ends at the offset; the error is
	// subscriber.ErrMoved if it does not.
	AppendAt(ctx context.Context, key string, value []byte, at int64) error
}

// Declared is one record of the operators' topic.
type Declared struct {
	Declaration *matcher.Declaration
	Order       *promoter.Order
	// Withdrawn is the service whose order was dropped.
	Withdrawn string
}

// Process is what a daemon takes from its process.
type Process struct {
	Network    connector.Network
	Translator Translator
	// Operator and Endpoints are the topics to follow.
	Operator  subscriber.Source
	Endpoints subscriber.Source
	// Status holds the progress of roll-outs, Results what daemons hold against
	// new versions.
	Status  Board
	Results Board
	// Readers holds which daemon of a zone reads for the others.
	Readers Board
	Clock   subscriber.Clock
	Logs    io.Writer
	// Reload yields when the settings may have changed; Load reads them.
	Reload <-chan struct{}
	Load   func() (Settings, error)
}

const (
	// operatorWait is how long a read waits for a declaration. The age of the
	// proof of reading stays well under the time that a key may outlive its
	// withdrawal.
	operatorWait = 1700 * time.Millisecond
	// operatorPace is the pause after a declaration.
	operatorPace = 200 * time.Millisecond
	// endpointsWait is how long a read waits for a registration, paceOfLeave the
	// pause after one as a share of the time in which a leaving endpoint must get no
	// more work.
	endpointsWait = 10 * time.Second
	paceOfLeave   = 0.5
	// confirmTime is the time after which a long read is backed by a short one.
	confirmTime = 60 * time.Millisecond
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
)

// Runner is one entry daemon.
type Runner struct {
	settings atomic.Pointer[Settings]
	process  Process
	logger   hclog.Logger
	noter    *noter.Noter

	system      *actor.ActorSystem
	declaration *keeper.Keeper[declared, declaredView]
	declared    *subscriber.Subscriber
	registered  *subscriber.Subscriber
	rollouts    *rollouts
	relayer     *relayer.Relayer
	tracker     *tracker.Tracker
	exchanger   *exchanger.Exchanger
	forwarder   *forwarder.Forwarder
	metrics     *metrics.Set
	stopping    atomic.Bool
	listeners   listeners
	callers     *http.Server
	others      []*http.Server
}

// New builds a daemon and opens its listeners.
func New(settings Settings, process Process) (*Runner, error) {
	lines := noter.New(process.Logs)
	r := &Runner{
		process: process,
		noter:   lines,
		logger:  lines.Logger("entry", settings.Level),
		system:  keeper.NewSystem(),
		metrics: metrics.NewSet(),
	}
	r.settings.Store(&settings)
	r.registerMetrics()
	r.declaration = keeper.New(r.system, newDeclared(), (*declared).view)
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(process.Clock())))
	r.tracker = tracker.New(settings.Zone, random, time.Now, r.logger)
	codec := process.Translator
	r.exchanger = exchanger.New(process.Network, func(status int, answer, request http.Header) bool {
		return owns(codec.ParseResponse(status, answer), status, codec.ParseResponse(0, request).RequestID)
	})
	r.rollouts = newRollouts(r)
	r.forwarder = forwarder.New(forwarder.Dependencies{
		Codec:        codec,
		ControlPlane: r,
		Tracker:      r.tracker,
		Exchanger:    r.exchanger,
		RetryBudgets: forwarder.NewRetryBudgets(repeatShare*settings.Repeats, repeatBurst),
		Logger:       r.logger,
		Counters:     forwarder.NewCounters(r.metrics),
	})
	r.declared = subscriber.New("operator", process.Operator, subscriber.ReadTiming{Wait: operatorWait, BatchDelay: operatorPace}, process.Clock, r.takeDeclared, r.logger)
	registered := subscriber.ReadTiming{
		Wait:         endpointsWait,
		BatchDelay:   time.Duration(paceOfLeave * float64(settings.Leave)),
		ConfirmAfter: confirmTime,
	}
	r.registered = subscriber.New("endpoints", process.Endpoints, registered, process.Clock, r.takeRegistered, r.logger)
	r.share()
	return r, r.listen()
}

// share lets the daemons of the zone read for each other.
func (r *Runner) share() {
	settings := r.settings.Load()
	r.relayer = relayer.New(relayer.Options{
		Zone:      settings.Zone,
		Self:      relayer.Record{Name: settings.Name, Address: settings.Relay},
		Board:     r.process.Readers,
		Client:    &http.Client{Transport: connector.NewTransport(r.process.Network)},
		Clock:     r.process.Clock,
		Endpoints: r.tracker,
		Logger:    r.logger,
	})
	if settings.Relay.IsValid() {
		r.relayer.Share(r.declared, r.registered, r.rollouts.status, r.rollouts.results)
	}
}

const (
	// repeatShare is the share of the allowed repeats that a daemon uses, since
	// those of clients count too.
	repeatShare = 0.85
	// repeatBurst bounds the repeats that a daemon saves up for one service.
	repeatBurst = 16
)

// owns reports whether an answer belongs to the request. Only a refusal may
// come without an id.
func owns(notes forwarder.ResponseInfo, status int, id string) bool {
	if notes.RequestID == "" {
		return status >= http.StatusMultipleChoices
	}
	return notes.RequestID == id
}

// Run serves until ctx ends, then stops in order: unready, drain, close.
func (r *Runner) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(work)
	r.start(groupCtx, group)
	settings := r.settings.Load()
	r.logger.Info("daemon started", "name", settings.Name, "zone", settings.Zone, "callers", settings.Callers, "metrics", settings.Metrics, "store", settings.Store)
	select {
	case <-ctx.Done():
		r.stop(work)
	case <-groupCtx.Done():
	}
	r.logger.Info("daemon stopped", "name", settings.Name)
	cancel()
	for _, serving := range r.others {
		_ = serving.Close()
	}
	_ = r.callers.Close()
	r.exchanger.Close()
	err := group.Wait()
	r.declaration.Stop()
	r.system.Shutdown()
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// start runs the parts.
func (r *Runner) start(ctx context.Context, group *errgroup.Group) {
	run := func(part func(context.Context) error) {
		group.Go(func() error { return part(ctx) })
	}
	run(r.noter.Run)
	run(r.declared.Run)
	run(r.registered.Run)
	run(r.rollouts.run)
	run(r.sweep)
	run(r.reload)
	if r.listeners.relay != nil {
		run(r.relayer.Run)
		run(r.relayer.ShareLoads)
	}
	r.callers = r.server(r.forwarder)
	r.serve(group, r.callers, r.listeners.callers)
	path, relay := r.relayer.Handler()
	relays := http.NewServeMux()
	relays.Handle(path, relay)
	for _, serving := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{r.listeners.ready, http.HandlerFunc(r.answerReady)},
		{r.listeners.metrics, http.HandlerFunc(r.answerMetrics)},
		{r.listeners.relay, relays},
	} {
		if serving.listener == nil {
			continue
		}
		other := r.server(serving.handler)
		r.others = append(r.others, other)
		r.serve(group, other, serving.listener)
	}
}

// sweep closes connections and forgets sessions that were idle for too long.
func (r *Runner) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.exchanger.Sweep()
			r.rollouts.sweep()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
