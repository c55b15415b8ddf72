package compiler

import (
	"crypto/sha256"
	"net/netip"
	"strings"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/pricer"
)

// Set is a set of values.
type Set[T comparable] map[T]struct{}

// Has reports whether the set contains the value.
func (s Set[T]) Has(value T) bool {
	_, ok := s[value]
	return ok
}

// Add adds values to the set.
func (s Set[T]) Add(values ...T) {
	for _, value := range values {
		s[value] = struct{}{}
	}
}

// VersionID identifies one version of a model.
type VersionID struct {
	Model   string
	Version string
}

// ParseVersion parses "model@version". ok is false if either part is missing.
func ParseVersion(text string) (id VersionID, ok bool) {
	model, version, found := strings.Cut(text, "@")
	return VersionID{Model: model, Version: version}, found && model != "" && version != ""
}

// String returns "model@version".
func (id VersionID) String() string { return id.Model + "@" + id.Version }

// IsZero reports whether the id is the zero value, which identifies no version.
func (id VersionID) IsZero() bool { return id == VersionID{} }

// Version is one deployable build of a model.
type Version struct {
	ID    VersionID
	Price pricer.Price
	// PriorRating is the expected rating in [0, 1] before any rating has arrived.
	PriorRating float64
	// Withdrawn means that the version gets no new requests.
	Withdrawn bool
	// Generation is incremented to restore a stopped version; a stop applies to one
	// generation.
	Generation uint64
	// MaxOutput is the maximum number of output tokens of one request.
	MaxOutput int
}

// Worker is one endpoint of a service.
type Worker struct {
	Address netip.AddrPort
	Zone    string
	Service string
	// Slots is the number of requests that the worker runs at once before it queues.
	Slots    int
	Versions Set[VersionID]
}

// Service is a named set of workers.
type Service struct {
	Name    string
	Plain   bool
	Workers []*Worker
	// idempotent maps "METHOD /path" to whether the call may be retried.
	idempotent map[string]bool
	// Fee is the price of one call of a plain service.
	Fee pricer.Money
	// Fenced means that the workers reject orders with an old fencing number.
	Fenced bool
}

// LookupCall reports whether a call is declared, and whether it is idempotent and
// so may be retried.
func (s *Service) LookupCall(method, path string) (idempotent, declared bool) {
	idempotent, declared = s.idempotent[method+" "+path]
	return idempotent, declared
}

// Policy defines what an account may use and which service level it expects.
type Policy struct {
	Versions Set[VersionID]
	Services Set[string]
	// MinRating is the mean rating in [0, 1] that responses must reach.
	MinRating float64
	// DailySpend limits the cost of one day; 0 means no limit.
	DailySpend pricer.Money
	// RequestRate limits the requests per second; 0 means no limit.
	RequestRate float64
	// MaxParallel limits the concurrent requests; 0 means no limit.
	MaxParallel int
	Weight      float64
	Priority    int
	Deadline    time.Duration
	// Caution in [0, 1] reduces the share of the account's people that a rollout
	// exposes.
	Caution float64
	// LatencyPrice is the cost that routing assigns to one second of latency.
	LatencyPrice pricer.Money
	// MoveWhenWithdrawn means that a conversation moves to another version when its
	// version is withdrawn.
	MoveWhenWithdrawn bool
	// ExplainRouting means that responses state the reason of the routing decision.
	ExplainRouting bool
}

// Account is a client account.
type Account struct {
	Name   string
	Policy Policy
}

// Rollout moves the traffic of a model from one version to another.
type Rollout struct {
	Name    string
	From    VersionID
	To      VersionID
	Stages  []float64
	Stage   int
	Running bool
	Paused  bool
	Done    bool
	// MaxPeople limits the people exposed before the new version is accepted.
	MaxPeople int
	// Tolerance is the loss of mean rating above which the new version counts as
	// worse.
	Tolerance float64
	// SkipShadowing means that people are exposed without evidence from copies of
	// requests.
	SkipShadowing bool
}

// Share returns the share of people in [0, 1] that may be exposed to the new
// version.
func (r *Rollout) Share() float64 {
	if r.Done {
		return 1
	}
	if !r.Running && !r.Paused {
		return 0
	}
	return r.Stages[r.Stage]
}

// Catalog is a compiled declaration. It is immutable after Compile returns it.
type Catalog struct {
	Revision         uint64
	Cluster          string
	Zones            Set[string]
	Versions         map[VersionID]*Version
	Services         map[string]*Service
	Accounts         map[string]*Account
	Rollouts         map[string]*Rollout
	Workers          map[netip.AddrPort]*Worker
	accountByDigest  map[[sha256.Size]byte]*Account
	workersByVersion map[VersionID][]*Worker
	rolloutByTarget  map[VersionID]*Rollout
}

// Authenticate returns the account of an API key, or nil if the key is unknown.
func (c *Catalog) Authenticate(key string) *Account {
	return c.accountByDigest[sha256.Sum256([]byte(key))]
}

// WorkersServing returns the workers that serve a version.
func (c *Catalog) WorkersServing(id VersionID) []*Worker { return c.workersByVersion[id] }

// RolloutTo returns the rollout whose new version is the given one, or nil. It
// ignores rollouts that are done.
func (c *Catalog) RolloutTo(id VersionID) *Rollout { return c.rolloutByTarget[id] }
