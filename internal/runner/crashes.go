package runner

import (
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/forwarder"
	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// handleQuarantine logs that a part or a request is quarantined or no longer is.
func (r *Runner) handleQuarantine(change quarantiner.Change) {
	id := formatPart(change.Part)
	switch {
	case change.Whole && change.Quarantined:
		r.logger.Warn("request crashes endpoints; refusing it", "digest", id, "crashes", change.Crashes)
	case change.Whole:
		r.logger.Info("request that crashed endpoints is sent again", "digest", id)
	case change.Quarantined:
		r.logger.Warn("requests with a part of their prompt crash endpoints; refusing them", "part", id, "place", change.Place, "crashes", change.Crashes)
	default:
		r.logger.Info("requests with a part of their prompt are sent again", "part", id, "place", change.Place)
	}
}

func formatPart(id uint64) string { return strconv.FormatUint(id, 16) }

func partIDs(parts []forwarder.PromptPart) []uint64 {
	ids := make([]uint64, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

// CheckContent implements forwarder.ControlPlane. Of all daemons, one tries whether a part still
// crashes endpoints, and two at most whether a whole request does.
func (r *Runner) CheckContent(content forwarder.Content) forwarder.ContentVerdict {
	now := time.Now()
	_, retryAfter, blocked := r.quarantine.Check(partIDs(content.Parts), now, func(part uint64) bool {
		return r.peers.isRanked("part/"+formatPart(part), 0)
	})
	if blocked {
		return forwarder.ContentVerdict{Blocked: true, RetryAfter: retryAfter}
	}
	if !r.quarantine.SuspectsRequests() {
		return forwarder.ContentVerdict{}
	}
	digest := content.Digest()
	if r.settings.Load().releases(digest) {
		return forwarder.ContentVerdict{Suspected: true}
	}
	verdict := r.quarantine.CheckRequest(digest, now, r.peers.name, func(rank int) bool {
		return r.peers.isRanked("request/"+formatPart(digest), rank)
	})
	return forwarder.ContentVerdict{Blocked: verdict.Blocked, Whole: verdict.Blocked, RetryAfter: verdict.RetryAfter, Suspected: verdict.Suspected, Trial: verdict.Trial}
}

// BeginTrial implements forwarder.ControlPlane.
func (r *Runner) BeginTrial(content forwarder.Content) bool {
	digest := content.Digest()
	if !r.quarantine.BeginTrial(digest, r.peers.name, time.Now()) {
		return false
	}
	r.logger.Info("sending a request that crashed endpoints as a trial", "digest", formatPart(digest))
	r.peers.observe(newTrialFact(digest, r.peers.name))
	return true
}

// ContentServed implements forwarder.ControlPlane.
func (r *Runner) ContentServed(content forwarder.Content, began time.Time, failed bool) {
	now := time.Now()
	var facts []*schema.Fact
	add := func(sound *schema.PartSound, lifetime time.Duration) {
		facts = append(facts, &schema.Fact{
			Age:      durationpb.New(now.Sub(began)),
			Lifetime: durationpb.New(lifetime),
			About:    &schema.Fact_Sound{Sound: sound},
		})
	}
	if !failed {
		for _, part := range r.quarantine.RecordServed(partIDs(content.Parts), began, now) {
			add(&schema.PartSound{Part: part}, quarantiner.Lifetime)
		}
	}
	if r.quarantine.SuspectsRequests() {
		if lifetime, report := r.quarantine.RecordRequestServed(content.Digest(), began, now); report {
			add(&schema.PartSound{Part: content.Digest(), Whole: true}, lifetime)
		}
	}
	r.peers.observe(facts...)
}

// EndpointCrashed implements forwarder.ControlPlane. An endpoint that is stopping or gone
// is not taken for crashed.
func (r *Runner) EndpointCrashed(endpoint tracker.Registration, content forwarder.Content, begun bool) (repeatable bool) {
	ids, digest := partIDs(content.Parts), content.Digest()
	if !r.tracker.Serving(endpoint.ID) {
		return true
	}
	now := time.Now()
	incarnation := endpoint.ID + "@" + strconv.FormatInt(endpoint.Started.UnixMilli(), 36)
	crashes := r.quarantine.Suspects(incarnation, ids, digest, begun, now)
	r.quarantine.RecordCrashes(crashes, now)
	var facts []*schema.Fact
	for _, crash := range crashes {
		if crash.Whole && !crash.Known && !r.crashReports.trySpend(len(r.peers.serving()), now) {
			continue
		}
		facts = append(facts, newCrashFact(crash))
	}
	r.peers.observe(facts...)
	return r.quarantine.MayRepeat(ids, digest)
}

// newCrashFact returns the fact about a crash. Most requests at a crashed endpoint never come again,
// so that the first crash of one is forgotten sooner.
func newCrashFact(crash quarantiner.Crash) *schema.Fact {
	lifetime := quarantiner.Lifetime
	if crash.Known {
		lifetime = quarantiner.RequestLifetime
	}
	message := &schema.PartCrash{Part: crash.Part, Place: uint32(crash.Place), Endpoint: crash.Endpoint, Begun: crash.Begun, Whole: crash.Whole}
	if record := crash.Record; record != nil {
		message.Record = &schema.PartRecord{Quarantined: record.Quarantined, Served: record.ServedBefore}
	}
	return &schema.Fact{Lifetime: durationpb.New(lifetime), About: &schema.Fact_Crash{Crash: message}}
}

// newTrialFact returns the fact that a daemon sends a request as a trial.
func newTrialFact(digest uint64, daemon string) *schema.Fact {
	return &schema.Fact{
		Lifetime: durationpb.New(quarantiner.RequestLifetime),
		About:    &schema.Fact_Trial{Trial: &schema.RequestTrial{Request: digest, Daemon: daemon}},
	}
}

const (
	// maxCrashReports bounds the first crashes of requests that all daemons together report in
	// the lifetime of such a fact, because all daemons hold all facts. minCrashReports is what
	// one daemon may report in any case.
	maxCrashReports = 1024
	minCrashReports = 4
)

// crashReports bounds the first crashes of requests that a daemon reports. It is safe for concurrent
// use.
type crashReports struct {
	mu sync.Mutex
	// spent is the number of reports that still count at a time.
	spent float64
	at    time.Time
}

// trySpend reports whether a daemon, of a number of daemons, may make one more report.
func (c *crashReports) trySpend(daemons int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := max(minCrashReports, float64(maxCrashReports)/float64(max(1, daemons)))
	c.spent = max(0, c.spent-allowed*now.Sub(c.at).Seconds()/quarantiner.Lifetime.Seconds())
	c.at = now
	if c.spent+1 > allowed {
		return false
	}
	c.spent++
	return true
}
