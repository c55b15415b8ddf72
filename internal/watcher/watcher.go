// Package watcher keeps the view of the endpoints: what runs on them, what
// they report, how they do, and which are leaving.
package watcher

import (
	"net/netip"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/picker"
)

// reportLife is how long a load report counts.
const maxReportAge = 15 * time.Second

// Load is what an endpoint reports of itself.
type LoadReport struct {
	Running  int
	Queued   int
	Draining bool
}

// state is the view of one endpoint.
type endpointState struct {
	worker   *compiler.Worker
	inFlight int
	// others is the load that came from other daemons at the newest report.
	externalLoad int
	reportedAt   time.Time
	draining     bool
}

// Watcher keeps the view of all endpoints. It is safe for concurrent use.
type Watcher struct {
	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpointState
	health    map[string]*picker.Health
	catalog   *compiler.Catalog
	draining  compiler.Set[netip.AddrPort]
	ejections uint64
	// OnLeaving, when set, is called when an endpoint itself says it is leaving.
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

// Configure takes the endpoints of a catalog.
func (w *Watcher) Configure(catalog *compiler.Catalog) {
	w.mu.Lock()
	defer w.mu.Unlock()
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

// SetLeaving replaces the endpoints that are known to leave.
func (w *Watcher) SetDraining(draining compiler.Set[netip.AddrPort]) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
	for address, endpoint := range w.endpoints {
		endpoint.draining = draining.Has(address)
	}
}

// Pool returns the views of the endpoints that serve a version.
func (w *Watcher) VersionEndpoints(version compiler.VersionID) []picker.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.catalog == nil {
		return nil
	}
	return w.endpointViews(w.catalog.Serving(version))
}

// Service returns the views of the endpoints of a service.
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

// Begin records that a request goes to an endpoint.
func (w *Watcher) Begin(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if endpoint := w.endpoints[address]; endpoint != nil {
		endpoint.inFlight++
	}
}

// Result is how a request at an endpoint ended.
type Result struct {
	// Failed is set when the endpoint is to blame.
	Failed bool
	// Neutral is set when the result says nothing of the endpoint, as when the
	// caller hung up.
	Neutral bool
	// Pace is the time per token; 0 when unknown.
	DecodePace time.Duration
}

// End records how a request at an endpoint ended.
func (w *Watcher) End(address netip.AddrPort, result Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	endpoint := w.endpoints[address]
	if endpoint == nil {
		return
	}
	endpoint.inFlight--
	if result.Neutral || endpoint.worker == nil {
		return
	}
	health := w.serviceHealth(endpoint.worker.Service)
	if result.Failed {
		health.RecordFailure(address, time.Now())
	} else {
		health.RecordSuccess(address, result.DecodePace, time.Now())
		health.ReduceNextEjection(address, time.Now())
	}
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[endpoint.worker.Service].Workers), time.Now()) {
		w.ejections++
	}
}

// Progress takes the time per token of an answer that is still under way.
func (w *Watcher) RecordProgress(address netip.AddrPort, decodePace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	endpoint := w.endpoints[address]
	if endpoint == nil || endpoint.worker == nil || decodePace <= 0 {
		return
	}
	health := w.serviceHealth(endpoint.worker.Service)
	health.RecordProgress(address, decodePace, time.Now())
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[endpoint.worker.Service].Workers), time.Now()) {
		w.ejections++
	}
}

// Returning returns the model engines that are back from an ejection and get no
// requests before a probe has shown that they are well. Workers of plain
// services cannot be probed: they get one request at a time instead.
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

// Failed takes the failure of a probe.
func (w *Watcher) RecordProbeFailure(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	endpoint := w.endpoints[address]
	if endpoint == nil || endpoint.worker == nil {
		return
	}
	health := w.serviceHealth(endpoint.worker.Service)
	health.RecordFailure(address, time.Now())
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[endpoint.worker.Service].Workers), time.Now()) {
		w.ejections++
	}
}

// Report takes an endpoint's load report.
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

// Endpoint is one line of status.
type EndpointStatus struct {
	Worker   *compiler.Worker
	InFlight int
	Draining bool
	Ejected  bool
}

// Endpoints returns the state of all endpoints.
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

// Ejections returns the number of ejections.
func (w *Watcher) Ejections() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ejections
}
