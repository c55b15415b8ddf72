package runner

import (
	"slices"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// restoreWindow is the time after a restore of the log within which others write again what it
// has lost.
const restoreWindow = 15 * time.Second

// maxFormer bounds the former rollouts of a service that are remembered.
const maxFormer = 4

// formerRollout is a rollout whose order was withdrawn or replaced. If the log loses what came after
// the order, it shows again, and must not start anew.
type formerRollout struct {
	*rolloutState
	// epoch is the last one in which the log is known to have held the order.
	epoch subscriber.Epoch
}

// shows reports whether the order is the former one. Later, the same order at another offset is a
// new one.
func (f formerRollout) shows(order promoter.Order, inRestoreWindow bool) bool {
	former := f.order
	if order.Epoch == 0 {
		return false
	}
	if order == former {
		return true
	}
	former.Epoch = uint64(f.epoch)
	return order.Repeats(former) && (inRestoreWindow || order.Offset == former.Offset)
}

// isLost reports whether the log has lost the record of the order.
func (m *rolloutManager) isLost(order promoter.Order) bool {
	return order.Epoch != 0 && order.Epoch < uint64(m.epoch)
}

// enterEpoch is called before the orders of a change of the operators' topic are applied. If the
// change is of a later epoch, the orders that the log has not lost are at the same offset in it.
// lost are the keys that it has lost, as records that withdraw them.
func (m *rolloutManager) enterEpoch(change subscriber.Change, records, lost []operatorRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirst := m.epoch == 0
	m.mayBeOld = change.Complete || !isFirst && change.Epoch > m.epoch
	if change.Epoch <= m.epoch {
		return
	}
	m.epoch = change.Epoch
	if isFirst {
		return
	}
	m.restoreWindowEnd = m.deps.Clock() + restoreWindow
	m.wake()
	if change.Complete {
		return
	}
	moved := map[string]bool{}
	for _, record := range lost {
		moved[record.WithdrawnService] = true
	}
	for _, record := range records {
		if record.Order != nil {
			moved[record.Order.Service] = true
		}
	}
	for service, rollout := range m.byService {
		if !moved[service] {
			rollout.order.Epoch = uint64(change.Epoch)
		}
	}
}

// addOrder starts a rollout for an operator's order. It ignores an order that it already has,
// and an older one. An order that was written again after the log had lost it goes on with its
// rollout. If the order may be an old one, this daemon waits before it writes a state of it.
func (m *rolloutManager) addOrder(order promoter.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	service := order.Service
	rollout := m.byService[service]
	if rollout != nil && (order.IsSameRecord(rollout.order) || order.PrecedesRecord(rollout.order)) {
		return
	}
	if rollout == nil || !order.Repeats(rollout.order) {
		m.keepFormer(rollout)
		rollout = m.rolloutOf(order)
	}
	if rollout.order != order {
		m.logger.Info("rollout order was written again after the log lost it", "service", service, "target", order.Target,
			"offset", order.Offset, "former_offset", rollout.order.Offset, "epoch", order.Epoch, "state", rollout.state.String())
		rollout.formerOffsets = append(rollout.formerOffsets, rollout.order.Offset)
		rollout.order = order
	}
	m.byService[service] = rollout
	m.applyStatus(rollout, m.statuses[service])
	m.wake()
}

// keepFormer remembers a rollout that is replaced, if there is one.
func (m *rolloutManager) keepFormer(rollout *rolloutState) {
	if rollout == nil {
		return
	}
	service, epoch := rollout.order.Service, m.epoch
	if m.isLost(rollout.order) {
		epoch = subscriber.Epoch(rollout.order.Epoch)
	}
	m.former[service] = append(m.former[service], formerRollout{rollout, epoch})
	if excess := len(m.former[service]) - maxFormer; excess > 0 {
		m.former[service] = slices.Delete(m.former[service], 0, excess)
	}
}

// takeFormer returns the rollout of an order that was withdrawn or replaced and shows again, or nil
// if the order is a new one.
func (m *rolloutManager) takeFormer(order promoter.Order) *rolloutState {
	inRestoreWindow := m.deps.Clock() < m.restoreWindowEnd
	former := m.former[order.Service]
	for i, rollout := range slices.Backward(former) {
		if rollout.shows(order, inRestoreWindow) {
			m.former[order.Service] = slices.Delete(former, i, i+1)
			return rollout.rolloutState
		}
	}
	return nil
}

// rolloutOf returns the rollout that a former order with the same record has, or a new one.
func (m *rolloutManager) rolloutOf(order promoter.Order) *rolloutState {
	if rollout := m.takeFormer(order); rollout != nil {
		return rollout
	}
	now := m.deps.Clock()
	rollout := &rolloutState{
		order:                  order,
		firstSeen:              now,
		stateEntered:           now,
		evidence:               promoter.NewEvidence(),
		peerEvidence:           map[string]map[string]float64{},
		peerBalances:           map[string]promoter.Balance{},
		peerOldVersionSessions: map[uint64]bool{},
	}
	if m.mayBeOld {
		rollout.decideFrom = now + lateHoldOf(order)
	}
	return rollout
}

// missingOrders returns the services whose orders a complete change of the operators' topic reaches,
// but does not hold: they were withdrawn, or the log has lost them and nobody wrote them again.
func (m *rolloutManager) missingOrders(change subscriber.Change, records []operatorRecord) []string {
	if !change.Complete {
		return nil
	}
	held := map[string]bool{}
	for _, record := range records {
		if record.Order != nil {
			held[record.Order.Service] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	end := promoter.Order{Epoch: uint64(change.Epoch), Offset: change.Next}
	var missing []string
	for service, rollout := range m.byService {
		if !held[service] && rollout.order.PrecedesRecord(end) {
			missing = append(missing, service)
		}
	}
	return missing
}

// removeOrder ends the rollout of a service whose order was withdrawn.
func (m *rolloutManager) removeOrder(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keepFormer(m.byService[service])
	delete(m.byService, service)
	m.wake()
}
