// Package matcher holds the declared routes, services and accounts of one
// revision and finds the route and the account of a request. It is pure.
package matcher

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type RouteKind int

// The kinds of routes.
const (
	// Once marks requests that run at most once.
	NonIdempotent RouteKind = iota
	// Repeatable marks requests that may run more than once.
	Idempotent
	// Stream marks requests that are answered by a stream of events.
	Stream
)

// Route is a declared route.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RouteKind
	Service string
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	TargetLatency time.Duration
	// Gap is the longest pause between two events of a stream in time.
	TargetEventGap time.Duration
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// Attempts bounds the endpoints that run one request.
	MaxRuns int
	// Anonymous routes need no key.
	AllowAnonymous bool
	// Sizes are the models to choose from, smallest first.
	Models []string
	// Affine requests are best sent where their prompt is cached.
	PrefixAffinity bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeats reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a declared service.
type Service struct {
	Name string
	// Connections is the number of connections that one endpoint accepts.
	MaxConnections int
	// Costs are the prices of the service's models, for 1,000 tokens.
	Costs map[string]float64
}

// Account is a client account.
type Account struct {
	Name    string
	APIKeys []string
	// Priority goes before a route's; negative for none.
	Priority int
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long a client may take to send its header, Idle how
	// long a connection may stay idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is everything that one revision declares.
type Declaration struct {
	Revision int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Table finds routes and accounts. It is immutable.
type Table struct {
	Revision int64
	Limits   Limits
	// Accounted is set when the declaration names accounts, so that requests
	// need a key.
	RequiresAPIKey bool
	routesByHost   map[string][]*Route
	services       map[string]*Service
	accountsByKey  map[string]*Account
	accountCount   int
}

// NewTable returns the table of a declaration.
func NewTable(declaration Declaration) *Table {
	t := &Table{
		Revision:       declaration.Revision,
		Limits:         declaration.Limits,
		RequiresAPIKey: len(declaration.Accounts) > 0,
		routesByHost:   map[string][]*Route{},
		services:       map[string]*Service{},
		accountsByKey:  map[string]*Account{},
		accountCount:   len(declaration.Accounts),
	}
	for i := range declaration.Routes {
		route := &declaration.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
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

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	var longest *Route
	for _, route := range t.routesByHost[hostname(host)] {
		if strings.HasPrefix(path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// hostname drops the port of a Host header.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns a declared service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.accountsByKey[key] }

// Size returns the number of routes and accounts, for logs.
func (t *Table) Counts() (routes, accounts int) {
	for _, list := range t.routesByHost {
		routes += len(list)
	}
	return routes, t.accountCount
}
