package runner

import (
	"maps"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// operatorState holds what operators have written. The keeper's actor owns it.
type operatorState struct {
	table *matcher.Table
	// keys are the API keys of the newest declaration of which nothing else can be read, or nil if
	// there is none. Of an older declaration in force, only these keys are valid.
	keys        *matcher.KeyList
	orders      map[string]promoter.Order
	evacuations evacuations
	changed     bool
}

// operatorSnapshot is an immutable snapshot of the operator state.
type operatorSnapshot struct {
	table  *matcher.Table
	orders map[string]promoter.Order
	// evacuated holds the evacuated zones, with the offsets of their records.
	evacuated map[string]int64
	// epoch is the log's epoch of these offsets.
	epoch subscriber.Epoch
}

func newOperatorState() *operatorState {
	return &operatorState{orders: map[string]promoter.Order{}, evacuations: newEvacuations(), changed: true}
}

// snapshot returns a snapshot if the state has changed since the last call, and
// nil otherwise.
func (s *operatorState) snapshot() *operatorSnapshot {
	if !s.changed {
		return nil
	}
	s.changed = false
	return &operatorSnapshot{table: s.table, orders: maps.Clone(s.orders), evacuated: maps.Clone(s.evacuations.zones), epoch: s.evacuations.epoch}
}

// setTable puts a declaration in force unless it is older than the current one or
// has the same revision. It reports whether it did.
func (s *operatorState) setTable(table *matcher.Table) bool {
	if s.table != nil && table.Revision <= s.table.Revision {
		return false
	}
	s.table = table
	s.restrictKeys()
	s.changed = true
	return true
}

// setKeys records the API keys of a declaration of which nothing else can be read, unless a newer one is
// in force or recorded. It reports whether it did.
func (s *operatorState) setKeys(keys matcher.KeyList) bool {
	isOlder := s.keys != nil && keys.Revision <= s.keys.Revision
	if isOlder || s.table != nil && keys.Revision <= s.table.Revision {
		return false
	}
	s.keys = &keys
	s.restrictKeys()
	s.changed = true
	return true
}

// restrictKeys makes invalid the keys in the table that a newer declaration lacks.
func (s *operatorState) restrictKeys() {
	if s.keys != nil && s.table != nil && s.table.Revision < s.keys.Revision {
		s.table = s.table.Restrict(*s.keys)
	}
}

func (s *operatorState) setOrder(order promoter.Order) {
	s.orders[order.Service] = order
	s.changed = true
}

func (s *operatorState) removeOrder(service string) {
	delete(s.orders, service)
	s.changed = true
}

func (s *operatorState) applyEvacuations(change evacuationChange) {
	s.evacuations.apply(change)
	s.changed = true
}
