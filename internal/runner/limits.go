package runner

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/apportioner"
	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// RecordRateLimit implements forwarder.ControlPlane.
func (r *Runner) RecordRateLimit(endpoint tracker.Registration, limit forwarder.RateLimit, sentAt time.Time) {
	changed := r.tracker.RecordLimit(tracker.Limit{
		Endpoint:  endpoint.ID,
		Started:   endpoint.Started,
		Limited:   limit.Limited,
		PerSecond: limit.PerSecond,
	}, sentAt)
	if !changed {
		return
	}
	r.peers.observe(&schema.Fact{
		Lifetime: durationpb.New(tracker.LimitLifetime),
		About: &schema.Fact_Limit{Limit: &schema.EndpointLimit{
			Endpoint:  endpoint.ID,
			StartedMs: endpoint.Started.UnixMilli(),
			Limited:   limit.Limited,
			PerSecond: limit.PerSecond,
		}},
	})
}

// applyLimit applies a limit that another daemon has observed at a time.
func (r *Runner) applyLimit(limit *schema.EndpointLimit, observedAt time.Time) {
	r.tracker.ApplyLimit(tracker.Limit{
		Endpoint:  limit.GetEndpoint(),
		Started:   time.UnixMilli(limit.GetStartedMs()),
		Limited:   limit.GetLimited(),
		PerSecond: limit.GetPerSecond(),
	}, observedAt)
}

// divideLimits sets this daemon's shares of the endpoints' limits if the members have
// changed. Only sweep calls it.
func (r *Runner) divideLimits() {
	members := r.peers.expected()
	if slices.Equal(members, r.sharers) {
		return
	}
	r.sharers = members
	self := r.peers.name
	r.tracker.SetShare(func(endpoint string, perSecond float64) float64 {
		return apportioner.Share(endpoint, perSecond, self, members)
	})
}
