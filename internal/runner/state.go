package runner

import (
	"maps"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
)

// Order asks for a service's requests to be moved to a version.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
}

// declared is what operators have declared. The keeper's actor owns it.
type declared struct {
	table   *matcher.Table
	orders  map[string]Order
	changed bool
}

// declaredView is an immutable copy of it.
type declaredView struct {
	table  *matcher.Table
	orders map[string]Order
}

func newDeclared() *declared { return &declared{orders: map[string]Order{}, changed: true} }

func (d *declared) view() *declaredView {
	if !d.changed {
		return nil
	}
	d.changed = false
	return &declaredView{table: d.table, orders: maps.Clone(d.orders)}
}

// declare puts a declaration in force unless a newer one is.
func (d *declared) declare(table *matcher.Table) bool {
	if d.table != nil && table.Revision <= d.table.Revision {
		return false
	}
	d.table = table
	d.changed = true
	return true
}

func (d *declared) order(order Order) {
	d.orders[order.Service] = order
	d.changed = true
}

func (d *declared) withdraw(service string) {
	delete(d.orders, service)
	d.changed = true
}
