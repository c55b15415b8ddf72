package server

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/configurator"
	"quetzalgrade.example/quetzalgrade/internal/differ"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/roller"
	"quetzalgrade.example/quetzalgrade/internal/stager"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// change is a declaration to publish.
type change struct {
	id          string
	declaration *schema.Declaration
	// follows is the revision that it was planned on.
	follows uint64
	author  string
	reason  string
}

// publish appends a change and waits for the fold's verdict. When the log does
// not answer in time the change may or may not be in force; sent again with
// the same id it has one effect.
func (s *Server) publish(ctx context.Context, change change) (configurator.Verdict, error) {
	if _, err := compiler.Compile(change.follows+1, change.declaration); err != nil {
		return configurator.Verdict{}, classifier.Wrap(classifier.BadRequest, err, "%s", err)
	}
	if change.declaration.GetCluster() != s.config.Cluster {
		return configurator.Verdict{}, classifier.New(classifier.WrongCluster, "the declaration is of cluster %q, this is %q", change.declaration.GetCluster(), s.config.Cluster)
	}
	current := s.settings.Snapshot().revision
	if err := checkReturns(current.GetDeclaration(), change.declaration); err != nil {
		return configurator.Verdict{}, err
	}
	appender := s.appenders[configurator.Stream]
	ticket := appender.Submit(&schema.Record{Id: change.id, Body: &schema.Record_Revision{Revision: &schema.Revision{
		Number:      change.follows + 1,
		Follows:     change.follows,
		Declaration: change.declaration,
		Copied:      timestamppb.Now(),
		Change: &schema.Change{
			Author:      change.author,
			Reason:      change.reason,
			Time:        timestamppb.Now(),
			Differences: differ.Compare(current.GetDeclaration(), change.declaration),
		},
	}}}, true)
	select {
	case <-ticket.Done():
	case <-ctx.Done():
		if appender.Abandon(ticket) {
			return configurator.Verdict{}, classifier.New(classifier.NotReady, "the log cannot be reached; nothing was published")
		}
		return configurator.Verdict{}, classifier.New(classifier.LogUnavailable, "the log did not answer; the change may be in force: look at `audit`, or apply again with the same id")
	}
	if err := s.followers[configurator.Stream].WaitPast(ctx, ticket.Offset()); err != nil {
		return configurator.Verdict{}, classifier.New(classifier.LogUnavailable, "the change is in the log but was not read back in time")
	}
	return s.verdict(ctx, change.id)
}

// checkReturns refuses to bring a withdrawn version back under the generation
// that it was withdrawn in: instances that heard of its stop would ignore it.
func checkReturns(current, next *schema.Declaration) error {
	for model, declared := range next.GetModels() {
		for name, version := range declared.GetVersions() {
			before := current.GetModels()[model].GetVersions()[name]
			if before.GetWithdrawn() && !version.GetWithdrawn() && version.GetGeneration() <= before.GetGeneration() {
				return classifier.New(classifier.BadRequest, "models.%s.versions.%s: is withdrawn; to bring it back set generation to %d", model, name, before.GetGeneration()+1)
			}
		}
	}
	return nil
}

func (s *Server) verdict(ctx context.Context, id string) (configurator.Verdict, error) {
	var verdict configurator.Verdict
	var known bool
	err := s.settings.Do(ctx, func(state *configState) { verdict, known = state.fold.Verdict(id) })
	if err != nil || !known {
		return verdict, classifier.New(classifier.LogUnavailable, "the change was not read back")
	}
	return verdict, nil
}

// proposer is the author of changes that the daemons make themselves.
const proposer = "quetzalgrade"

// proposeStep is how much later each next daemon publishes the same step, so
// that usually one of them does. When two do, the fold takes one.
const proposeStep = 4 * time.Second

// step publishes what the roll-outs and the stopped versions ask for.
func (s *Server) step(now time.Time) {
	current := s.settings.Snapshot().revision
	if current == nil {
		return
	}
	due := map[string]bool{}
	for _, proposal := range s.roller.Step() {
		due[s.consider("rollout/"+proposal.Rollout, now, func(next *schema.Declaration) (string, bool) { return applyProposal(next, proposal) })] = true
	}
	for _, stop := range s.members.Snapshot().stops {
		due[s.consider("stop/"+stop.Version, now, func(next *schema.Declaration) (string, bool) { return applyStop(next, stop) })] = true
	}
	for key := range s.proposed {
		if !due[key] {
			delete(s.proposed, key)
		}
	}
}

// consider publishes a step once it has been due for this daemon's delay. It
// returns the step's key.
func (s *Server) consider(key string, now time.Time, edit func(*schema.Declaration) (string, bool)) string {
	first, known := s.proposed[key]
	if !known {
		s.proposed[key], first = now, now
	}
	delay := time.Duration(s.rank(key)) * proposeStep
	if now.Sub(first) < delay {
		return key
	}
	current := s.settings.Snapshot().revision
	next := proto.CloneOf(current.GetDeclaration())
	reason, changed := edit(next)
	if !changed {
		return key
	}
	s.proposed[key] = now.Add(proposeStep)
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposeStep)
		defer cancel()
		verdict, err := s.publish(ctx, change{id: s.newID(), declaration: next, follows: current.GetNumber(), author: proposer, reason: reason})
		if err == nil && verdict.Accepted {
			s.logger.Info("published a step", "revision", verdict.Number, "reason", reason)
		}
	})
	return key
}

// rank returns this daemon's place among the serving ones for a key.
func (s *Server) rank(key string) int {
	for i, member := range gossiper.Rank(key, s.members.Snapshot().members) {
		if member.Name == s.config.Name {
			return i
		}
	}
	return 0
}

// applyProposal edits a declaration; changed is false when it is there already.
func applyProposal(next *schema.Declaration, proposal roller.Proposal) (reason string, changed bool) {
	rollout := next.GetRollouts()[proposal.Rollout]
	if rollout == nil || (rollout.GetPhase() != schema.Phase_PHASE_RUNNING && proposal.Action != stager.Stop) {
		return "", false
	}
	switch proposal.Action {
	case stager.Advance:
		rollout.Stage++
	case stager.Finish:
		rollout.Phase = schema.Phase_PHASE_DONE
	case stager.Stop:
		return applyStop(next, gossiper.StoppedVersion{Version: rollout.GetModel() + "@" + rollout.GetTo(), Generation: next.GetModels()[rollout.GetModel()].GetVersions()[rollout.GetTo()].GetGeneration(), Reason: proposal.Reason})
	case stager.KeepStage:
		return "", false
	}
	return "roll-out " + proposal.Rollout + ": " + proposal.Reason, true
}

// applyStop withdraws a version and ends the roll-outs to it.
func applyStop(next *schema.Declaration, stop gossiper.StoppedVersion) (reason string, changed bool) {
	id, _ := compiler.ParseVersion(stop.Version)
	version := next.GetModels()[id.Model].GetVersions()[id.Version]
	if version == nil || version.GetWithdrawn() || version.GetGeneration() > stop.Generation {
		return "", false
	}
	version.Withdrawn = true
	for _, rollout := range next.GetRollouts() {
		running := rollout.GetPhase() == schema.Phase_PHASE_RUNNING || rollout.GetPhase() == schema.Phase_PHASE_PAUSED
		if running && rollout.GetModel() == id.Model && rollout.GetTo() == id.Version {
			rollout.Phase = schema.Phase_PHASE_ABORTED
		}
	}
	return "stopped " + stop.Version + ": " + stop.Reason, true
}
