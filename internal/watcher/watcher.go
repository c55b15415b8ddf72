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
const reportLife = 15 * time.Second

// Load is what an endpoint reports of itself.
type Load struct {
	Running int
	Queued  int
	Leaving bool
}

// state is the view of one endpoint.
type state struct {
	worker   *compiler.Worker
	inflight int
	// others is the load that came from other daemons at the newest report.
	others   int
	reported time.Time
	leaving  bool
}

// Watcher keeps the view of all endpoints. It is safe for concurrent use.
type Watcher struct {
	mu        sync.Mutex
	endpoints map[netip.AddrPort]*state
	health    map[string]*picker.Health
	catalog   *compiler.Catalog
	leaving   compiler.Set[netip.AddrPort]
	ejections uint64
	// OnLeaving, when set, is called when an endpoint itself says it is leaving.
	OnLeaving func(netip.AddrPort)
}

// New returns a watcher without endpoints.
func New() *Watcher {
	return &Watcher{
		endpoints: map[netip.AddrPort]*state{},
		health:    map[string]*picker.Health{},
		leaving:   compiler.Set[netip.AddrPort]{},
	}
}

// Configure takes the endpoints of a catalog.
func (w *Watcher) Configure(catalog *compiler.Catalog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.catalog = catalog
	for address, worker := range catalog.Workers {
		known := w.endpoints[address]
		if known == nil {
			known = &state{leaving: w.leaving.Has(address)}
			w.endpoints[address] = known
		}
		known.worker = worker
	}
	for address, known := range w.endpoints {
		if catalog.Workers[address] == nil && known.inflight == 0 {
			delete(w.endpoints, address)
		}
	}
}

// SetLeaving replaces the endpoints that are known to leave.
func (w *Watcher) SetLeaving(leaving compiler.Set[netip.AddrPort]) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	for address, known := range w.endpoints {
		known.leaving = leaving.Has(address)
	}
}

// Pool returns the views of the endpoints that serve a version.
func (w *Watcher) Pool(version compiler.VersionID) []picker.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.catalog == nil {
		return nil
	}
	return w.views(w.catalog.WorkersServing(version))
}

// Service returns the views of the endpoints of a service.
func (w *Watcher) Service(name string) []picker.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.catalog == nil || w.catalog.Services[name] == nil {
		return nil
	}
	return w.views(w.catalog.Services[name].Workers)
}

func (w *Watcher) views(workers []*compiler.Worker) []picker.Endpoint {
	now := time.Now()
	views := make([]picker.Endpoint, 0, len(workers))
	for _, worker := range workers {
		known := w.endpoints[worker.Address]
		if known == nil {
			continue
		}
		load := known.inflight
		if now.Sub(known.reported) < reportLife {
			load += known.others
		}
		health := w.healthOf(worker.Service)
		probing, plain := health.Probing(worker.Address), w.catalog.Services[worker.Service].Plain
		views = append(views, picker.Endpoint{
			Address:  worker.Address,
			Zone:     worker.Zone,
			Slots:    worker.Slots,
			Load:     load,
			Slowness: health.Slowness(worker.Address),
			Ejected:  health.Ejected(worker.Address, now) || (probing && !plain),
			Draining: known.leaving,
			Probing:  probing && plain,
		})
	}
	return views
}

func (w *Watcher) healthOf(service string) *picker.Health {
	known := w.health[service]
	if known == nil {
		known = picker.NewHealth()
		w.health[service] = known
	}
	return known
}

// Begin records that a request goes to an endpoint.
func (w *Watcher) Begin(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.endpoints[address]; known != nil {
		known.inflight++
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
	Pace time.Duration
}

// End records how a request at an endpoint ended.
func (w *Watcher) End(address netip.AddrPort, result Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.endpoints[address]
	if known == nil {
		return
	}
	known.inflight--
	if result.Neutral || known.worker == nil {
		return
	}
	health := w.healthOf(known.worker.Service)
	if result.Failed {
		health.RecordFailure(address, time.Now())
	} else {
		health.RecordSuccess(address, result.Pace, time.Now())
		health.ReduceNextEjection(address, time.Now())
	}
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[known.worker.Service].Workers), time.Now()) {
		w.ejections++
	}
}

// Progress takes the time per token of an answer that is still under way.
func (w *Watcher) Progress(address netip.AddrPort, pace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.endpoints[address]
	if known == nil || known.worker == nil || pace <= 0 {
		return
	}
	health := w.healthOf(known.worker.Service)
	health.RecordProgress(address, pace, time.Now())
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[known.worker.Service].Workers), time.Now()) {
		w.ejections++
	}
}

// Returning returns the model engines that are back from an ejection and get no
// requests before a probe has shown that they are well. Workers of plain
// services cannot be probed: they get one request at a time instead.
func (w *Watcher) Returning() []*compiler.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []*compiler.Worker
	for address, known := range w.endpoints {
		if known.worker == nil || known.leaving || w.catalog.Services[known.worker.Service] == nil || w.catalog.Services[known.worker.Service].Plain {
			continue
		}
		health := w.healthOf(known.worker.Service)
		if health.Probing(address) && !health.Ejected(address, now) {
			list = append(list, known.worker)
		}
	}
	return list
}

// Failed takes the failure of a probe.
func (w *Watcher) Failed(address netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.endpoints[address]
	if known == nil || known.worker == nil {
		return
	}
	health := w.healthOf(known.worker.Service)
	health.RecordFailure(address, time.Now())
	if health.EjectIfUnhealthy(address, len(w.catalog.Services[known.worker.Service].Workers), time.Now()) {
		w.ejections++
	}
}

// Report takes an endpoint's load report.
func (w *Watcher) Report(address netip.AddrPort, load Load) {
	w.mu.Lock()
	known := w.endpoints[address]
	if known == nil {
		w.mu.Unlock()
		return
	}
	known.others = max(0, load.Running+load.Queued-known.inflight)
	known.reported = time.Now()
	notify := load.Leaving && !known.leaving
	known.leaving = known.leaving || load.Leaving
	callback := w.OnLeaving
	w.mu.Unlock()
	if notify && callback != nil {
		callback(address)
	}
}

// Endpoint is one line of status.
type Endpoint struct {
	Worker   *compiler.Worker
	InFlight int
	Leaving  bool
	Ejected  bool
}

// Endpoints returns the state of all endpoints.
func (w *Watcher) Endpoints() []Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []Endpoint
	for address, known := range w.endpoints {
		list = append(list, Endpoint{
			Worker:   known.worker,
			InFlight: known.inflight,
			Leaving:  known.leaving,
			Ejected:  w.healthOf(known.worker.Service).Ejected(address, now),
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
