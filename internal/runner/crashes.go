package runner

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// logQuarantine logs that a part is quarantined or no longer is.
func (r *Runner) logQuarantine(change quarantiner.Change) {
	part := formatPart(change.Part)
	if change.Quarantined {
		r.logger.Warn("requests with a part of their prompt crash endpoints; refusing them", "part", part, "place", change.Place, "crashes", change.Crashes)
		return
	}
	r.logger.Info("requests with a part of their prompt are sent again", "part", part, "place", change.Place)
}

func formatPart(id uint64) string { return strconv.FormatUint(id, 16) }

func partIDs(parts []forwarder.PromptPart) []uint64 {
	ids := make([]uint64, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

// CheckParts implements forwarder.ControlPlane. Of all daemons, one tries whether a part
// still crashes endpoints.
func (r *Runner) CheckParts(parts []forwarder.PromptPart) (retryAfter time.Duration, blocked bool) {
	_, retryAfter, blocked = r.quarantine.Check(partIDs(parts), time.Now(), func(part uint64) bool {
		return r.peers.isFirst("part/" + formatPart(part))
	})
	return retryAfter, blocked
}

// PartsServed implements forwarder.ControlPlane.
func (r *Runner) PartsServed(parts []forwarder.PromptPart, began time.Time) {
	now := time.Now()
	var facts []*schema.Fact
	for _, part := range r.quarantine.RecordServed(partIDs(parts), began, now) {
		facts = append(facts, &schema.Fact{
			Age:      durationpb.New(now.Sub(began)),
			Lifetime: durationpb.New(quarantiner.Lifetime),
			About:    &schema.Fact_Sound{Sound: &schema.PartSound{Part: part}},
		})
	}
	r.peers.observe(facts...)
}

// EndpointCrashed implements forwarder.ControlPlane. An endpoint that is stopping or gone
// is not taken for crashed.
func (r *Runner) EndpointCrashed(endpoint tracker.Registration, parts []forwarder.PromptPart, begun bool) (repeatable bool) {
	ids := partIDs(parts)
	if !r.tracker.Serving(endpoint.ID) {
		return true
	}
	now := time.Now()
	incarnation := endpoint.ID + "@" + strconv.FormatInt(endpoint.Started.UnixMilli(), 36)
	crashes := r.quarantine.Suspects(incarnation, ids, begun, now)
	r.quarantine.RecordCrashes(crashes, now)
	var facts []*schema.Fact
	for _, crash := range crashes {
		facts = append(facts, &schema.Fact{
			Lifetime: durationpb.New(quarantiner.Lifetime),
			About:    &schema.Fact_Crash{Crash: &schema.PartCrash{Part: crash.Part, Place: uint32(crash.Place), Endpoint: crash.Endpoint, Begun: crash.Begun}},
		})
	}
	r.peers.observe(facts...)
	return r.quarantine.MayRepeat(ids)
}
