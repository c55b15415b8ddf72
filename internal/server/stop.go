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
)

const (
	// unreadyTime is how long a stopping daemon still serves, so that the
	// balancer sees that it is not ready before its sockets close.
	unreadyTime = 3 * time.Second
	// handOverTime bounds the hand-over of state after the drain.
	handOverTime = 10 * time.Second
	// farewells is the number of members that a leaving daemon tells itself.
	farewells = 3
	// pinCopies is the number of pins handed over at once.
	pinCopies = 16
)

// shutdown stops the daemon in order: unready, drain, hand over, flush, leave.
func (s *Server) shutdown(ctx context.Context) {
	s.logger.Info("stopping", "active", s.gateway.Active())
	s.stopping.Store(true)
	s.gateway.Stop()
	s.sayLeaving(ctx)
	pause(ctx, unreadyTime)
	drainCtx, cancel := context.WithTimeout(ctx, s.config.Drain)
	if err := s.callers.Shutdown(drainCtx); err != nil {
		s.logger.Warn("drain time is over; requests are cut", "active", s.gateway.Active())
	}
	cancel()
	handCtx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	s.limiter.ReleaseAll()
	s.handOverPins(handCtx)
	s.flush(handCtx)
}

// sayLeaving tells some members that this daemon leaves; they spread it.
func (s *Server) sayLeaving(ctx context.Context) {
	_ = s.members.Do(ctx, func(state *gossiper.Membership) { state.AnnounceDraining() })
	told := 0
	for _, member := range gossiper.Rank("leave/"+s.config.Name, s.others()) {
		if told == farewells {
			return
		}
		if s.probe(ctx, member, false) == nil {
			told++
		}
	}
}

// flush writes what the log does not have. Bills that it does not take go to
// another daemon.
func (s *Server) flush(ctx context.Context) {
	flushCtx, cancel := context.WithTimeout(ctx, handOverTime/2)
	defer cancel()
	group, groupCtx := errgroup.WithContext(flushCtx)
	for _, appender := range s.appenders {
		group.Go(func() error { return appender.Flush(groupCtx) })
	}
	if group.Wait() == nil {
		return
	}
	if !s.biller.HandOver(ctx) {
		s.logger.Error("bills found no other holder", "made", s.biller.Unsaved(), "copies", s.biller.Copies())
	}
}

// handOverPins copies this daemon's pins to the daemons that hold them next.
func (s *Server) handOverPins(ctx context.Context) {
	type entry struct {
		key     pinner.Key
		version string
	}
	var entries []entry
	_ = s.pins.Do(ctx, func(table *pinner.Table) {
		table.Range(time.Now(), func(key pinner.Key, version string) { entries = append(entries, entry{key, version}) })
	})
	others := s.others()
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(pinCopies)
	for _, known := range entries {
		group.Go(func() error {
			ranked := gossiper.Rank(known.key.Account+"\x00"+known.key.Conversation, others)
			for _, holder := range ranked[:min(pinHolders, len(ranked))] {
				_, _ = pins{s}.at(groupCtx, holder, known.key, known.version, "")
			}
			return groupCtx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		s.logger.Warn("not all pins were handed over", "pins", len(entries))
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ready reports whether the balancer should send requests here, and why not.
func (s *Server) ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case s.catalog() == nil:
		return false, "no configuration"
	case !s.limiter.Ready():
		return false, "no shares of limits yet"
	default:
		return true, "ready"
	}
}

// metricsHandler serves metrics, health and readiness.
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
		ready, why := s.ready()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprintln(w, why)
	})
	return mux
}

// registerMetrics exposes the parts' counters.
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
	gauge("requests_active", func() float64 { return float64(s.gateway.Active()) })
	gauge("bills_unsaved", func() float64 { return float64(s.biller.Unsaved()) })
	gauge("bills_copies", func() float64 { return float64(s.biller.Copies()) })
	gauge("claims_keys", func() float64 { return float64(s.claimer.Len()) })
	gauge("pins", func() float64 { return float64(*s.pins.Snapshot()) })
	gauge("revision", func() float64 { return float64(s.settings.Snapshot().revision.GetNumber()) })
	gauge("members_serving", func() float64 { return float64(len(s.members.Snapshot().serving())) })
	gauge("queue_waiting", func() float64 { _, waiting := s.admitter.Load(); return float64(waiting) })
	for kind := range s.gateway.Errors() {
		count(fmt.Sprintf("errors_total{kind=%q}", kind), func() uint64 { return s.gateway.Errors()[kind] })
	}
	for stream, appender := range s.appenders {
		count(fmt.Sprintf("appends_total{stream=%q}", stream), appender.Appends)
	}
	for stream, follower := range s.followers {
		count(fmt.Sprintf("reads_total{stream=%q}", stream), follower.Reads)
	}
}
