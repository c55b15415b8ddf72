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
	"net/netip"
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
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// Translator reads what operators and endpoints write.
type Translator interface {
	forwarder.Codec
	// Declared reads a record of the operators' topic. Exactly one result is set
	// unless the record is of a kind that the daemon does not use.
	Declared(item subscriber.Item) (Declared, error)
	// Endpoint reads a record of the endpoints' topic.
	Endpoint(item subscriber.Item) (tracker.Registration, error)
	// Status reads a record of the topic of progress; EncodeStatus writes one.
	Status(item subscriber.Item) (promoter.Status, error)
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
	// endpointsWait is how long a read waits for a registration, endpointsPace the
	// pause after one; it is well under the time in which a leaving endpoint must
	// get no more work.
	endpointsWait = 10 * time.Second
	endpointsPace = 800 * time.Millisecond
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
	tracker     *tracker.Tracker
	exchanger   *exchanger.Exchanger
	forwarder   *forwarder.Forwarder
	metrics     *metrics.Set
	stopping    atomic.Bool
	listeners   listeners
	callers     *http.Server
	others      []*http.Server
}

type listeners struct {
	callers net.Listener
	ready   net.Listener
	metrics net.Listener
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
		return owns(codec.Notes(status, answer), status, codec.Notes(0, request).ID)
	})
	r.rollouts = newRollouts(r)
	r.forwarder = forwarder.New(forwarder.Parts{
		Codec:     codec,
		Believer:  r,
		Tracker:   r.tracker,
		Exchanger: r.exchanger,
		Budgets:   forwarder.NewBudgets(repeatShare*settings.Repeats, repeatBurst),
		Logger:    r.logger,
		Counters:  forwarder.NewCounters(r.metrics),
	})
	r.declared = subscriber.New("operator", process.Operator, subscriber.Times{Wait: operatorWait}, process.Clock, r.takeDeclared, r.logger)
	r.registered = subscriber.New("endpoints", process.Endpoints, subscriber.Times{Wait: endpointsWait, Pace: endpointsPace, Confirm: confirmTime}, process.Clock, r.takeRegistered, r.logger)
	return r, r.listen()
}

const (
	// repeatShare is the share of the allowed repeats that a daemon uses, since
	// those of clients count too.
	repeatShare = 0.85
	// repeatBurst bounds the repeats that a daemon saves up for one service.
	repeatBurst = 10
)

// owns reports whether an answer belongs to the request. Only a refusal may
// come without an id.
func owns(notes forwarder.Notes, status int, id string) bool {
	if notes.ID == "" {
		return status >= http.StatusMultipleChoices
	}
	return notes.ID == id
}

func (r *Runner) listen() error {
	var err error
	if r.listeners.callers, err = r.process.Network.Listen(r.settings.Load().Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if r.listeners.ready, err = r.process.Network.Listen(r.settings.Load().Ready); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if r.listeners.metrics, err = r.process.Network.Listen(r.settings.Load().Metrics); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	return nil
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
	r.callers = r.server(r.forwarder)
	r.serve(group, r.callers, r.listeners.callers)
	for _, serving := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{r.listeners.ready, http.HandlerFunc(r.answerReady)},
		{r.listeners.metrics, http.HandlerFunc(r.answerMetrics)},
	} {
		other := r.server(serving.handler)
		r.others = append(r.others, other)
		r.serve(group, other, serving.listener)
	}
}

const (
	// headerTimeout bounds the time to read a header, idleTimeout the time that a
	// client's connection may be idle.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	maxHeader     = 64 << 10
)

func (r *Runner) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          r.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func (r *Runner) serve(group *errgroup.Group, serving *http.Server, listener net.Listener) {
	group.Go(func() error {
		if err := serving.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
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

// answerReady tells the balancer whether the daemon takes connections.
func (r *Runner) answerReady(writer http.ResponseWriter, _ *http.Request) {
	view := r.View()
	if view.Stopping || view.Table == nil || !view.Fresh {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

func (r *Runner) registerMetrics() {
	gauge := func(name string, value func() float64) { r.metrics.NewGauge(name, value) }
	gauge("log_lines_dropped", func() float64 { return float64(r.noter.Dropped()) })
	gauge("operator_proof_age_seconds", func() float64 { return r.View().Age.Seconds() })
	gauge("operator_reads", func() float64 { return float64(r.declared.Calls()) })
	gauge("endpoint_reads", func() float64 { return float64(r.registered.Calls()) })
	gauge("endpoints", func() float64 { endpoints, _ := r.tracker.Counts(); return float64(endpoints) })
	gauge("ejections", func() float64 { _, ejections := r.tracker.Counts(); return float64(ejections) })
	gauge("connections_opened", func() float64 { opened, _ := r.exchanger.Counts(); return float64(opened) })
	gauge("foreign_answers", func() float64 { _, strays := r.exchanger.Counts(); return float64(strays) })
}

func (r *Runner) answerMetrics(writer http.ResponseWriter, _ *http.Request) {
	r.metrics.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// Callers returns the address that clients connect to.
func (r *Runner) Callers() netip.AddrPort { return connector.Address(r.listeners.callers) }

// Endpoints returns the number of endpoints that are known.
func (r *Runner) Endpoints() int {
	endpoints, _ := r.tracker.Counts()
	return endpoints
}
