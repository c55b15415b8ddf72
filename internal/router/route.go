package router

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/internal/planner"
	"quetzalgrade.example/quetzalgrade/internal/stager"
)

// route holds the plan of a request and the conversation that it belongs to.
type route struct {
	plan planner.Plan
	// conversation is the client's conversation id, the id from the conversation
	// token, or the request's id for a new conversation.
	conversation string
}

// planRoute chooses the version of a request: the version that its conversation
// is pinned to, or the planner's choice among the versions that are allowed and
// in service.
func (r *Router) planRoute(ctx context.Context, request *ChatRequest) (route, error) {
	conversation, pinned, replaced, err := r.pinnedVersion(ctx, request)
	if err != nil {
		return route{}, err
	}
	if pinned != nil {
		plan := planner.Plan{First: pinned, Reason: "conversation runs on " + pinned.ID.String()}
		return route{plan: plan, conversation: conversation}, nil
	}
	byClientID := request.Conversation != "" && !pinner.IsToken(request.Conversation)
	candidates, err := r.candidates(request, byClientID)
	if err != nil {
		return route{}, err
	}
	if byClientID {
		chosen, err := r.recordPin(ctx, request, conversation, deterministicPlan(request, candidates), replaced)
		return route{plan: chosen, conversation: conversation}, err
	}
	chosen := r.choosePlan(ctx, request, candidates, request.Conversation != "")
	return route{plan: chosen, conversation: conversation}, nil
}

// certainRatings is a number of ratings so high that the planner doesn't explore
// the version.
const certainRatings = 1e6

// deterministicPlan chooses the version of a conversation that is identified only
// by the client's own id. Daemons that are partitioned from each other cannot
// look up its pin, so the choice depends only on the declaration and the id: all
// daemons with the same declaration choose the same version. When pins were kept
// only by the reachable daemons, conversations changed their version while a zone
// was partitioned. A conversation token holds the version, so conversations with
// a token get the planner's full choice.
func deterministicPlan(request *ChatRequest, versions []*compiler.Version) planner.Plan {
	candidates := make([]planner.Candidate, len(versions))
	for i, version := range versions {
		declared := estimator.Estimate{Count: certainRatings, Mean: version.PriorRating, Lower: version.PriorRating, Upper: version.PriorRating}
		candidates[i] = planner.Candidate{Version: version, Quality: declared, OutputTokens: float64(version.MaxOutput)}
	}
	hash := xxhash.Sum64String(request.Account.Name + "\x00" + request.Conversation)
	plan, _ := planner.Choose(planner.Request{
		Account: request.Account.Name,
		Policy:  &request.Account.Policy,
		Sticky:  true,
	}, candidates, float64(hash)/math.MaxUint64)
	plan.Reason = "by the declaration and the conversation's id: " + plan.Reason
	return plan
}

// pinnedVersion returns the conversation's id and, for a later turn, the version
// that it is pinned to. If that version may no longer serve and must be replaced,
// version is nil and replaced is its id.
func (r *Router) pinnedVersion(ctx context.Context, request *ChatRequest) (conversation string, version *compiler.Version, replaced string, err error) {
	if request.Conversation == "" {
		return request.ID, nil, "", nil
	}
	conversation, id, err := r.lookupConversation(ctx, request)
	if err != nil || id.IsZero() {
		return conversation, nil, "", err
	}
	version, err = r.checkPin(request, id)
	return conversation, version, id.String(), err
}

// lookupConversation returns a conversation's id and the version that it is
// pinned to; the version is zero for a new conversation.
func (r *Router) lookupConversation(ctx context.Context, request *ChatRequest) (conversation string, id compiler.VersionID, err error) {
	if pinner.IsToken(request.Conversation) {
		conversation, id, err = r.config.Signer.Open(request.Account.Name, request.Conversation)
		if err != nil {
			return "", id, classifier.Wrap(classifier.BadRequest, err, "conversation token is not valid for this account")
		}
		return conversation, id, nil
	}
	conversation = request.Conversation
	text, err := r.config.Pins.Pin(ctx, pinner.Key{Account: request.Account.Name, Conversation: conversation}, "", "")
	if err != nil {
		return "", id, err
	}
	id, _ = compiler.ParseVersion(text)
	return conversation, id, nil
}

