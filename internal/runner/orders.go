package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// restoreWindow is the time after a restore of the log within which others write again what it
// has lost.
const restoreWindow = 15 * time.Second

// withdrawnRollout is a rollout whose order was withdrawn. If the log loses the withdrawal, the
// order shows again, and must not start anew.
type withdrawnRollout struct {
	*rolloutState
	// epoch is that in which the withdrawal was read.
	epoch subscriber.Epoch
}

// shows reports whether the order is the withdrawn one. Later, the same order at another offset
// is a new one.
func (w withdrawnRollout) shows(order promoter.Order, inRestoreWindow bool) bool {
	if w.rolloutState == nil || order.Epoch == 0 {
		return false
	}
	former := w.order
	if order == former {
		return true
	}
	former.Epoch = uint64(w.epoch)
	return order.Repeats(former) && (inRestoreWindow || order.Offset == former.Offset)
}

// enterEpoch is called before the orders of a change of the operators' topic are applied. If the
// change is of a later epoch, the orders that the log has not lost are at the same offset in it.
// lost are the keys that it has lost, as records that withdraw them.
func (m *rolloutManager) enterEpoch(change subscriber.Change, records, lost []operatorRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirst := m.epoch == 0
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
func (m *rolloutManager) addOrder(order promoter.Order, mayBeOld bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	service := order.Service
	inRestoreWindow := m.deps.Clock() < m.restoreWindowEnd
	rollout, former := m.byService[service], m.withdrawn[service]
	switch {
	case rollout != nil && (order.IsSameRecord(rollout.order) || order.PrecedesRecord(rollout.order)):
		return
	case rollout != nil && order.Repeats(rollout.order):
	case rollout == nil && former.shows(order, inRestoreWindow):
		rollout = former.rolloutState
	default:
		rollout = m.newRollout(order)
		if mayBeOld {
			rollout.decideFrom = rollout.firstSeen + lateHoldOf(order)
		}
	}
	if rollout.order != order {
		m.logger.Info("rollout order was written again after the log lost it", "service", service, "target", order.Target,
			"offset", order.Offset, "former_offset", rollout.order.Offset, "epoch", order.Epoch, "state", rollout.state.String())
		rollout.formerOffsets = append(rollout.formerOffsets, rollout.order.Offset)
		rollout.order = order
	}
	delete(m.withdrawn, service)
	m.byService[service] = rollout
	m.applyStatus(rollout, m.statuses[service])
	m.wake()
}

// newRollout returns the rollout of a new order.
func (m *rolloutManager) newRollout(order promoter.Order) *rolloutState {
	now := m.deps.Clock()
	return &rolloutState{
		order:                  order,
		firstSeen:              now,
		stateEntered:           now,
		evidence:               promoter.NewEvidence(),
		peerEvidence:           map[string]map[string]float64{},
		peerBalances:           map[string]promoter.Balance{},
		peerOldVersionSessions: map[uint64]bool{},
	}
}

// removeOrder ends the rollout of a service whose order was withdrawn.
func (m *rolloutManager) removeOrder(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rollout := m.byService[service]; rollout != nil {
		m.withdrawn[service] = withdrawnRollout{rollout, m.epoch}
	}
	delete(m.byService, service)
	m.wake()
}
