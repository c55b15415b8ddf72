// Package tracker keeps the endpoints that have registered themselves: which
// may get work, how much they have and how they do.
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

// Registration is what an endpoint says of itself.
type Registration struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Version string
	Slots   int
	// Leaving endpoints take no new work.
	Draining bool
	// Sequence orders the registrations of one start.
	Sequence int64
	// Cold is how much longer the endpoint is slow after its start.
	WarmupRemaining time.Duration
	// Started tells apart two lives of one id.
	Started time.Time
	Models  []string
}

// olderThan reports whether the registration is superseded by another of the
// same id.
func (r Registration) olderThan(other Registration) bool {
	if !r.Started.Equal(other.Started) {
		return r.Started.Before(other.Started)
	}
	return r.Sequence < other.Sequence
}

const (
	// lapseGrace is how long an endpoint whose record vanished while the log was
	// away is kept: it registers again within about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// reportLife is how long a load that an answer carried counts.
	reportLife = time.Second
)

// state is the view of one endpoint.
type state struct {
	Registration
	inflight int
	// prefill is the time that the prompts need which this daemon has sent and
	// whose answers have not begun.
	prefill time.Duration
	// delay is by how much answers began later than their prompts explain, as
	// last seen at delayed.
	delay   time.Duration
	delayed time.Time
	// others is the load that came from other daemons at the newest report.
	others   int
	reported time.Time
	// seen is when an answer to this daemon last carried the load.
	seen time.Time
	// rank orders endpoints at random, alike on all daemons.
	rank uint64
	// down is until when the endpoint gets no work after its host refused or did
	// not take a connection; downs counts how often in a row.
	down  time.Time
	downs int
	// misdirected is set when another endpoint answered at the address.
	misdirected bool
	// lapses is when an endpoint without a record is forgotten; zero for never.
	lapses time.Time
}

// Tracker keeps the endpoints. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[string]*state
	health    map[string]*picker.Health
	zones     map[string]*reach
	speeds    map[string]float64
	// meanDelay is by how much answers begin later than their prompts explain.
	meanDelay time.Duration
	// meanDelayed is when it was last seen.
	meanDelayed time.Time
	// lengths are the mean times of a request in a slot by service.
	lengths   map[string]time.Duration
	zone      string
	random    *rand.Rand
	now       func() time.Time
	logger    hclog.Logger
	ejections uint64
}

// New returns a tracker without endpoints for a daemon in the zone.
func New(zone string, random *rand.Rand, now func() time.Time, logger hclog.Logger) *Tracker {
	return &Tracker{
		endpoints: map[string]*state{},
		health:    map[string]*picker.Health{},
		zones:     map[string]*reach{},
		speeds:    map[string]float64{},
		lengths:   map[string]time.Duration{},
		zone:      zone,
		random:    random,
		now:       now,
		logger:    logger,
	}
}

// Put takes a registration. One that is older than what is known is ignored.
func (t *Tracker) Put(registration Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[registration.ID]
	if known == nil {
		known = &state{rank: xxhash.Sum64String(registration.ID)}
		t.endpoints[registration.ID] = known
		t.healthOf(registration.Service).Forget(registration.Address)
		t.logChange("endpoint appeared", registration)
	} else {
		if registration.olderThan(known.Registration) {
			return
		}
		t.update(known, registration)
	}
	known.Registration = registration
	known.lapses = time.Time{}
}

func (t *Tracker) update(known *state, registration Registration) {
	if !known.Started.Equal(registration.Started) || known.Address != registration.Address {
		t.logChange("endpoint started again", registration)
		t.healthOf(registration.Service).Forget(registration.Address)
		known.others = 0
		known.down = time.Time{}
		known.downs = 0
		known.misdirected = false
		return
	}
	if registration.Draining && !known.Draining {
		t.logChange("endpoint is leaving", registration)
	}
}

func (t *Tracker) logChange(message string, registration Registration) {
	t.logger.Info(message, "endpoint", registration.ID, "service", registration.Service, "version", registration.Version,
		"address", registration.Address, "zone", registration.Zone, "slots", registration.Slots, "sequence", registration.Sequence)
}

// Drop forgets an endpoint whose record is gone. After an outage of the log it
// is kept for a while, since a record may have lapsed although its endpoint
// lives.
func (t *Tracker) Remove(id string, outage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id, outage)
}

func (t *Tracker) drop(id string, outage bool) {
	known := t.endpoints[id]
	if known == nil {
		return
	}
	if !outage || known.Draining {
		t.logChange("endpoint is gone", known.Registration)
		delete(t.endpoints, id)
		return
	}
	if known.lapses.IsZero() {
		t.logChange("record of an endpoint lapsed while the log was away", known.Registration)
		known.lapses = t.now().Add(lapseGrace)
	}
}

// Retain drops the endpoints that are not among the ids.
func (t *Tracker) Retain(ids map[string]bool, outage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.endpoints {
		if !ids[id] {
			t.drop(id, outage)
		}
	}
}

func (t *Tracker) healthOf(service string) *picker.Health {
	known := t.health[service]
	if known == nil {
		known = picker.NewHealth()
		t.health[service] = known
	}
	return known
}

// usable reports whether the endpoint may get work.
func (t *Tracker) usable(known *state, now time.Time) bool {
	if known.Draining || known.misdirected {
		return false
	}
	if !known.lapses.IsZero() && now.After(known.lapses) {
		t.logChange("endpoint is gone", known.Registration)
		delete(t.endpoints, known.ID)
		return false
	}
	return true
}

// cut reports whether another zone seems to be out of reach.
func (t *Tracker) cut(zone string, now time.Time) bool {
	return zone != t.zone && t.reachOf(zone).suspect(now)
}

func (t *Tracker) reachOf(zone string) *reach {
	known := t.zones[zone]
	if known == nil {
		known = &reach{}
		t.zones[zone] = known
	}
	return known
}

func (t *Tracker) count(service string) int {
	count := 0
	for _, known := range t.endpoints {
		if known.Service == service && !known.Draining {
			count++
		}
	}
	return count
}

// AllVersions returns for each service the versions of its usable endpoints with
// their number.
func (t *Tracker) AllVersionCounts() map[string]map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	services := map[string]map[string]int{}
	for _, known := range t.endpoints {
		if !t.usable(known, now) {
			continue
		}
		if services[known.Service] == nil {
			services[known.Service] = map[string]int{}
		}
		services[known.Service][known.Version]++
	}
	return services
}

// Versions returns the versions of one service's usable endpoints.
func (t *Tracker) VersionCounts(service string) map[string]int { return t.AllVersionCounts()[service] }

// Counts returns the number of endpoints and of ejections so far.
func (t *Tracker) Counts() (endpoints int, ejections uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints), t.ejections
}
