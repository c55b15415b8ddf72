// Package watcher tracks the state of the endpoints: their load, their health,
// and which of them are draining.
package watcher

import (
	"net/netip"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/picker"
)

// maxReportAge is the age at which a load report expires.
const maxReportAge = 15 * time.Second

// LoadReport is what an endpoint reports about itself: the requests that it
// runs, those that it has queued, and whether it is draining.
type LoadReport struct {
	Running  int
	Queued   int
	Draining bool
}

// endpointState is the state of one endpoint.
type endpointState struct {
	worker *compiler.Worker
	// inFlight is the number of requests that this daemon has in flight.
	inFlight int
	// externalLoad is the number of requests from other daemons, according to the
	// latest load report.
	externalLoad int
	reportedAt   time.Time
	draining     bool
}

// Watcher tracks the state of all endpoints. It is safe for concurrent use.
type Watcher struct {
	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpointState
	health    map[string]*picker.Health
	catalog   *compiler.Catalog
	draining  compiler.Set[netip.AddrPort]
	ejections uint64
	// OnDraining, if not nil, is called when an endpoint that was not known to be
	// draining reports that it is.
	OnDraining func(netip.AddrPort)
}

// New returns a watcher without endpoints.
func New() *Watcher {
	return &Watcher{
		endpoints: map[netip.AddrPort]*endpointState{},
		health:    map[string]*picker.Health{},
		draining:  compiler.Set[netip.AddrPort]{},
	}
}

// Configure sets the catalog whose endpoints are tracked. An endpoint that is no
// longer in the catalog is kept while it has requests in flight.
func (w *Watcher) Configure(catalog *compiler.Catalog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgetHealth(catalog)
	w.catalog = catalog
	for address, worker := range catalog.Workers {
		endpoint := w.endpoints[address]
		if endpoint == nil {
			endpoint = &endpointState{draining: w.draining.Has(address)}
			w.endpoints[address] = endpoint
		}
		endpoint.worker = worker
	}
	for address, endpoint := range w.endpoints {
		if catalog.Workers[address] == nil && endpoint.inFlight == 0 {
			delete(w.endpoints, address)
		}
	}
}

// forgetHealth discards the health of the endpoints that are not in the same service of a new
// catalog, which would count in the ejections of the others.
func (w *Watcher) forgetHealth(catalog *compiler.Catalog) {
	for address, endpoint := range w.endpoints {
		next := catalog.Workers[address]
		if next == nil || next.Service != endpoint.worker.Service {
			w.serviceHealth(endpoint.worker.Service).Forget(address)
		}
	}
}

// SetDraining replaces the set of endpoints that are draining.
func (w *Watcher) SetDraining(draining compiler.Set[netip.AddrPort]) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
	for address, endpoint := range w.endpoints {
		endpoint.draining = draining.Has(address)
	}
}

// VersionEndpoints returns the endpoints that serve a version.
func (w *Watcher) VersionEndpoints(version compiler.VersionID) []picker.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.catalog == nil {
		return nil
	}
	return w.endpointViews(w.catalog.WorkersServing(version))
}

// ServiceEndpoints returns the endpoints of a service.
func (w *Watcher) ServiceEndpoints(name string) []picker.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.catalog == nil || w.catalog.Services[name] == nil {
		return nil
	}
	return w.endpointViews(w.catalog.Services[name].Workers)
}

func (w *Watcher) endpointViews(workers []*compiler.Worker) []picker.Endpoint {
	now := time.Now()
	views := make([]picker.Endpoint, 0, len(workers))
	for _, worker := range workers {
		endpoint := w.endpoints[worker.Address]
		if endpoint == nil {
			continue
		}
		load := endpoint.inFlight
		if now.Sub(endpoint.reportedAt) < maxReportAge {
			load += endpoint.externalLoad
		}
		health := w.serviceHealth(worker.Service)
		probing, plainService := health.Probing(worker.Address), w.catalog.Services[worker.Service].Plain
		views = append(views, picker.Endpoint{
			Address:  worker.Address,
			Zone:     worker.Zone,
			Slots:    worker.Slots,
			Load:     load,
			Slowness: health.Slowness(worker.Address),
			Ejected:  health.Ejected(worker.Address, now) || (probing && !plainService),
			Draining: endpoint.draining,
			Probing:  probing && plainService,
		})
	}
	return views
}

func (w *Watcher) serviceHealth(service string) *picker.Health {
	health := w.health[service]
	if health == nil {
		health = picker.NewHealth()
		w.health[service] = health
	}
	return health
}

