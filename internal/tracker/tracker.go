// Package tracker keeps the state of the registered endpoints: whether they may
// get work, their load, their health and their reachability. It chooses an
// endpoint for each request.
package tracker

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/picker"
)

// Registration is the record that an endpoint publishes about itself.
type Registration struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Version string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints get no new work.
	Draining bool
	// Sequence orders the registrations of one incarnation.
	Sequence int64
	// WarmupRemaining is how much longer the endpoint is slow after its start.
	WarmupRemaining time.Duration
	// Started is the start time of the process; it distinguishes the incarnations
	// of one id.
	Started time.Time
	// Models are the models that the endpoint serves; empty means any.
	Models []string
}

// supersededBy reports whether the registration is older than another one of the
// same id.
func (r Registration) supersededBy(other Registration) bool {
	if !r.Started.Equal(other.Started) {
		return r.Started.Before(other.Started)
	}
	return r.Sequence < other.Sequence
}

// loadReportTTL is how long a load report counts.
const loadReportTTL = time.Second

// endpointState is what this daemon has recorded about one endpoint.
type endpointState struct {
	Registration
	// inflight is the number of requests that this daemon has in progress there.
	inflight int
	// pendingPrefill is the expected prefill time of the prompts that this daemon
	// has sent and whose responses have not begun.
	pendingPrefill time.Duration
	// queueDelay is the time to first token of the last response beyond its
	// expected prefill time, measured at queueDelayAt.
	queueDelay   time.Duration
	queueDelayAt time.Time
	// otherLoad is the load that other daemons caused according to the newest
	// report, which is from reportedAt.
	otherLoad  int
	reportedAt time.Time
	// othersTrend is the course of otherLoad, slowdown that of the time that work takes on
	// the endpoint's host.
	othersTrend trend
	slowdown    slowdown
	// directReportAt is when a response to this daemon last carried the load.
	directReportAt time.Time
	// idHash orders endpoints pseudo-randomly, in the same way on all daemons.
	idHash uint64
	// downUntil is the end of the backoff after a connection to the endpoint was
	// refused or could not be opened; connectFailures counts these failures in a
	// row.
	downUntil       time.Time
	connectFailures int
	// silence is what is known of requests that waited too long there.
	silence silence
	// misdirection is what is known of another endpoint that responded at the address.
	misdirection misdirection
	// removeAt is when an endpoint whose registration expired is removed; zero
	// means never.
	removeAt time.Time
}

// Tracker keeps the state of the registered endpoints. It is safe for concurrent
// use.
type Tracker struct {
	mu                sync.Mutex
	endpoints         map[string]*endpointState
	health            map[string]*picker.Health
	zones             map[string]*reachability
	prefillMsPerToken map[string]float64
	// meanQueueDelay is the mean time to first token beyond the expected prefill
	// time, over all endpoints.
	meanQueueDelay time.Duration
	// meanQueueDelayAt is when meanQueueDelay was last updated.
	meanQueueDelayAt time.Time
	// meanDurations holds the mean duration of a request by service.
	meanDurations map[string]time.Duration
	// slowdownReported holds the services whose endpoints report the slowdown of their
	// hosts, eventTimes their mean time between the events of a response.
	slowdownReported map[string]bool
	eventTimes       map[string]time.Duration
	// limits holds the limits of endpoints by their id. share returns this daemon's share
	// of a limit.
	limits map[string]*limitState
	share  func(endpoint string, perSecond float64) float64
	// coldServices holds the services whose cold endpoints have a bound, colds the endpoints
	// that are cold by their id. coldShare returns this daemon's share of a bound.
	coldServices map[string]ColdService
	colds        map[string]*coldState
	coldShare    func(endpoint string, perSecond float64) float64
	// synchronised is set once all endpoints that were registered when this daemon started are
	// known.
	synchronised bool
	// notices holds what endpoints have asked for in their responses, by their id.
	notices map[string]*notice
	// drained remembers the endpoints that were removed while they were draining.
	drained drainedEndpoints
	// callers holds the latest results of each caller's requests.
	callers map[callerKey]*callerHistory
	// evacuated holds the availability zones whose endpoints get no requests.
	evacuated map[string]bool
	// outageGrace returns how much longer a missing registration may be due to an outage of
	// the log.
	outageGrace func() time.Duration
	zone        string
	random      *rand.Rand
	now         func() time.Time
	logger      hclog.Logger
	ejections   uint64
}

