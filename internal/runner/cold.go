package runner

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/apportioner"
	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// coldStartDelay is how long a daemon that has started sends nothing to cold endpoints. In
	// this time, it and the other daemons learn of each other, also if a first call is lost.
	coldStartDelay = 10 * time.Second
	// coldGrace is how long a dead daemon keeps its share of what cold endpoints accept. It is
	// longer than deadGrace because a share that is used twice may crash the endpoint, while one
	// that is not used costs little: an endpoint is soon warm.
	coldGrace = 10 * time.Minute
)

// coldDivision says how what cold endpoints accept is divided, and among which daemons.
type coldDivision struct {
	bound   apportioner.ColdBound
	members []string
}

func (d coldDivision) equal(other coldDivision) bool {
	return d.bound == other.bound && slices.Equal(d.members, other.members)
}

// RecordCold implements forwarder.ControlPlane.
func (r *Runner) RecordCold(endpoint tracker.Registration, remaining time.Duration) {
	remaining = min(remaining, tracker.MaxColdTime)
	if !r.tracker.RecordCold(tracker.Cold{Endpoint: endpoint.ID, Started: endpoint.Started, Remaining: remaining}) {
		return
	}
	r.peers.observe(&schema.Fact{
		Lifetime: durationpb.New(remaining),
		About: &schema.Fact_Cold{Cold: &schema.ColdEndpoint{
			Endpoint:  endpoint.ID,
			StartedMs: endpoint.Started.UnixMilli(),
			Remaining: durationpb.New(remaining),
		}},
	})
}

// applyCold applies how long an endpoint stays cold, as another daemon has observed it at a time.
func (r *Runner) applyCold(cold *schema.ColdEndpoint, observedAt time.Time) {
	r.tracker.ApplyCold(tracker.Cold{
		Endpoint:  cold.GetEndpoint(),
		Started:   time.UnixMilli(cold.GetStartedMs()),
		Remaining: cold.GetRemaining().AsDuration(),
	}, observedAt)
}

// setColdServices sets the services whose cold endpoints have a bound.
func (r *Runner) setColdServices(services []matcher.Service) {
	bounded := map[string]tracker.ColdService{}
	for _, service := range services {
		if service.ColdRate > 0 {
			bounded[service.Name] = tracker.ColdService{PerSecond: service.ColdRate, Time: service.ColdTime}
		}
	}
	r.tracker.SetColdServices(bounded)
}

// divideCold forgets the endpoints that are warm, and sets this daemon's shares of what the cold
// ones accept if the members or the bound have changed. Only sweep calls it.
func (r *Runner) divideCold() {
	r.tracker.SweepCold()
	if time.Since(r.startedAt) < coldStartDelay {
		return
	}
	settings := r.settings.Load()
	division := coldDivision{
		bound:   apportioner.ColdBound{Factor: settings.ColdFactor, Margin: settings.ColdMargin},
		members: r.peers.coldSharers(),
	}
	if division.equal(r.coldDivision) {
		return
	}
	r.coldDivision = division
	r.tracker.SetColdShare(func(endpoint string, perSecond float64) float64 {
		return division.bound.Share(endpoint, perSecond, r.peers.name, division.members)
	})
}
