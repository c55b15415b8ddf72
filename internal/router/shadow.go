package router

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
)

const (
	// shadowsPerSecond is the maximum number of requests per second that a daemon
	// copies to new versions.
	shadowsPerSecond = 1
	// shadowTimeout is the timeout of one copied request including its ratings.
	shadowTimeout = 45 * time.Second
)

// shadow copies a sample of the completed requests from a version that is being
// replaced to the new version, and compares the ratings of both responses. The
// copy's response is sent to no client and is not billed. Chat requests have no
// side effects, so they can be copied; calls to plain services are not copied.
// No copy is made while requests wait for admission.
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

// shadowTarget returns the running rollout that replaces the version of a
// response, and the new version. It returns nil if there is no such rollout or if
// the account is not allowed to use the new version.
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
	oldScore, err := r.config.Assessor.Rate(ctx, assessor.Response{Version: served.version, Prompt: request.Prompt, Text: served.text})
	if err != nil {
		return
	}
	newScore, err := r.config.Assessor.Rate(ctx, assessor.Response{Version: version.ID, Prompt: request.Prompt, Text: shadow.text})
	if err != nil {
		return
	}
	r.config.Roller.RecordPair(rollout.Name, newScore, oldScore)
}
