// Package matcher holds the routes, services and client accounts of one revision
// of the declaration and finds the route and the client account of a request. It
// does no I/O.
package matcher

import (
	"maps"
	"math"
	"strings"
	"time"
)

// RouteKind determines whether the requests of a route may run more than once.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent routes have requests that run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent routes have requests that may run more than once.
	Idempotent
	// Stream routes have requests whose response is a stream of events.
	Stream
)

// Route is a declared route.
type Route struct {
	Name string
	// Host is the host of matching requests, without a port.
	Host string
	// Prefix is the start of the path of matching requests.
	Prefix string
	Kind   RouteKind
	// Service is the name of the service whose endpoints serve the requests.
	Service string
	// Timeout bounds the time that a request may take.
	Timeout time.Duration
	// TargetLatency is the time within which a response should begin.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between two events of a stream that still
	// meets the target.
	TargetEventGap time.Duration
	// Priority is the priority among routes; 0 is the most urgent.
	Priority int
	// MaxRuns bounds the attempts in which an endpoint may run the request.
	// Attempts that the endpoint refused do not count.
	MaxRuns int
	// AllowAnonymous is set if requests need no API key.
	AllowAnonymous bool
	// Models are the models to choose from, smallest first.
	Models []string
	// PrefixAffinity is set if requests prefer the endpoint that has their shared
	// prefix in its cache.
	PrefixAffinity bool
	// Resumable is set if a broken stream may be resumed at another endpoint.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a declared service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts.
	MaxConnections int
	// Costs maps each of the service's models to its cost per 1,000 tokens.
	Costs map[string]float64
	// EventTokens is the number of tokens in an event of a stream, or 0 if it is not
	// declared.
	EventTokens int
	// ColdRate is the number of requests a second that a cold endpoint bears. If it is 0, there
	// is no bound.
	ColdRate float64
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// APIKeys are the keys that authenticate the account.
	APIKeys []string
	// Priority overrides the priority of a route. It is negative for none.
	Priority int
}

const (
	// RoutePriorities is the number of priorities of routes that are told apart within one
	// priority of accounts. Those beyond count as the last one.
	RoutePriorities = 3
	// maxAccountPriority is the last priority of accounts that is told apart.
	maxAccountPriority = 1000
)

// Rank returns the order of urgency of a route's requests from an account, from 0, the most
// urgent. The priority of the account comes before that of the route. An account without one,
// or no account, counts as the most urgent.
func Rank(route *Route, account *Account) int {
	rank := min(RoutePriorities-1, max(0, route.Priority))
	if account != nil {
		rank += RoutePriorities * min(maxAccountPriority, max(0, account.Priority))
	}
	return rank
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request body. If it is not positive, the forwarder
	// applies its default.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time that a client takes to send its header,
	// IdleTimeout the time that a connection stays idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is the content of one revision of the declaration.
type Declaration struct {
	Revision int64
	Routes   []Route
	Services []Service
	// HasAccounts is set if there is a list of client accounts. An empty list is one: no API key is
	// valid then.
	HasAccounts bool
	Accounts    []Account
	Limits      Limits
}

// Table finds the routes, services and client accounts of a declaration. It is
// immutable.
type Table struct {
	Revision int64
	Limits   Limits
	// RequiresAPIKey is set if the declaration has a list of client accounts. Requests then
	// need an API key unless their route allows anonymous ones.
	RequiresAPIKey bool
	routesByHost   map[string][]*Route
	services       map[string]*Service
	accountsByKey  map[string]*Account
	accountCount   int
	// demands holds what callers of each service want.
	demands map[string]Demand
}

// Demand is what the callers of a service want, over all of its routes.
type Demand struct {
	// MostUrgent and LeastUrgent are the ends of the range of their ranks.
	MostUrgent  int
	LeastUrgent int
	// TargetLatency is the shortest target latency, or 0 if there is none.
	TargetLatency time.Duration
}

// NewTable returns the table of a declaration.
func NewTable(declaration Declaration) *Table {
	t := &Table{
		Revision:       declaration.Revision,
		Limits:         declaration.Limits,
		RequiresAPIKey: declaration.HasAccounts || len(declaration.Accounts) > 0,
		routesByHost:   map[string][]*Route{},
		services:       map[string]*Service{},
		accountsByKey:  map[string]*Account{},
		accountCount:   len(declaration.Accounts),
		demands:        map[string]Demand{},
	}
	for i := range declaration.Routes {
		route := &declaration.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
		t.addDemand(route, declaration.Accounts)
	}
	for i := range declaration.Services {
		t.services[declaration.Services[i].Name] = &declaration.Services[i]
	}
	for i := range declaration.Accounts {
		account := &declaration.Accounts[i]
		for _, key := range account.APIKeys {
			t.accountsByKey[key] = account
		}
	}
	return t
}

// addDemand adds the requests of a route to the demand for its service.
func (t *Table) addDemand(route *Route, accounts []Account) {
	demand, found := t.demands[route.Service]
	if !found {
		demand = Demand{MostUrgent: math.MaxInt}
	}
	if !t.RequiresAPIKey || route.AllowAnonymous {
		demand.include(Rank(route, nil))
	} else if len(accounts) == 0 {
		// Nobody may call the route.
		return
	}
	for i := range accounts {
		demand.include(Rank(route, &accounts[i]))
	}
	if route.TargetLatency > 0 && (demand.TargetLatency == 0 || route.TargetLatency < demand.TargetLatency) {
		demand.TargetLatency = route.TargetLatency
	}
	t.demands[route.Service] = demand
}

// include extends the range by a rank.
func (d *Demand) include(rank int) {
	d.MostUrgent = min(d.MostUrgent, rank)
	d.LeastUrgent = max(d.LeastUrgent, rank)
}

// Demand returns what the callers of a service want.
func (t *Table) Demand(service string) Demand { return t.demands[service] }

// Route returns the host's route with the longest prefix of the path, or nil if
// there is none.
func (t *Table) Route(host, path string) *Route {
	var longest *Route
	for _, route := range t.routesByHost[hostname(host)] {
		if strings.HasPrefix(path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// hostname returns a Host header in lower case without the port.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns the service of that name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the client account that has an API key, or nil if there is
// none.
func (t *Table) Account(key string) *Account { return t.accountsByKey[key] }

// KeyList is the API keys of a revision of which nothing else is known.
type KeyList struct {
	Revision int64
	Keys     map[string]bool
}

// Restrict returns a table in which only the API keys are valid that are also in the list.
func (t *Table) Restrict(list KeyList) *Table {
	restricted := *t
	restricted.accountsByKey = maps.Clone(t.accountsByKey)
	maps.DeleteFunc(restricted.accountsByKey, func(key string, _ *Account) bool { return !list.Keys[key] })
	return &restricted
}

// Counts returns the number of routes and client accounts, for logs.
func (t *Table) Counts() (routes, accounts int) {
	for _, list := range t.routesByHost {
		routes += len(list)
	}
	return routes, t.accountCount
}