// checkPin returns a conversation's version if it may still serve. If it may not,
// checkPin returns nil when the account's policy allows conversations to move to
// another version, and a VersionWithdrawn error otherwise.
func (r *Router) checkPin(request *ChatRequest, id compiler.VersionID) (*compiler.Version, error) {
	version := r.config.State.Catalog().Versions[id]
	allowed := request.Account.Policy.Versions.Has(id)
	if version != nil && allowed && r.inService(version) {
		return version, nil
	}
	if request.Account.Policy.MoveWhenWithdrawn {
		return nil, nil
	}
	return nil, classifier.New(classifier.VersionWithdrawn, "conversation is pinned to %s, which is no longer in service for this account", id)
}

func (r *Router) inService(version *compiler.Version) bool {
	return !version.Withdrawn && !r.config.State.Stopped(version)
}

// recordPin pins a new conversation to the chosen version. If another daemon has
// already pinned the conversation, recordPin returns a plan with that version.
func (r *Router) recordPin(ctx context.Context, request *ChatRequest, conversation string, chosen planner.Plan, replaced string) (planner.Plan, error) {
	key := pinner.Key{Account: request.Account.Name, Conversation: conversation}
	text, err := r.config.Pins.Pin(ctx, key, chosen.First.ID.String(), replaced)
	if err != nil {
		return chosen, err
	}
	id, ok := compiler.ParseVersion(text)
	if !ok || id == chosen.First.ID {
		return chosen, nil
	}
	version, err := r.checkPin(request, id)
	if err != nil || version == nil {
		return chosen, err
	}
	return planner.Plan{First: version, Reason: "conversation was started on " + id.String() + " by another instance"}, nil
}

