package runner

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// operatorRecord is a decoded record of the operators' topic.
type operatorRecord struct {
	OperatorRecord
	offset int64
	epoch  subscriber.Epoch
}

// applyOperatorRecords applies declarations, rollout orders, evacuations and their withdrawal
// from the operators' topic. It logs and skips an invalid record.
func (r *Runner) applyOperatorRecords(change subscriber.Change) {
	r.enterEpoch(change.Epoch)
	r.revisions.setEpoch(change.Epoch)
	records := r.decodeOperatorRecords(change.Records)
	lost := r.decodeOperatorRecords(deletions(change.Lost))
	// Evacuations come first, because the daemon serves requests from its first declaration on.
	r.applyEvacuations(newEvacuationChange(change, records, lost))
	r.rollouts.enterEpoch(change, records, lost)
	for _, decoded := range records {
		switch {
		case decoded.Declaration != nil:
			r.applyDeclaration(*decoded.Declaration, decoded.offset)
		case decoded.Order != nil:
			order := *decoded.Order
			r.logger.Info("rollout ordered", "service", order.Service, "target", order.Target, "duration", noter.FormatDuration(order.Duration), "offset", decoded.offset)
			r.updateOperatorState(func(state *operatorState) { state.setOrder(order) })
			r.rollouts.addOrder(order)
		case decoded.WithdrawnService != "":
			r.removeOrder(decoded.WithdrawnService)
		}
	}
	for _, service := range r.rollouts.missingOrders(change, records) {
		r.logger.Info("rollout order is not in the log any more", "service", service)
		r.removeOrder(service)
	}
}

// removeOrder ends the rollout of a service.
func (r *Runner) removeOrder(service string) {
	r.updateOperatorState(func(state *operatorState) { state.removeOrder(service) })
	r.rollouts.removeOrder(service)
}

// logEpoch returns the log's epoch of the last change of the operators' topic.
func (r *Runner) logEpoch() subscriber.Epoch { return subscriber.Epoch(r.epoch.Load()) }

// enterEpoch records the log's epoch of a change of the operators' topic. If the log has come back
// from an older copy, what daemons wrote to it may be gone.
func (r *Runner) enterEpoch(epoch subscriber.Epoch) {
	before := r.logEpoch()
	if epoch <= before {
		return
	}
	r.epoch.Store(uint64(epoch))
	// The zone reader may have claimed its role in an earlier epoch, before it read any topic.
	r.relayer.EnterEpoch(epoch)
	if before != 0 {
		r.logRestores.Inc()
	}
}

// deletions returns records that delete the keys. Their decoded form says what the keys are of.
func deletions(keys []string) []subscriber.Record {
	var records []subscriber.Record
	for _, key := range keys {
		records = append(records, subscriber.Record{Key: key})
	}
	return records
}

// decodeOperatorRecords decodes records of the operators' topic. It logs, counts and leaves out
// the invalid ones.
func (r *Runner) decodeOperatorRecords(records []subscriber.Record) []operatorRecord {
	var decoded []operatorRecord
	for _, record := range records {
		content, err := r.deps.Translator.DecodeOperatorRecord(record)
		if err != nil {
			r.ignoredRecords.Inc()
			r.logger.Error("invalid record in the operators' topic", "key", record.Key, "offset", record.Offset, "error", err)
			if content.Keys != nil {
				r.restrictKeys(*content.Keys, record.Offset)
			}
			continue
		}
		decoded = append(decoded, operatorRecord{content, record.Offset, record.Epoch})
	}
	return decoded
}

// applyDeclaration puts a declaration in force unless a newer one already is.
func (r *Runner) applyDeclaration(declaration matcher.Declaration, offset int64) {
	table := matcher.NewTable(declaration)
	inForce := false
	r.updateOperatorState(func(state *operatorState) { inForce = state.setTable(table) })
	if inForce {
		r.setColdServices(declaration.Services)
		r.revisions.report()
	}
	routes, accounts := table.Counts()
	r.logger.Info("declaration read", "revision", table.Revision, "in_force", inForce, "offset", offset, "routes", routes, "accounts", accounts)
}

// restrictKeys makes invalid the API keys that are not in the list of a newer declaration.
func (r *Runner) restrictKeys(keys matcher.KeyList, offset int64) {
	restricted := false
	r.updateOperatorState(func(state *operatorState) { restricted = state.setKeys(keys) })
	r.logger.Warn("only the keys of a declaration can be read; those that it lacks are taken away", "revision", keys.Revision, "in_force", restricted, "offset", offset, "keys", len(keys.Keys))
}

// updateOperatorState changes the operator state and waits until the snapshot
// that readers use includes the change.
func (r *Runner) updateOperatorState(apply func(*operatorState)) {
	if err := r.operatorState.Do(context.Background(), apply); err != nil {
		r.logger.Error("cannot update the operator state", "error", err)
	}
}

// outageGrace is how long after an outage of the log an endpoint is kept whose
// registration is missing: the endpoint may have been unable to renew it, and
// registers again within about two seconds. It counts from the first read that succeeds,
// up to the longest pause between failing reads after the end of the outage.
const outageGrace = 2050 * time.Millisecond

// remainingGrace returns how much longer a missing registration may be due to an
// outage of the log. It counts from the end of the outage, not from the read that
// misses the registration: an endpoint that left since then must not be kept.
func (r *Runner) remainingGrace() time.Duration {
	remaining := time.Duration(0)
	for _, topic := range []*subscriber.Subscriber{r.operatorTopic, r.endpointTopic} {
		if elapsed, ok := topic.SinceOutage(); ok {
			remaining = max(remaining, outageGrace-elapsed)
		}
	}
	return remaining
}

// applyRegistrations updates the tracker from the endpoints' topic. It logs an
// invalid registration and removes its endpoint.
func (r *Runner) applyRegistrations(change subscriber.Change) {
	grace := r.remainingGrace()
	seen := map[string]bool{}
	for _, record := range change.Records {
		if len(record.Value) == 0 {
			r.tracker.Remove(record.Key, grace)
			continue
		}
		registration, err := r.deps.Translator.DecodeRegistration(record)
		if err != nil {
			r.logger.Warn("invalid registration", "key", record.Key, "offset", record.Offset, "error", err)
			r.tracker.Remove(record.Key, 0)
			continue
		}
		seen[record.Key] = true
		r.tracker.Put(registration)
	}
	if change.Complete {
		r.tracker.Retain(seen, grace)
	}
	for _, key := range change.Lost {
		r.tracker.Lose(key, grace)
	}
	r.rollouts.updateCurrentVersions()
}
