package runner

import (
	"maps"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/promoter"
)

// declared is what operators have declared. The keeper's actor owns it.
type declared struct {
	table   *matcher.Table
	orders  map[string]promoter.Order
	changed bool
}

// declaredView is an immutable copy of it.
type declaredView struct {
	table  *matcher.Table
	orders map[string]promoter.Order
}

func newDeclared() *declared { return &declared{orders: map[string]promoter.Order{}, changed: true} }

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

func (d *declared) order(order promoter.Order) {
	d.orders[order.Service] = order
	d.changed = true
}

func (d *declared) withdraw(service string) {
	delete(d.orders, service)
	d.changed = true
}