// New returns a tracker without endpoints for a daemon in the zone. Both random
// and now are used only while the tracker's lock is held.
func New(zone string, random *rand.Rand, now func() time.Time, logger hclog.Logger) *Tracker {
	return &Tracker{
		endpoints:         map[string]*endpointState{},
		health:            map[string]*picker.Health{},
		zones:             map[string]*reachability{},
		prefillMsPerToken: map[string]float64{},
		meanDurations:     map[string]time.Duration{},
		slowdownReported:  map[string]bool{},
		eventTimes:        map[string]time.Duration{},
		limits:            map[string]*limitState{},
		colds:             map[string]*coldState{},
		coldShare:         func(string, float64) float64 { return 0 },
		outageGrace:       func() time.Duration { return 0 },
		notices:           map[string]*notice{},
		callers:           map[callerKey]*callerHistory{},
		drained:           drainedEndpoints{byID: map[string]drainedEndpoint{}},
		share:             func(_ string, perSecond float64) float64 { return perSecond },
		zone:              zone,
		random:            random,
		now:               now,
		logger:            logger,
	}
}

// Put adds or updates an endpoint. It ignores a registration that is older than
// the stored one, or than that of an endpoint that has been drained and removed.
func (t *Tracker) Put(registration Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[registration.ID]
	if endpoint == nil && t.drained.supersedes(registration) {
		return
	}
	if endpoint == nil {
		endpoint = &endpointState{idHash: xxhash.Sum64String(registration.ID)}
		t.endpoints[registration.ID] = endpoint
		t.serviceHealth(registration.Service).Forget(registration.Address)
		t.logChange("endpoint registered", registration)
	} else {
		if registration.supersededBy(endpoint.Registration) {
			return
		}
		t.update(endpoint, registration)
	}
	previous := endpoint.Registration
	endpoint.Registration = registration
	endpoint.removeAt = time.Time{}
	t.registerCold(registration, previous)
}

// update resets the results that no longer apply when the endpoint has a new
// incarnation or a new address, and logs the change.
func (t *Tracker) update(endpoint *endpointState, registration Registration) {
	if !endpoint.Started.Equal(registration.Started) || endpoint.Address != registration.Address {
		t.logChange("endpoint restarted or changed its address", registration)
		t.forgetHealth(endpoint.Registration)
		t.serviceHealth(registration.Service).Forget(registration.Address)
		endpoint.otherLoad = 0
		endpoint.othersTrend = trend{}
		endpoint.slowdown = slowdown{}
		endpoint.downUntil = time.Time{}
		endpoint.connectFailures = 0
		endpoint.silence = silence{}
		endpoint.misdirection = misdirection{}
		return
	}
	if registration.Sequence > endpoint.Sequence {
		endpoint.misdirection.recordRegistration()
	}
	if registration.Draining && !endpoint.Draining {
		t.logChange("endpoint is draining", registration)
	}
}

func (t *Tracker) logChange(message string, registration Registration) {
	t.logger.Info(message, "endpoint", registration.ID, "service", registration.Service, "version", registration.Version,
		"address", registration.Address, "zone", registration.Zone, "slots", registration.Slots, "sequence", registration.Sequence)
}

// Remove removes an endpoint whose registration is gone. If the registration may
// have expired in an outage of the log although the endpoint is alive, the endpoint
// is kept for the grace period; zero means that it is removed at once.
func (t *Tracker) Remove(id string, grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id, grace)
}

func (t *Tracker) remove(id string, grace time.Duration) {
	endpoint := t.endpoints[id]
	if endpoint == nil {
		return
	}
	if grace <= 0 || endpoint.Draining {
		t.logChange("endpoint removed", endpoint.Registration)
		if endpoint.Draining {
			t.drained.add(endpoint.Registration, t.now())
		}
		t.delete(endpoint)
		return
	}
	if endpoint.removeAt.IsZero() {
		t.logChange("registration expired during a log outage; keeping the endpoint for a grace period", endpoint.Registration)
		endpoint.removeAt = t.now().Add(grace)
	}
}

// delete deletes an endpoint with its health, which would count in the ejections of the others.
func (t *Tracker) delete(endpoint *endpointState) {
	delete(t.endpoints, endpoint.ID)
	t.forgetHealth(endpoint.Registration)
}

// forgetHealth discards the health of an endpoint that is gone from its address, unless another
// one of the service is there now.
func (t *Tracker) forgetHealth(registration Registration) {
	for _, other := range t.endpoints {
		isThere := other.Service == registration.Service && other.Address == registration.Address && !other.misdirection.active()
		if isThere && other.ID != registration.ID {
			return
		}
	}
	t.serviceHealth(registration.Service).Forget(registration.Address)
}