// Begin records that a request is sent to an endpoint.
func (w *Watcher) Begin(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if endpoint := w.endpoints[address]; endpoint != nil {
		endpoint.inFlight++
	}
}

// Result is the result of a request at an endpoint.
type Result struct {
	// Failed is set if the request failed because of the endpoint.
	Failed bool
	// Neutral is set if the result is no evidence for or against the endpoint, for
	// example because the client disconnected.
	Neutral bool
	// DecodePace is the time per token, or 0 if it is unknown.
	DecodePace time.Duration
}

// End records the result of a request at an endpoint, and ejects the endpoint if
// its results make it unhealthy.
func (w *Watcher) End(address netip.AddrPort, result Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	endpoint := w.endpoints[address]
	if endpoint == nil {
		return
	}
	endpoint.inFlight--
	if result.Neutral {
		return
	}
	w.record(address, func(health *picker.Health, now time.Time) {
		if result.Failed {
			health.RecordFailure(address, 1, now)
			return
		}
		health.RecordSuccess(address, result.DecodePace, now)
		health.ReduceNextEjection(address, now)
	})
}

// record records a result of an endpoint, and ejects the endpoint if it is unhealthy. It ignores one
// that is no longer in the catalog, perhaps with its service.
func (w *Watcher) record(address netip.AddrPort, apply func(health *picker.Health, now time.Time)) {
	if w.catalog == nil || w.catalog.Workers[address] == nil {
		return
	}
	service := w.catalog.Workers[address].Service
	health := w.serviceHealth(service)
	now := time.Now()
	apply(health, now)
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[service].Workers), now) {
		w.ejections++
	}
}

// RecordProgress records the time per token of a response that is still being
// streamed, and ejects the endpoint if it is unhealthy. A pace of 0 or less is
// ignored.
func (w *Watcher) RecordProgress(address netip.AddrPort, decodePace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if decodePace > 0 {
		w.record(address, func(health *picker.Health, now time.Time) { health.RecordProgress(address, decodePace, now) })
	}
}

// AwaitingProbe returns the model engines whose ejection is over and that get no
// requests until a probe succeeds. Workers of plain services cannot be probed;
// they get one request at a time instead.
func (w *Watcher) AwaitingProbe() []*compiler.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []*compiler.Worker
	for address, endpoint := range w.endpoints {
		if endpoint.worker == nil || endpoint.draining || w.catalog.Services[endpoint.worker.Service] == nil || w.catalog.Services[endpoint.worker.Service].Plain {
			continue
		}
		health := w.serviceHealth(endpoint.worker.Service)
		if health.Probing(address) && !health.Ejected(address, now) {
			list = append(list, endpoint.worker)
		}
	}
	return list
}

// RecordProbeFailure records that a probe of an endpoint failed, and ejects the
// endpoint if it is unhealthy.
func (w *Watcher) RecordProbeFailure(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record(address, func(health *picker.Health, now time.Time) { health.RecordFailure(address, 1, now) })
}

// RecordLoadReport records the load report of an endpoint. Load that exceeds
// this daemon's own requests in flight is attributed to other daemons.
func (w *Watcher) RecordLoadReport(address netip.AddrPort, report LoadReport) {
	w.mu.Lock()
	endpoint := w.endpoints[address]
	if endpoint == nil {
		w.mu.Unlock()
		return
	}
	endpoint.externalLoad = max(0, report.Running+report.Queued-endpoint.inFlight)
	endpoint.reportedAt = time.Now()
	startedDraining := report.Draining && !endpoint.draining
	endpoint.draining = endpoint.draining || report.Draining
	callback := w.OnDraining
	w.mu.Unlock()
	if startedDraining && callback != nil {
		callback(address)
	}
}

// EndpointStatus is the status of one endpoint.
type EndpointStatus struct {
	Worker   *compiler.Worker
	InFlight int
	Draining bool
	Ejected  bool
}

// Endpoints returns the status of all endpoints, in no particular order.
func (w *Watcher) Endpoints() []EndpointStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []EndpointStatus
	for address, endpoint := range w.endpoints {
		list = append(list, EndpointStatus{
			Worker:   endpoint.worker,
			InFlight: endpoint.inFlight,
			Draining: endpoint.draining,
			Ejected:  w.serviceHealth(endpoint.worker.Service).Ejected(address, now),
		})
	}
	return list
}

// Ejections returns the number of ejections since the watcher was created.
func (w *Watcher) Ejections() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ejections
}
