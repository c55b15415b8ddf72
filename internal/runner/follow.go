package runner

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// takeDeclared puts into force what operators declare.
func (r *Runner) applyOperatorRecords(change subscriber.Change) {
	for _, record := range change.Records {
		decoded, err := r.deps.Translator.DecodeOperatorRecord(record)
		if err != nil {
			r.logger.Error("record of the operators' topic is not usable", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		switch {
		case decoded.Declaration != nil:
			r.applyDeclaration(*decoded.Declaration, record.Offset)
		case decoded.Order != nil:
			order := *decoded.Order
			r.logger.Info("roll-out ordered", "service", order.Service, "target", order.Target, "duration", noter.FormatDuration(order.Duration), "offset", record.Offset)
			r.updateOperatorState(func(state *operatorState) { state.setOrder(order) })
			r.rollouts.addOrder(order)
		case decoded.WithdrawnService != "":
			r.updateOperatorState(func(state *operatorState) { state.removeOrder(decoded.WithdrawnService) })
			r.rollouts.removeOrder(decoded.WithdrawnService)
		}
	}
}

func (r *Runner) applyDeclaration(declaration matcher.Declaration, offset int64) {
	table := matcher.NewTable(declaration)
	inForce := false
	r.updateOperatorState(func(state *operatorState) { inForce = state.setTable(table) })
	routes, accounts := table.Size()
	r.logger.Info("declaration read", "revision", table.Revision, "in_force", inForce, "offset", offset, "routes", routes, "accounts", accounts)
}

// change changes what is declared and waits until readers see it.
func (r *Runner) updateOperatorState(apply func(*operatorState)) {
	if err := r.operatorState.Do(context.Background(), apply); err != nil {
		r.logger.Error("declaration is not kept", "error", err)
	}
}

// outageMemory is how long after a failed read a record that is gone may have
// lapsed only because the log was away.
const outageWindow = 3 * time.Second

// takeRegistered keeps the endpoints that register.
func (r *Runner) applyRegistrations(change subscriber.Change) {
	outage := r.operatorTopic.FailedWithin(outageWindow) || r.endpointTopic.FailedWithin(outageWindow)
	seen := map[string]bool{}
	for _, record := range change.Records {
		if len(record.Value) == 0 {
			r.tracker.Remove(record.Key, outage)
			continue
		}
		registration, err := r.deps.Translator.DecodeRegistration(record)
		if err != nil {
			r.logger.Warn("registration is not usable", "key", record.Key, "offset", record.Offset, "error", err)
			r.tracker.Remove(record.Key, false)
			continue
		}
		seen[record.Key] = true
		r.tracker.Put(registration)
	}
	if change.Complete {
		r.tracker.Retain(seen, outage)
	}
	r.rollouts.updateCurrentVersions()
}
