package faker

import (
	"encoding/json"
	"net/http"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/orderer"
)

// TakenOrder is an order that an engine took.
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

// SetFenced makes the engine refuse orders with an old fencing number.
func (e *Engine) SetFencing(enabled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fencing = enabled
}

// Orders returns the orders that the engine took.
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
	if e.fencing && order.Fence < e.highestFence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, order.Fence)
	e.acceptedOrders = append(e.acceptedOrders, AcceptedOrder{order, time.Now()})
	e.versions = order.Versions
	w.WriteHeader(http.StatusNoContent)
}
