package faker

import (
	"encoding/json"
	"net/http"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/orderer"
)

// TakenOrder is an order that an engine took.
type TakenOrder struct {
	orderer.Order
	At time.Time
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
func (e *Engine) SetFenced(fenced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fenced = fenced
}

// Orders returns the orders that the engine took.
func (e *Engine) Orders() []TakenOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]TakenOrder(nil), e.orders...)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order orderer.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && order.FencingNumber < e.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, order.FencingNumber)
	e.orders = append(e.orders, TakenOrder{order, time.Now()})
	e.versions = order.Versions
	w.WriteHeader(http.StatusNoContent)
}
