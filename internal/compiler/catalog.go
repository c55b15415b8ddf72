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

// Add puts values into the set.
func (s Set[T]) Add(values ...T) {
	for _, value := range values {
		s[value] = struct{}{}
	}
}

// VersionID names one version of a model.
type VersionID struct {
	Model   string
	Version string
}

// ParseVersion reads "model@version"; ok is false without both parts.
func ParseVersion(text string) (id VersionID, ok bool) {
	model, version, found := strings.Cut(text, "@")
	return VersionID{Model: model, Version: version}, found && model != "" && version != ""
}

// String returns "model@version".
func (id VersionID) String() string { return id.Model + "@" + id.Version }

// IsZero reports whether the id names nothing.
func (id VersionID) IsZero() bool { return id == VersionID{} }

// Version is one deployable build of a model.
type Version struct {
	ID    VersionID
	Price pricer.Price
	// Prior is the expected rating in [0, 1] before any rating has arrived.
	PriorRating float64
	Withdrawn   bool
	Generation  uint64
	// MaxOutput is the largest number of output tokens of one request.
	MaxOutput int
}

// Worker is one endpoint of a service.
type Worker struct {
	Address  netip.AddrPort
	Zone     string
	Service  string
	Slots    int
	Versions Set[VersionID]
}

// Service is a set of workers behind one name.
type Service struct {
	Name    string
	Plain   bool
	Workers []*Worker
	// idempotent maps "METHOD /path" to whether the call may be repeated.
	idempotent map[string]bool
	Fee        pricer.Money
	Fenced     bool
}

// Call looks up a declared call; known is false when it is not declared.
func (s *Service) LookupCall(method, path string) (idempotent, declared bool) {
	idempotent, declared = s.idempotent[method+" "+path]
	return idempotent, declared
}

// Policy is what an account may use and what it expects.
type Policy struct {
	Versions Set[VersionID]
	Services Set[string]
	// Quality is the mean rating in [0, 1] that answers must reach.
	MinRating float64
	// Spend is the allowance of one day; 0 is no limit.
	DailySpend pricer.Money
	// Rate is in requests a second; 0 is no limit.
	RequestRate float64
	// Parallel is the number of requests at once; 0 is no limit.
	MaxParallel int
	Weight      float64
	Priority    int
	Deadline    time.Duration
	// Caution in [0, 1] scales down the share of a roll-out that the account sees.
	Caution float64
	// Urgency is the price of one second of latency.
	LatencyPrice      pricer.Money
	MoveWhenWithdrawn bool
	ExplainRouting    bool
}

// Account is a client account.
type Account struct {
	Name   string
	Policy Policy
}

// Rollout moves a model's traffic from one version to another.
type Rollout struct {
	Name      string
	From      VersionID
	To        VersionID
	Stages    []float64
	Stage     int
	Running   bool
	Paused    bool
	Done      bool
	MaxPeople int
	Tolerance float64
	// Direct exposes people without evidence from copies of requests.
	SkipShadowing bool
}

// Share returns the share of people in [0, 1] that may see the new version.
func (r *Rollout) Share() float64 {
	if r.Done {
		return 1
	}
	if !r.Running && !r.Paused {
		return 0
	}
	return r.Stages[r.Stage]
}

// Catalog is a compiled declaration. It is immutable.
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

// Authenticate returns the account that an API key belongs to, or nil.
func (c *Catalog) Authenticate(key string) *Account {
	return c.accountByDigest[sha256.Sum256([]byte(key))]
}

// Serving returns the workers that serve a version.
func (c *Catalog) WorkersServing(id VersionID) []*Worker { return c.workersByVersion[id] }

// Rolling returns the roll-out that a version is the new version of, or nil.
func (c *Catalog) RolloutTo(id VersionID) *Rollout { return c.rolloutByTarget[id] }
