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

// change is a declaration to publish, with the data for the audit trail.
type change struct {
	id          string
	declaration *schema.Declaration
	// follows is the number of the revision that the change is based on.
	follows uint64
	author  string
	reason  string
}

// publish appends a change to the log and waits until the record has been read
// back, which decides whether the change is accepted. If the log does not
// respond in time, the change may or may not be in force. Publishing is
// idempotent: a change sent again with the same id takes effect once.
func (s *Server) publish(ctx context.Context, change change) (configurator.Decision, error) {
	if _, err := compiler.Compile(change.follows+1, change.declaration); err != nil {
		return configurator.Decision{}, classifier.Wrap(classifier.BadRequest, err, "%s", err)
	}
	if change.declaration.GetCluster() != s.config.Cluster {
		return configurator.Decision{}, classifier.New(classifier.WrongCluster, "the declaration is for cluster %q, but this cluster is %q", change.declaration.GetCluster(), s.config.Cluster)
	}
	current := s.configuration.Snapshot().revision
	if err := checkReinstated(current.GetDeclaration(), change.declaration); err != nil {
		return configurator.Decision{}, err
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
			return configurator.Decision{}, classifier.New(classifier.NotReady, "the log cannot be reached; nothing was published")
		}
		return configurator.Decision{}, classifier.New(classifier.LogUnavailable, "the log did not respond; the change may be in force: check `audit`, or apply again with the same id")
	}
	if err := s.followers[configurator.Stream].WaitHandled(ctx, ticket.Offset()); err != nil {
		return configurator.Decision{}, classifier.New(classifier.LogUnavailable, "the change is in the log but was not read back in time")
	}
	return s.decision(ctx, change.id)
}

// checkReinstated rejects a declaration that reinstates a withdrawn version
// without a higher generation. Instances that know of the stop ignore a version
// of the generation that was stopped.
func checkReinstated(current, next *schema.Declaration) error {
	for model, declared := range next.GetModels() {
		for name, version := range declared.GetVersions() {
			previous := current.GetModels()[model].GetVersions()[name]
			if previous.GetWithdrawn() && !version.GetWithdrawn() && version.GetGeneration() <= previous.GetGeneration() {
				return classifier.New(classifier.BadRequest, "models.%s.versions.%s: is withdrawn; to reinstate it, set generation to %d", model, name, previous.GetGeneration()+1)
			}
		}
	}
	return nil
}

// decision returns the decision on the change with the given id.
func (s *Server) decision(ctx context.Context, id string) (configurator.Decision, error) {
	var decision configurator.Decision
	var found bool
	err := s.configuration.Do(ctx, func(state *configState) { decision, found = state.revisions.Decision(id) })
	if err != nil || !found {
		return decision, classifier.New(classifier.LogUnavailable, "the change was not read back")
	}
	return decision, nil
}

// automaticAuthor is the author of changes that daemons publish themselves.
const automaticAuthor = "quetzalgrade"

// proposalStagger is the delay between the daemons of successive rank before
// they publish the same change, so that usually only one of them does. If two
// do, only the first one in the log is accepted.
const proposalStagger = 4 * time.Second

// publishDueChanges publishes the changes that rollouts and stopped versions
// require, and forgets those that are no longer required.
func (s *Server) publishDueChanges(now time.Time) {
	current := s.configuration.Snapshot().revision
	if current == nil {
		return
	}
	due := map[string]bool{}
	for _, proposal := range s.roller.Step() {
		due[s.publishIfDue("rollout/"+proposal.Rollout, now, func(next *schema.Declaration) (string, bool) { return applyProposal(next, proposal) })] = true
	}
	for _, stop := range s.members.Snapshot().stops {
		due[s.publishIfDue("stop/"+stop.Version, now, func(next *schema.Declaration) (string, bool) { return applyStop(next, stop) })] = true
	}
	for key := range s.dueChanges {
		if !due[key] {
			delete(s.dueChanges, key)
		}
	}
}

// publishIfDue publishes a change once the change has been due for longer than
// this daemon's delay, which depends on its rank. It returns the key.
func (s *Server) publishIfDue(key string, now time.Time, edit func(*schema.Declaration) (string, bool)) string {
	dueSince, found := s.dueChanges[key]
	if !found {
		s.dueChanges[key], dueSince = now, now
	}
	delay := time.Duration(s.rank(key)) * proposalStagger
	if now.Sub(dueSince) < delay {
		return key
	}
	current := s.configuration.Snapshot().revision
	next := proto.CloneOf(current.GetDeclaration())
	reason, changed := edit(next)
	if !changed {
		return key
	}
	s.dueChanges[key] = now.Add(proposalStagger)
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposalStagger)
		defer cancel()
		decision, err := s.publish(ctx, change{id: s.newID(), declaration: next, follows: current.GetNumber(), author: automaticAuthor, reason: reason})
		if err == nil && decision.Accepted {
			s.logger.Info("published an automatic change", "revision", decision.Number, "reason", reason)
		}
	})
	return key
}

// rank returns this daemon's position, from 0, among the serving daemons in the
// rendezvous order of the key.
func (s *Server) rank(key string) int {
	for i, member := range gossiper.Rank(key, s.members.Snapshot().members) {
		if member.Name == s.config.Name {
			return i
		}
	}
	return 0
}

// applyProposal applies a rollout's proposal to a declaration. It returns false
// if the proposal no longer applies or the change has been made already.
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

// applyStop withdraws a version in a declaration and aborts the rollouts to it.
// It returns false if the version is gone, already withdrawn or of a newer
// generation.
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