// isCurrent reports whether an endpoint is still registered with the same incarnation and address.
func (t *Tracker) isCurrent(registration Registration) bool {
	endpoint := t.endpoints[registration.ID]
	return endpoint != nil && endpoint.Started.Equal(registration.Started) && endpoint.Address == registration.Address
}

// Retain removes the endpoints that are not among the ids, as Remove does.
func (t *Tracker) Retain(ids map[string]bool, grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.endpoints {
		if !ids[id] {
			t.remove(id, grace)
		}
	}
	t.synchronised = true
}

func (t *Tracker) serviceHealth(service string) *picker.Health {
	health := t.health[service]
	if health == nil {
		health = picker.NewHealth()
		t.health[service] = health
	}
	return health
}

// available reports whether the endpoint may get work. It removes an endpoint
// whose grace period is over.
func (t *Tracker) available(endpoint *endpointState, now time.Time) bool {
	return t.inService(endpoint, now) && !t.evacuated[endpoint.Zone]
}

// inService reports whether the endpoint may get work unless its zone is evacuated. It removes
// an endpoint whose grace period is over.
func (t *Tracker) inService(endpoint *endpointState, now time.Time) bool {
	if endpoint.Draining || endpoint.misdirection.blocked(now) || t.leaving(endpoint) {
		return false
	}
	t.extendGrace(endpoint, now)
	if !endpoint.removeAt.IsZero() && now.After(endpoint.removeAt) {
		t.logChange("endpoint removed", endpoint.Registration)
		t.delete(endpoint)
		return false
	}
	return true
}

// SetOutageGrace sets the function that returns how much longer a missing registration may be due
// to an outage of the log. It is called while the tracker's lock is held.
func (t *Tracker) SetOutageGrace(remaining func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outageGrace = remaining
}

// extendGrace extends the grace period of an endpoint, if it has one, when the log has gone away
// again before the endpoint could register.
func (t *Tracker) extendGrace(endpoint *endpointState, now time.Time) {
	if endpoint.removeAt.IsZero() || !now.After(endpoint.removeAt) {
		return
	}
	if grace := t.outageGrace(); grace > 0 {
		endpoint.removeAt = now.Add(grace)
	}
}

// Serving reports whether an endpoint is registered, not draining and not leaving.
func (t *Tracker) Serving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[id]
	return endpoint != nil && !endpoint.Draining && !t.leaving(endpoint)
}

// zoneBlocked reports whether the zone is another one that gets no requests now
// because it is partitioned.
func (t *Tracker) zoneBlocked(zone string, now time.Time) bool {
	return zone != t.zone && t.zoneReachability(zone).blocked(now)
}

func (t *Tracker) zoneReachability(zone string) *reachability {
	zoneState := t.zones[zone]
	if zoneState == nil {
		zoneState = &reachability{}
		t.zones[zone] = zoneState
	}
	return zoneState
}

// countEndpoints returns the number of a service's endpoints that neither drain nor are evacuated.
func (t *Tracker) countEndpoints(service string) int {
	count := 0
	for _, endpoint := range t.endpoints {
		if endpoint.Service == service && !endpoint.Draining && !t.evacuated[endpoint.Zone] {
			count++
		}
	}
	return count
}

// InServiceVersionCounts returns for each service the number of endpoints in service by
// version, including those of evacuated zones: an evacuation says nothing about versions.
func (t *Tracker) InServiceVersionCounts() map[string]map[string]int {
	return t.countVersions(t.inService)
}

// AvailableVersionCounts returns the number of a service's endpoints that may get work, by version.
func (t *Tracker) AvailableVersionCounts(service string) map[string]int {
	return t.countVersions(t.available)[service]
}

// countVersions returns for each service the number of included endpoints by version.
func (t *Tracker) countVersions(include func(*endpointState, time.Time) bool) map[string]map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	services := map[string]map[string]int{}
	for _, endpoint := range t.endpoints {
		if !include(endpoint, now) {
			continue
		}
		if services[endpoint.Service] == nil {
			services[endpoint.Service] = map[string]int{}
		}
		services[endpoint.Service][endpoint.Version]++
	}
	return services
}

// Counts returns the number of registered endpoints and the number of ejections
// since the tracker was created.
func (t *Tracker) Counts() (endpoints int, ejections uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints), t.ejections
}
