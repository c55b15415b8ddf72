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

// route is where a request goes.
type route struct {
	plan planner.Plan
	// conversation is the caller's id of the conversation, or a new one.
	conversation string
}

// plan chooses the version of a request: the one its conversation is pinned
// to, or the planner's choice among those that are allowed and in service.
func (r *Router) plan(ctx context.Context, request *ChatRequest) (route, error) {
	conversation, pinned, gone, err := r.pinned(ctx, request)
	if err != nil {
		return route{}, err
	}
	if pinned != nil {
		plan := planner.Plan{First: pinned, Reason: "conversation runs on " + pinned.ID.String()}
		return route{plan: plan, conversation: conversation}, nil
	}
	named := request.Conversation != "" && !pinner.IsToken(request.Conversation)
	candidates, err := r.candidates(request, named)
	if err != nil {
		return route{}, err
	}
	if named {
		chosen, err := r.pinNew(ctx, request, conversation, fixedPlan(request, candidates), gone)
		return route{plan: chosen, conversation: conversation}, err
	}
	chosen := r.choose(ctx, request, candidates, request.Conversation != "")
	return route{plan: chosen, conversation: conversation}, nil
}

// knownRatings makes an estimate count as certain.
const knownRatings = 1e6

// fixedPlan chooses the version of a conversation that its caller knows only by
// an id of its own. Daemons that are cut off from each other cannot ask for its
// pin, so the choice depends only on the declaration and the id: each daemon
// with the same declaration makes the same one. To pin by the daemons that can
// be reached alone let conversations change their version while a zone was cut
// off. Conversations with a token need none of this and get the full choice.
func fixedPlan(request *ChatRequest, versions []*compiler.Version) planner.Plan {
	candidates := make([]planner.Candidate, len(versions))
	for i, version := range versions {
		declared := estimator.Estimate{Count: knownRatings, Mean: version.PriorRating, Lower: version.PriorRating, Upper: version.PriorRating}
		candidates[i] = planner.Candidate{Version: version, Quality: declared, Output: float64(version.MaxOutput)}
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

// pinned returns the conversation and, for a later turn, its version; gone is
// the version of a conversation that has to move.
func (r *Router) pinned(ctx context.Context, request *ChatRequest) (conversation string, version *compiler.Version, gone string, err error) {
	if request.Conversation == "" {
		return request.ID, nil, "", nil
	}
	conversation, id, err := r.lookup(ctx, request)
	if err != nil || id.IsZero() {
		return conversation, nil, "", err
	}
	version, err = r.usePin(request, id)
	return conversation, version, id.String(), err
}

// lookup returns a conversation and the version it runs on; the version is
// zero for a new conversation.
func (r *Router) lookup(ctx context.Context, request *ChatRequest) (conversation string, id compiler.VersionID, err error) {
	if pinner.IsToken(request.Conversation) {
		conversation, id, err = r.parts.Signer.Open(request.Account.Name, request.Conversation)
		if err != nil {
			return "", id, classifier.Wrap(classifier.BadRequest, err, "the conversation token was not issued to this account")
		}
		return conversation, id, nil
	}
	conversation = request.Conversation
	text, err := r.parts.Pins.Pin(ctx, pinner.Key{Account: request.Account.Name, Conversation: conversation}, "", "")
	if err != nil {
		return "", id, err
	}
	id, _ = compiler.ParseVersion(text)
	return conversation, id, nil
}

// usePin checks that a conversation's version may still serve. A version that
// may not is replaced where the template allows it, and an error otherwise.
func (r *Router) usePin(request *ChatRequest, id compiler.VersionID) (*compiler.Version, error) {
	version := r.parts.Views.Catalog().Versions[id]
	allowed := request.Account.Policy.Versions.Has(id)
	if version != nil && allowed && r.inService(version) {
		return version, nil
	}
	if request.Account.Policy.MoveWhenWithdrawn {
		return nil, nil
	}
	return nil, classifier.New(classifier.VersionWithdrawn, "the conversation ran on %s, which is no longer in service for this account", id)
}

func (r *Router) inService(version *compiler.Version) bool {
	return !version.Withdrawn && !r.parts.Views.Stopped(version)
}

// pinNew records the version of a new conversation. Another daemon may have
// been first; then its choice holds.
func (r *Router) pinNew(ctx context.Context, request *ChatRequest, conversation string, chosen planner.Plan, gone string) (planner.Plan, error) {
	key := pinner.Key{Account: request.Account.Name, Conversation: conversation}
	text, err := r.parts.Pins.Pin(ctx, key, chosen.First.ID.String(), gone)
	if err != nil {
		return chosen, err
	}
	id, ok := compiler.ParseVersion(text)
	if !ok || id == chosen.First.ID {
		return chosen, nil
	}
	version, err := r.usePin(request, id)
	if err != nil || version == nil {
		return chosen, err
	}
	return planner.Plan{First: version, Reason: "conversation was started on " + id.String() + " by another instance"}, nil
}

// candidates returns the versions that are allowed, asked for, in service and
// open to this person. The ones of a named conversation exclude new versions
// of roll-outs, which not every daemon may show.
func (r *Router) candidates(request *ChatRequest, named bool) ([]*compiler.Version, error) {
	catalog := r.parts.Views.Catalog()
	model, version, exact := strings.Cut(request.Model, "@")
	var allowed, serving []*compiler.Version
	for id := range request.Account.Policy.Versions {
		known := catalog.Versions[id]
		if known == nil || (model != "" && id.Model != model) || (exact && id.Version != version) {
			continue
		}
		allowed = append(allowed, known)
		if r.inService(known) && len(catalog.WorkersServing(id)) > 0 {
			serving = append(serving, known)
		}
	}
	if len(allowed) == 0 {
		return nil, classifier.New(classifier.Forbidden, "the account may not use model %q", request.Model)
	}
	open := r.openTo(request, catalog, serving, named)
	if len(open) == 0 {
		return nil, classifier.New(classifier.NoVersion, "none of the allowed versions of %q is in service", request.Model).WithRetryAfter(time.Second)
	}
	// The order is fixed, so that equal choices fall the same way on each run.
	slices.SortFunc(open, func(a, b *compiler.Version) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return open, nil
}

// openTo applies the roll-outs: a person who may see the new version gets it in
// place of the old one, all others do not get it. When the new version is out
// of reach the old one stays.
func (r *Router) openTo(request *ChatRequest, catalog *compiler.Catalog, serving []*compiler.Version, named bool) []*compiler.Version {
	drop := compiler.Set[compiler.VersionID]{}
	for _, version := range serving {
		rollout := catalog.RolloutTo(version.ID)
		if rollout == nil {
			continue
		}
		if !named && r.expose(request, rollout) {
			drop.Add(rollout.From)
		} else {
			drop.Add(version.ID)
		}
	}
	for _, rollout := range catalog.Rollouts {
		if rollout.Done && contains(serving, rollout.To) {
			drop.Add(rollout.From)
		}
	}
	var open []*compiler.Version
	for _, version := range serving {
		if !drop.Has(version.ID) {
			open = append(open, version)
		}
	}
	return open
}

func contains(versions []*compiler.Version, id compiler.VersionID) bool {
	return slices.ContainsFunc(versions, func(v *compiler.Version) bool { return v.ID == id })
}

// expose reports whether the person may see a roll-out's new version. One that
// has not seen it here counts against the roll-out's bound.
func (r *Router) expose(request *ChatRequest, rollout *compiler.Rollout) bool {
	person := request.person()
	if !stager.Selected(rollout, request.Account.Name, person, request.Account.Policy.Caution) {
		return false
	}
	if !rollout.Done && !r.parts.Roller.MayExpose(rollout) {
		return false
	}
	known, record := r.parts.Roller.CheckExposure(rollout, request.Account.Name, person)
	if known {
		return true
	}
	if !r.parts.Limiter.AcquireExposure(rollout) {
		return false
	}
	record()
	r.counts.Exposed.Add(1)
	return true
}

// choose asks the planner, or a baseline in measurements.
func (r *Router) choose(ctx context.Context, request *ChatRequest, versions []*compiler.Version, sticky bool) planner.Plan {
	if r.parts.Options.Plan != PlanFull {
		return r.baseline(versions)
	}
	view := r.parts.Views.Estimates()
	class := Classify(request.Prompt)
	candidates := make([]planner.Candidate, len(versions))
	for i, version := range versions {
		candidates[i] = planner.Candidate{
			Version:  version,
			Quality:  view.Quality(version, class),
			Output:   min(view.Output(version.ID), float64(request.limit(version))),
			Duration: time.Duration(view.Seconds(version.ID) * float64(time.Second)),
		}
	}
	delivered, ratings := view.Delivered(request.Account.Name)
	rating := r.parts.Assessor.Latency()
	if r.parts.Options.NoCascade {
		rating = 0
	}
	plan, _ := planner.Choose(planner.Request{
		Account:   request.Account.Name,
		Policy:    &request.Account.Policy,
		Input:     request.inputTokens(),
		Left:      timeLeft(ctx),
		Rating:    rating,
		Delivered: delivered,
		Ratings:   ratings,
		Sticky:    sticky,
		Escalated: func(first, second *compiler.Version) estimator.Estimate {
			return view.Escalated(first.ID, second.ID, view.Quality(second, class).Mean)
		},
	}, candidates, r.random.float())
	return plan
}

func (r *Router) baseline(versions []*compiler.Version) planner.Plan {
	price := func(a, b *compiler.Version) int { return cmp.Compare(a.Price.Output, b.Price.Output) }
	switch r.parts.Options.Plan {
	case PlanDearest:
		return planner.Plan{First: slices.MaxFunc(versions, price), Reason: "baseline: dearest"}
	case PlanCheapest:
		return planner.Plan{First: slices.MinFunc(versions, price), Reason: "baseline: cheapest"}
	default:
		return planner.Plan{First: versions[int(r.random.float()*float64(len(versions)))], Reason: "baseline: split"}
	}
}
