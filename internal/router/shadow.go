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
	shadowRate = 1
	// shadowTimeout bounds one copied request with its ratings.
	shadowTimeout = 45 * time.Second
)

// shadow copies a part of the answered requests of a version that is being
// replaced to the new one, and compares the ratings of both answers. Nobody
// sees the copy's answer and nobody is billed for it. Requests of this program
// to models change nothing, so they can be copied; calls of plain services are
// not.
func (r *Router) shadow(ctx context.Context, request *ChatRequest, answered result) {
	rollout, version := r.shadowed(request, answered)
	if rollout == nil || !r.shadows.Allow() {
		return
	}
	if _, waiting := r.parts.Admitter.Load(); waiting > 0 {
		return
	}
	r.counts.Shadows.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shadowTimeout)
	copied := *request
	copied.Stream = false
	r.parts.Background(func() {
		defer cancel()
		r.compare(ctx, &copied, rollout, version, answered)
	})
}

// shadowed returns the roll-out that an answer's version is the old one of, and
// the new version, when the account may use that.
func (r *Router) shadowed(request *ChatRequest, answered result) (*compiler.Rollout, *compiler.Version) {
	if r.parts.Options.NoShadow || !answered.first.IsZero() {
		return nil, nil
	}
	catalog := r.parts.Views.Catalog()
	for _, rollout := range catalog.Rollouts {
		version := catalog.Versions[rollout.To]
		allowed := request.Account.Policy.Versions.Has(rollout.To)
		if rollout.Running && rollout.From == answered.version && allowed && r.inService(version) {
			return rollout, version
		}
	}
	return nil, nil
}

func (r *Router) compare(ctx context.Context, request *ChatRequest, rollout *compiler.Rollout, version *compiler.Version, answered result) {
	fresh, err := r.answer(ctx, request, version, &delivery{})
	if err != nil {
		return
	}
	old, err := r.parts.Assessor.Rate(ctx, assessor.Response{Version: answered.version, Prompt: request.Prompt, Text: answered.text})
	if err != nil {
		return
	}
	score, err := r.parts.Assessor.Rate(ctx, assessor.Response{Version: version.ID, Prompt: request.Prompt, Text: fresh.text})
	if err != nil {
		return
	}
	r.parts.Roller.RecordPair(rollout.Name, score, old)
}
