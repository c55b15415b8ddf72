package faker

import (
	"encoding/json"
	"net/http"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/orderer"
)

// AcceptedOrder is an order that an engine accepted.
type AcceptedOrder struct {
	orderer.Order
	AcceptedAt time.Time
}

// SetVersions sets the versions that the engine has loaded.
func (e *Engine) SetVersions(versions []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions = append([]string(nil), versions...)
}

// Versions returns the versions that the engine has loaded.
func (e *Engine) Versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.versions...)
}

// SetFencing sets whether the engine refuses an order whose fencing number is
// lower than the highest one that it has accepted.
func (e *Engine) SetFencing(enabled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fencing = enabled
}

// AcceptedOrders returns the orders that the engine has accepted.
func (e *Engine) AcceptedOrders() []AcceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]AcceptedOrder(nil), e.acceptedOrders...)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order orderer.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && order.FencingNumber < e.highestFence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, order.FencingNumber)
	e.acceptedOrders = append(e.acceptedOrders, AcceptedOrder{order, time.Now()})
	e.versions = order.Versions
	w.WriteHeader(http.StatusNoContent)
}
