package runner

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// takeDeclared puts into force what operators declare.
func (r *Runner) takeDeclared(change subscriber.Change) {
	for _, item := range change.Records {
		record, err := r.process.Translator.Declared(item)
		if err != nil {
			r.logger.Error("record of the operators' topic is not usable", "key", item.Key, "offset", item.Offset, "error", err)
			continue
		}
		switch {
		case record.Declaration != nil:
			r.declare(*record.Declaration, item.Offset)
		case record.Order != nil:
			order := *record.Order
			r.logger.Info("roll-out ordered", "service", order.Service, "target", order.Target, "duration", noter.Brief(order.Duration), "offset", item.Offset)
			r.change(func(state *declared) { state.order(order) })
			r.rollouts.order(order)
		case record.Withdrawn != "":
			r.change(func(state *declared) { state.withdraw(record.Withdrawn) })
			r.rollouts.withdraw(record.Withdrawn)
		}
	}
}

func (r *Runner) declare(declaration matcher.Declaration, offset int64) {
	table := matcher.NewTable(declaration)
	newer := false
	r.change(func(state *declared) { newer = state.declare(table) })
	routes, accounts := table.Counts()
	r.logger.Info("declaration read", "revision", table.Revision, "in_force", newer, "offset", offset, "routes", routes, "accounts", accounts)
}

// change changes what is declared and waits until readers see it.
func (r *Runner) change(apply func(*declared)) {
	if err := r.declaration.Do(context.Background(), apply); err != nil {
		r.logger.Error("declaration is not kept", "error", err)
	}
}

// outageMemory is how long after a failed read a record that is gone may have
// lapsed only because the log was away.
const outageMemory = 3 * time.Second

// takeRegistered keeps the endpoints that register.
func (r *Runner) takeRegistered(change subscriber.Change) {
	outage := r.declared.FailedWithin(outageMemory) || r.registered.FailedWithin(outageMemory)
	seen := map[string]bool{}
	for _, item := range change.Records {
		if len(item.Value) == 0 {
			r.tracker.Remove(item.Key, outage)
			continue
		}
		registration, err := r.process.Translator.Endpoint(item)
		if err != nil {
			r.logger.Warn("registration is not usable", "key", item.Key, "offset", item.Offset, "error", err)
			r.tracker.Remove(item.Key, false)
			continue
		}
		seen[item.Key] = true
		r.tracker.Put(registration)
	}
	if change.Complete {
		r.tracker.Retain(seen, outage)
	}
	r.rollouts.registered()
}
