package router

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
)

const (
	// shadowRate is the number of requests a second that a daemon copies to new
	// versions.
	shadowsPerSecond = 1
	// shadowTimeout bounds one copied request with its ratings.
	shadowTimeout = 45 * time.Second
)

// shadow copies a part of the answered requests of a version that is being
// replaced to the new one, and compares the ratings of both answers. Nobody
// sees the copy's answer and nobody is billed for it. Requests of this program
// to models change nothing, so they can be copied; calls of plain services are
// not.
func (r *Router) shadow(ctx context.Context, request *ChatRequest, served chatResult) {
	rollout, version := r.shadowTarget(request, served)
	if rollout == nil || !r.shadowLimiter.Allow() {
		return
	}
	if _, waiting := r.config.Admitter.Load(); waiting > 0 {
		return
	}
	r.counters.Shadows.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shadowTimeout)
	copied := *request
	copied.Stream = false
	r.config.Background(func() {
		defer cancel()
		r.compareShadow(ctx, &copied, rollout, version, served)
	})
}

// shadowed returns the roll-out that an answer's version is the old one of, and
// the new version, when the account may use that.
func (r *Router) shadowTarget(request *ChatRequest, served chatResult) (*compiler.Rollout, *compiler.Version) {
	if r.config.Options.NoShadow || !served.discardedVersion.IsZero() {
		return nil, nil
	}
	catalog := r.config.State.Catalog()
	for _, rollout := range catalog.Rollouts {
		version := catalog.Versions[rollout.To]
		allowed := request.Account.Policy.Versions.Has(rollout.To)
		if rollout.Running && rollout.From == served.version && allowed && r.inService(version) {
			return rollout, version
		}
	}
	return nil, nil
}

func (r *Router) compareShadow(ctx context.Context, request *ChatRequest, rollout *compiler.Rollout, version *compiler.Version, served chatResult) {
	shadow, err := r.runVersion(ctx, request, version, &responseWriter{})
	if err != nil {
		return
	}
	oldScore, err := r.config.Assessor.Rate(ctx, assessor.Answer{Version: served.version, Prompt: request.Prompt, Text: served.text})
	if err != nil {
		return
	}
	newScore, err := r.config.Assessor.Rate(ctx, assessor.Answer{Version: version.ID, Prompt: request.Prompt, Text: shadow.text})
	if err != nil {
		return
	}
	r.config.Roller.RecordPair(rollout.Name, newScore, oldScore)
}
