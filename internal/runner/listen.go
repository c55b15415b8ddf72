package runner

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

type listeners struct {
	callers net.Listener
	ready   net.Listener
	metrics net.Listener
	// relay is nil for a daemon that reads alone.
	relay net.Listener
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
	if relay := r.settings.Load().Relay; relay.IsValid() {
		if r.listeners.relay, err = r.process.Network.Listen(relay); err != nil {
			return errors.Wrap(err, "listen for other daemons")
		}
	}
	return nil
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

// answerReady tells the balancer whether the daemon takes connections.
func (r *Runner) answerReady(writer http.ResponseWriter, _ *http.Request) {
	view := r.View()
	if view.Draining || view.Table == nil || !view.Fresh {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

func (r *Runner) registerMetrics() {
	gauge := func(name string, value func() float64) { r.metrics.NewGauge(name, value) }
	gauge("log_lines_dropped", func() float64 { return float64(r.noter.Dropped()) })
	gauge("operator_proof_age_seconds", func() float64 { return r.View().Age.Seconds() })
	gauge("operator_reads", func() float64 { return float64(r.declared.Reads()) })
	gauge("endpoint_reads", func() float64 { return float64(r.registered.Reads()) })
	gauge("relayed_reads", func() float64 { return float64(r.relayer.Relayed()) })
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
func (r *Runner) Callers() netip.AddrPort { return connector.ListenerAddress(r.listeners.callers) }

// Endpoints returns the number of endpoints that are known.
func (r *Runner) Endpoints() int {
	endpoints, _ := r.tracker.Counts()
	return endpoints
}