// candidates returns the versions that are allowed, match the requested model,
// are in service and may be used for this end user. For a conversation that is
// identified by the client's own id, it excludes the new versions of rollouts,
// since not every daemon may expose them.
func (r *Router) candidates(request *ChatRequest, byClientID bool) ([]*compiler.Version, error) {
	catalog := r.config.State.Catalog()
	model, version, exact := strings.Cut(request.Model, "@")
	var allowed, serving []*compiler.Version
	for id := range request.Account.Policy.Versions {
		found := catalog.Versions[id]
		if found == nil || (model != "" && id.Model != model) || (exact && id.Version != version) {
			continue
		}
		allowed = append(allowed, found)
		if r.inService(found) && len(catalog.WorkersServing(id)) > 0 {
			serving = append(serving, found)
		}
	}
	if len(allowed) == 0 {
		return nil, classifier.New(classifier.Forbidden, "the account is not allowed to use model %q", request.Model)
	}
	eligible := r.applyRollouts(request, catalog, serving, byClientID)
	if len(eligible) == 0 {
		return nil, classifier.New(classifier.NoVersion, "none of the allowed versions of %q is in service", request.Model).WithRetryAfter(time.Second)
	}
	// Map iteration order is random, so the versions are sorted to make choices
	// between equal candidates reproducible.
	slices.SortFunc(eligible, func(a, b *compiler.Version) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return eligible, nil
}

// applyRollouts excludes versions according to the rollouts: an end user who is
// exposed to a new version gets it in place of the old version, and all others
// get only the old version. If the new version is not in service or no endpoint
// serves it, the old version stays.
func (r *Router) applyRollouts(request *ChatRequest, catalog *compiler.Catalog, serving []*compiler.Version, byClientID bool) []*compiler.Version {
	excluded := compiler.Set[compiler.VersionID]{}
	for _, version := range serving {
		rollout := catalog.RolloutTo(version.ID)
		if rollout == nil {
			continue
		}
		if !byClientID && r.expose(request, rollout) {
			excluded.Add(rollout.From)
		} else {
			excluded.Add(version.ID)
		}
	}
	for _, rollout := range catalog.Rollouts {
		if rollout.Done && containsVersion(serving, rollout.To) {
			excluded.Add(rollout.From)
		}
	}
	var eligible []*compiler.Version
	for _, version := range serving {
		if !excluded.Has(version.ID) {
			eligible = append(eligible, version)
		}
	}
	return eligible
}

func containsVersion(versions []*compiler.Version, id compiler.VersionID) bool {
	return slices.ContainsFunc(versions, func(v *compiler.Version) bool { return v.ID == id })
}

// expose reports whether the end user may get a rollout's new version. An end
// user whom this daemon has not exposed before counts towards the rollout's
// exposure limit.
func (r *Router) expose(request *ChatRequest, rollout *compiler.Rollout) bool {
	endUser := request.endUserID()
	if !stager.Selected(rollout, request.Account.Name, endUser, request.Account.Policy.Caution) {
		return false
	}
	if !rollout.Done && !r.config.Roller.MayExpose(rollout) {
		return false
	}
	exposed, record := r.config.Roller.CheckExposure(rollout, request.Account.Name, endUser)
	if exposed {
		return true
	}
	if !r.config.Limiter.AcquireExposure(rollout) {
		return false
	}
	record()
	r.counters.ExposedUsers.Add(1)
	return true
}

// choosePlan returns the planner's choice or, when a baseline is configured for
// measurements, that of the baseline.
func (r *Router) choosePlan(ctx context.Context, request *ChatRequest, versions []*compiler.Version, sticky bool) planner.Plan {
	if r.config.Options.Baseline != BaselineNone {
		return r.baselinePlan(versions)
	}
	estimates := r.config.State.Estimates()
	class := ClassifyPrompt(request.Prompt)
	candidates := make([]planner.Candidate, len(versions))
	for i, version := range versions {
		candidates[i] = planner.Candidate{
			Version:      version,
			Quality:      estimates.Quality(version, class),
			OutputTokens: min(estimates.OutputTokens(version.ID), float64(request.outputLimit(version))),
			Duration:     time.Duration(estimates.DurationSeconds(version.ID) * float64(time.Second)),
		}
	}
	delivered, ratings := estimates.DeliveredQuality(request.Account.Name)
	ratingDuration := r.config.Assessor.Latency()
	if r.config.Options.NoCascade {
		ratingDuration = 0
	}
	plan, _ := planner.Choose(planner.Request{
		Account:          request.Account.Name,
		Policy:           &request.Account.Policy,
		InputTokens:      request.inputTokens(),
		TimeLeft:         timeLeft(ctx),
		RatingDuration:   ratingDuration,
		DeliveredQuality: delivered,
		DeliveredRatings: ratings,
		Sticky:           sticky,
		EscalatedQuality: func(first, second *compiler.Version) estimator.Estimate {
			return estimates.EscalatedQuality(first.ID, second.ID, estimates.Quality(second, class).Mean)
		},
	}, candidates, r.random.nextFloat())
	return plan
}

func (r *Router) baselinePlan(versions []*compiler.Version) planner.Plan {
	byOutputPrice := func(a, b *compiler.Version) int { return cmp.Compare(a.Price.Output, b.Price.Output) }
	switch r.config.Options.Baseline {
	case BaselineMostExpensive:
		return planner.Plan{First: slices.MaxFunc(versions, byOutputPrice), Reason: "baseline: dearest"}
	case BaselineCheapest:
		return planner.Plan{First: slices.MinFunc(versions, byOutputPrice), Reason: "baseline: cheapest"}
	default:
		return planner.Plan{First: versions[int(r.random.nextFloat()*float64(len(versions)))], Reason: "baseline: split"}
	}
}
