package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// listeners are the listening sockets of a daemon.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	metrics net.Listener
	// relay serves the other daemons of the zone. It is nil if the daemon does not
	// share its reads of the log.
	relay net.Listener
}

// listen opens the listeners at the addresses of the settings.
func (r *Runner) listen() error {
	var err error
	if r.listeners.clients, err = r.deps.Network.Listen(r.settings.Load().ClientAddress); err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	if r.listeners.ready, err = r.deps.Network.Listen(r.settings.Load().ReadyAddress); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if r.listeners.metrics, err = r.deps.Network.Listen(r.settings.Load().MetricsAddress); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	if relay := r.settings.Load().RelayAddress; relay.IsValid() {
		if r.listeners.relay, err = r.deps.Network.Listen(relay); err != nil {
			return errors.Wrap(err, "listen for other daemons")
		}
	}
	return nil
}

const (
	// headerTimeout bounds the time to read a request's header. idleTimeout bounds
	// the time that a client's connection may be idle.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

// newServer returns a server that has the daemon's timeouts and logs its errors
// at debug level.
func (r *Runner) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          r.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// newClientServer returns the server of the clients' requests, whose contexts end with ctx or
// by endRequests.
func (r *Runner) newClientServer(ctx context.Context) *http.Server {
	ctx, r.endRequests = context.WithCancelCause(ctx)
	server := r.newServer(r.forwarder)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	r.drainer.Watch(server)
	return server
}

// serve runs the server in the group until the server is closed, or its listener in a
// planned stop.
func (r *Runner) serve(group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || r.stopTimes.Load() != nil {
			return nil
		}
		return err
	})
}

// handleReady responds to the load balancer's readiness probe. The daemon is
// ready while it has a fresh declaration and is not stopping.
func (r *Runner) handleReady(writer http.ResponseWriter, _ *http.Request) {
	view := r.View()
	if view.Draining || view.Table == nil || !view.Fresh {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

// registerMetrics registers the gauges that are read from the daemon's parts, and the counters
// that no part has.
func (r *Runner) registerMetrics() {
	gauge := func(name string, value func() float64) { r.metrics.NewGauge(name, value) }
	gauge("log_lines_dropped", func() float64 { return float64(r.noter.Dropped()) })
	gauge("operator_proof_age_seconds", func() float64 { return r.View().Age.Seconds() })
	gauge("operator_reads", func() float64 { return float64(r.operatorTopic.Reads()) })
	gauge("endpoint_reads", func() float64 { return float64(r.endpointTopic.Reads()) })
	gauge("relayed_reads", func() float64 { return float64(r.relayer.RelayedReads()) })
	gauge("scheduling_delay_seconds", func() float64 { return r.delay.delay().Seconds() })
	gauge("requests_of_gone_clients", func() float64 { return float64(r.drainer.Counts().Gone) })
	gauge("body_bytes", func() float64 { return float64(r.bodies.Used()) })
	gauge("endpoints", func() float64 { endpoints, _ := r.tracker.Counts(); return float64(endpoints) })
	gauge("ejections", func() float64 { _, ejections := r.tracker.Counts(); return float64(ejections) })
	gauge("evacuated_zones", func() float64 { return float64(len(r.operatorState.Snapshot().evacuated)) })
	r.ignoredRecords = r.metrics.NewCounter("ignored_operator_records_total")
	r.readerSilences = r.metrics.NewCounter("reader_silences_total")
	r.logRestores = r.metrics.NewCounter("log_restores_total")
	gauge("log_lost_keys", func() float64 { return float64(r.lostKeys()) })
	gauge("log_epoch", func() float64 { return float64(r.logEpoch()) })
	gauge("members_serving", func() float64 { return float64(len(r.peers.serving())) })
	gauge("limited_endpoints", func() float64 { return float64(r.tracker.LimitedEndpoints()) })
	gauge("cold_endpoints", func() float64 { return float64(r.tracker.ColdEndpoints()) })
	gauge("suspected_parts", func() float64 { suspects, _ := r.quarantine.Counts(); return float64(suspects) })
	gauge("suspected_requests", func() float64 { suspects, _ := r.quarantine.RequestCounts(); return float64(suspects) })
	gauge("quarantined_requests", func() float64 { _, quarantined := r.quarantine.RequestCounts(); return float64(quarantined) })
	gauge("quarantined_parts", func() float64 { _, quarantined := r.quarantine.Counts(); return float64(quarantined) })
	gauge("connections_opened", func() float64 { return float64(r.exchanger.Counts().Opened) })
	gauge("foreign_answers", func() float64 { return float64(r.exchanger.Counts().Skipped) })
	gauge("connections_passed_over", func() float64 { return float64(r.exchanger.Counts().PassedOver) })
}

// lostKeys returns the number of keys of which the log has lost the newest record, in all topics.
func (r *Runner) lostKeys() int {
	lost := 0
	for _, topic := range []*subscriber.Subscriber{r.operatorTopic, r.endpointTopic, r.rollouts.statusTopic, r.rollouts.resultsTopic} {
		lost += topic.LostKeys()
	}
	return lost
}

// handleMetrics writes the metrics of the daemon and of its process.
func (r *Runner) handleMetrics(writer http.ResponseWriter, _ *http.Request) {
	r.metrics.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// ClientAddress returns the address that clients connect to.
func (r *Runner) ClientAddress() netip.AddrPort {
	return connector.ListenerAddress(r.listeners.clients)
}

// EndpointCount returns the number of known endpoints.
func (r *Runner) EndpointCount() int {
	endpoints, _ := r.tracker.Counts()
	return endpoints
}
