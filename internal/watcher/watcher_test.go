package watcher_test

import (
	"net/netip"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

// catalogOf returns a catalog of one service, whose workers are at the addresses.
func catalogOf(service string, addresses ...netip.AddrPort) *compiler.Catalog {
	listed := &compiler.Service{Name: service}
	catalog := &compiler.Catalog{Services: map[string]*compiler.Service{service: listed}, Workers: map[netip.AddrPort]*compiler.Worker{}}
	for _, address := range addresses {
		worker := &compiler.Worker{Address: address, Service: service, Slots: 8}
		listed.Workers = append(listed.Workers, worker)
		catalog.Workers[address] = worker
	}
	return catalog
}

// addressesOf returns the addresses of a number of endpoints.
func addressesOf(count int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range count {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80))
	}
	return addresses
}

// fail lets requests to an endpoint fail.
func fail(w *watcher.Watcher, address netip.AddrPort, count int) {
	for range count {
		w.Begin(address)
		w.End(address, watcher.Result{Failed: true})
	}
}

// TestEjectionAfterEndpointsAreRemoved guards against a failing endpoint that is not ejected, because
// ejected ones that are no longer in the catalog use up the cap.
func TestEjectionAfterEndpointsAreRemoved(t *testing.T) {
	at := addressesOf(6)
	rows := map[string]struct {
		// configure takes the first two endpoints out of the service "helper".
		configure func(w *watcher.Watcher)
	}{
		"removed": {func(w *watcher.Watcher) { w.Configure(catalogOf("helper", at[2:]...)) }},
		"removed with requests in flight": {func(w *watcher.Watcher) {
			w.Begin(at[0])
			w.Begin(at[1])
			w.Configure(catalogOf("helper", at[2:]...))
		}},
		"moved to another service": {func(w *watcher.Watcher) {
			catalog := catalogOf("helper", at[2:]...)
			other := catalogOf("ledger", at[:2]...)
			catalog.Services["ledger"] = other.Services["ledger"]
			for address, worker := range other.Workers {
				catalog.Workers[address] = worker
			}
			w.Configure(catalog)
		}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			w := watcher.New()
			w.Configure(catalogOf("helper", at...))
			fail(w, at[0], 4)
			fail(w, at[1], 4)
			row.configure(w)
			fail(w, at[2], 4)
			if got, want := w.Ejections(), uint64(3); got != want {
				t.Errorf("ejections got %d, want %d", got, want)
			}
		})
	}
}

// TestResultsOfRemovedEndpoint guards against a panic at the end of a request whose endpoint has been
// removed with its service meanwhile, and against results of a removed endpoint that count in the
// ejections of the others.
func TestResultsOfRemovedEndpoint(t *testing.T) {
	at := addressesOf(6)
	rows := map[string]struct {
		next   *compiler.Catalog
		record func(w *watcher.Watcher)
	}{
		"failure":                 {catalogOf("helper", at[1:]...), func(w *watcher.Watcher) { w.End(at[0], watcher.Result{Failed: true}) }},
		"failure, no service":     {catalogOf("ledger", at[1:]...), func(w *watcher.Watcher) { w.End(at[0], watcher.Result{Failed: true}) }},
		"success, no service":     {catalogOf("ledger", at[1:]...), func(w *watcher.Watcher) { w.End(at[0], watcher.Result{DecodePace: time.Second}) }},
		"pace":                    {catalogOf("helper", at[1:]...), func(w *watcher.Watcher) { w.RecordProgress(at[0], time.Second) }},
		"pace, no service":        {catalogOf("ledger", at[1:]...), func(w *watcher.Watcher) { w.RecordProgress(at[0], time.Second) }},
		"probe":                   {catalogOf("helper", at[1:]...), func(w *watcher.Watcher) { w.RecordProbeFailure(at[0]) }},
		"probe, no service":       {catalogOf("ledger", at[1:]...), func(w *watcher.Watcher) { w.RecordProbeFailure(at[0]) }},
		"failure, nothing listed": {catalogOf("ledger"), func(w *watcher.Watcher) { w.End(at[0], watcher.Result{Failed: true}) }},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			w := watcher.New()
			w.Configure(catalogOf("helper", at...))
			for range 8 {
				w.Begin(at[0])
			}
			w.Configure(row.next)
			for range 8 {
				row.record(w)
			}
			if got := w.Ejections(); got != 0 {
				t.Errorf("ejections got %d, want 0", got)
			}
		})
	}
}
