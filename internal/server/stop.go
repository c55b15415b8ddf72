package server

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
)

const (
	// unreadyDelay is how long a stopping daemon still accepts connections, so
	// that the load balancer sees that it is not ready before its sockets close.
	unreadyDelay = 3 * time.Second
	// handoverTimeout bounds the handover of state after the drain.
	handoverTimeout = 10 * time.Second
	// pinHandoverConcurrency is the number of pins handed over at once.
	pinHandoverConcurrency = 16
)

// shutdown stops the daemon gracefully: it becomes unready, announces that it is
// leaving, drains its requests, hands over its state and flushes its appends.
func (s *Server) shutdown(ctx context.Context) {
	s.logger.Info("stopping", "active", s.gateway.ActiveRequests())
	s.stopping.Store(true)
	s.gateway.DisableKeepAlives()
	s.prober.AnnounceLeaving(ctx)
	sleeper.Sleep(ctx, unreadyDelay)
	if !s.drainer.Drain(ctx, time.Now().Add(s.config.DrainTimeout)) {
		s.logger.Warn("drain timeout exceeded; aborting the remaining requests", "active", s.gateway.ActiveRequests())
	}
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.limiter.ReleaseAll()
	s.handOverPins(handoverCtx)
	s.flush(handoverCtx)
}

// flush appends the records that the log does not have yet. If that fails, it
// hands the unsaved bills over to another daemon.
func (s *Server) flush(ctx context.Context) {
	flushCtx, cancel := context.WithTimeout(ctx, handoverTimeout/2)
	defer cancel()
	group, groupCtx := errgroup.WithContext(flushCtx)
	for _, appender := range s.appenders {
		group.Go(func() error { return appender.Flush(groupCtx) })
	}
	if group.Wait() == nil {
		return
	}
	if !s.biller.HandOver(ctx) {
		s.logger.Error("no peer accepted all unsaved bills", "made", s.biller.Unsaved(), "copies", s.biller.Copies())
	}
}

// handOverPins copies this daemon's pins to the daemons that rendezvous hashing
// chooses for them once this daemon has left.
func (s *Server) handOverPins(ctx context.Context) {
	type pinEntry struct {
		key     pinner.Key
		version string
	}
	var entries []pinEntry
	_ = s.pins.Do(ctx, func(table *pinner.Table) {
		table.Range(time.Now(), func(key pinner.Key, version string) { entries = append(entries, pinEntry{key, version}) })
	})
	others := s.servingPeers()
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(pinHandoverConcurrency)
	for _, pinned := range entries {
		group.Go(func() error {
			ranked := gossiper.Rank(pinned.key.Account+"\x00"+pinned.key.Conversation, others)
			for _, holder := range ranked[:min(pinHolders, len(ranked))] {
				_, _ = pinPeers{s}.pinAt(groupCtx, holder, pinned.key, pinned.version, "")
			}
			return groupCtx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		s.logger.Warn("not all pins were handed over", "pins", len(entries))
	}
}

// ready reports whether the load balancer should send requests to this daemon,
// and the reason as text.
func (s *Server) ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case s.catalog() == nil:
		return false, "no configuration"
	case !s.limiter.Ready():
		return false, "no allocations of limits yet"
	default:
		return true, "ready"
	}
}

// metricsHandler returns the handler of the metrics, health and readiness paths.
func (s *Server) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := s.ready()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprintln(w, reason)
	})
	return mux
}

// registerMetrics registers the counters and gauges of the components.
func (s *Server) registerMetrics() {
	gauge := func(name string, value func() float64) { s.metrics.NewGauge("quetzalgrade_"+name, value) }
	count := func(name string, value func() uint64) { gauge(name, func() float64 { return float64(value()) }) }
	counts := s.router.Counters()
	count("requests_total", counts.Requests.Load)
	count("answered_total", counts.Completed.Load)
	count("failed_total", counts.Failed.Load)
	count("retries_total", counts.Retries.Load)
	count("hedges_total", counts.Hedges.Load)
	count("cascades_total", counts.Cascades.Load)
	count("escalations_total", counts.Escalations.Load)
	count("exposed_people_total", counts.ExposedUsers.Load)
	count("shadows_total", counts.Shadows.Load)
	count("replays_total", counts.Replays.Load)
	count("ejections_total", s.watcher.Ejections)
	count("ratings_dropped_total", s.assessor.Dropped)
	count("bills_made_total", func() uint64 { return s.biller.Counts().Created })
	count("bills_single_total", func() uint64 { return s.biller.Counts().Unreplicated })
	count("bills_adopted_total", func() uint64 { return s.biller.Counts().Adopted })
	count("shares_refused_total", func() uint64 { return s.limiter.Counts().Refused })
	count("orders_taken_total", func() uint64 { sent, _ := s.orderer.Counts(); return sent })
	count("orders_refused_total", func() uint64 { _, refused := s.orderer.Counts(); return refused })
	gauge("requests_active", func() float64 { return float64(s.gateway.ActiveRequests()) })
	gauge("bills_unsaved", func() float64 { return float64(s.biller.Unsaved()) })
	gauge("bills_copies", func() float64 { return float64(s.biller.Copies()) })
	gauge("claims_keys", func() float64 { return float64(s.claimer.Len()) })
	gauge("pins", func() float64 { return float64(*s.pins.Snapshot()) })
	gauge("revision", func() float64 { return float64(s.configuration.Snapshot().revision.GetNumber()) })
	gauge("members_serving", func() float64 { return float64(len(s.members.Snapshot().servingMembers())) })
	gauge("queue_waiting", func() float64 { _, waiting := s.admitter.Load(); return float64(waiting) })
	for kind := range s.gateway.ErrorCounts() {
		count(fmt.Sprintf("errors_total{kind=%q}", kind), func() uint64 { return s.gateway.ErrorCounts()[kind] })
	}
	for stream, appender := range s.appenders {
		count(fmt.Sprintf("appends_total{stream=%q}", stream), appender.Appends)
	}
	for stream, follower := range s.followers {
		count(fmt.Sprintf("reads_total{stream=%q}", stream), follower.Reads)
	}
}
