package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// leaseDuration is how long a lease is valid after it was requested.
	leaseDuration = 15 * time.Second
	// renewalAge is the age at which the holder renews its lease.
	renewalAge = 5 * time.Second
	// expiryMargin is how long before its lease expires the holder stops sending
	// orders.
	expiryMargin = 3 * time.Second
	// orderTimeout is the timeout of one request to an engine. It bounds how long
	// an order may be in flight after the holder last checked the lease.
	orderTimeout = 2 * time.Second
	// takeoverDelayPerRank is how much longer each next daemon by rank waits
	// before it requests a free lease.
	takeoverDelayPerRank = 5 * time.Second
	// minLoadInterval is the minimum time between two orders of a zone that make
	// an engine load weights, so that the rate limit of the weight store is not
	// exceeded.
	minLoadInterval = 4 * time.Second
	// HeaderVersions is the header of an engine's load report that lists the
	// loaded versions, separated by commas.
	HeaderVersions = "X-Versions"
)

// Order tells an engine which versions to have loaded. It states the complete
// desired set, so that it is idempotent.
type Order struct {
	FencingNumber uint64   `json:"fence"`
	Versions      []string `json:"versions"`
}

// Action is what a daemon does next about the lease of its zone.
type Action int

// The actions that Decide returns.
const (
	// Wait means that another daemon holds the lease, or that it is too early to
	// request the lease or to send orders.
	Wait Action = iota
	// RequestLease means that the daemon appends a lease record to the log.
	RequestLease
	// SendOrders means that the daemon holds the lease, that the lease does not
	// expire within the margin, and that orders may be sent.
	SendOrders
)

// DecisionInput is what the decision about a lease depends on.
type DecisionInput struct {
	// DaemonID is the id of this daemon.
	DaemonID string
	// Lease is the newest lease of the zone; it is valid if HasLease is set.
	Lease    Lease
	HasLease bool
	// Rank is this daemon's position among the daemons of the zone, from 0.
	Rank int
	// LastRequested is when this daemon last requested the lease.
	LastRequested time.Time
	// FreeSince is the last time at which this daemon saw an unexpired lease, or
	// its start if it has seen none.
	FreeSince time.Time
	Now       time.Time
}

// Decide returns the action for the input. It has no side effects.
func Decide(input DecisionInput) Action {
	live := input.HasLease && input.Lease.Expires.After(input.Now)
	heldBySelf := live && input.Lease.Holder == input.DaemonID
	requestPending := input.Now.Sub(input.LastRequested) < renewalAge
	switch {
	case heldBySelf && !input.Lease.Expires.After(input.Now.Add(expiryMargin)):
		return requestUnless(requestPending)
	case heldBySelf && input.Now.Sub(input.Lease.RequestedAt) >= renewalAge && !requestPending:
		return RequestLease
	case heldBySelf && previousOrdersExpired(input.Lease, input.Now):
		return SendOrders
	case heldBySelf, live:
		return Wait
	case input.Now.Sub(input.FreeSince) < time.Duration(input.Rank)*takeoverDelayPerRank:
		return Wait
	default:
		return requestUnless(requestPending)
	}
}

func requestUnless(requestPending bool) Action {
	if requestPending {
		return Wait
	}
	return RequestLease
}

// previousOrdersExpired reports whether the previous holder's lease has expired
// for long enough that none of its orders can still be in flight. An engine that
// ignores fencing numbers then cannot receive a late order of the old holder.
func previousOrdersExpired(lease Lease, now time.Time) bool {
	return lease.PreviousExpires.IsZero() || now.After(lease.PreviousExpires.Add(expiryMargin+orderTimeout))
}

// Orderer sends orders to the engines of a zone while its daemon holds the
// lease. It is safe for concurrent use.
type Orderer struct {
	daemonID string
	zone     string
	newID    func() string
	client   *http.Client
	appender *journaler.Appender
	follower *journaler.Follower

	mu            sync.Mutex
	leases        *LeaseTable
	lastRequested time.Time
	freeSince     time.Time
	lastLoad      time.Time
	accepted      uint64
	refused       uint64
}

// New returns an orderer for the workers of a zone. It polls the log at the
// interval. The caller runs its appender and follower and calls Step at
// intervals.
func New(daemonID, zone string, newID func() string, client *http.Client, appender *journaler.Appender, log journaler.Log, interval time.Duration) *Orderer {
	o := &Orderer{daemonID: daemonID, zone: zone, newID: newID, client: client, appender: appender, leases: NewLeaseTable(), freeSince: time.Now()}
	o.follower = journaler.NewFollower(log, Stream, interval, o.apply)
	return o
}

// Follower returns the follower of the lease stream.
func (o *Orderer) Follower() *journaler.Follower { return o.follower }

func (o *Orderer) apply(offset uint64, records []*schema.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, record := range records {
		if lease := record.GetLease(); lease != nil {
			o.leases.Apply(record.GetId(), offset, lease)
		}
	}
}

// Counts returns the number of orders that engines accepted and the number that
// were refused or failed.
func (o *Orderer) Counts() (accepted, refused uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted, o.refused
}

// Step requests or renews the lease if it is due. If this daemon holds the
// lease, it sends orders to the engines whose loaded versions differ from the
// declared ones. It does nothing before the follower has caught up.
func (o *Orderer) Step(ctx context.Context, catalog *compiler.Catalog, rank int) {
	if !o.follower.CaughtUp() {
		return
	}
	switch o.decide(rank, time.Now()) {
	case RequestLease:
		o.requestLease()
	case SendOrders:
		o.sendOrders(ctx, catalog, rank)
	case Wait:
	}
}

func (o *Orderer) decide(rank int, now time.Time) Action {
	o.mu.Lock()
	defer o.mu.Unlock()
	lease, hasLease := o.leases.Lease(o.zone)
	if hasLease && lease.Expires.After(now) {
		o.freeSince = now
	}
	return Decide(DecisionInput{DaemonID: o.daemonID, Lease: lease, HasLease: hasLease, Rank: rank, LastRequested: o.lastRequested, FreeSince: o.freeSince, Now: now})
}

func (o *Orderer) requestLease() {
	o.mu.Lock()
	o.lastRequested = time.Now()
	o.mu.Unlock()
	pendingRecord := o.appender.Submit(&schema.Record{Id: o.newID(), Body: &schema.Record_Lease{Lease: &schema.Lease{
		Zone:   o.zone,
		Holder: o.daemonID,
		Time:   timestamppb.Now(),
		Life:   durationpb.New(leaseDuration),
	}}}, true)
	// A request that is appended after this time would be for a lease that has
	// already expired.
	time.AfterFunc(leaseDuration, func() { o.appender.Abandon(pendingRecord) })
}

func (o *Orderer) sendOrders(ctx context.Context, catalog *compiler.Catalog, rank int) {
	for _, worker := range o.workers(catalog) {
		// The lease may have expired since the previous order.
		if o.decide(rank, time.Now()) != SendOrders {
			return
		}
		loaded, ok := o.readLoadedVersions(ctx, worker.Address)
		wanted := versionNames(worker.Versions)
		if !ok || slices.Equal(loaded, wanted) {
			continue
		}
		if needsLoad(loaded, wanted) && !o.reserveLoad() {
			continue
		}
		o.sendOrder(ctx, worker.Address, wanted)
	}
}

func (o *Orderer) workers(catalog *compiler.Catalog) []*compiler.Worker {
	var list []*compiler.Worker
	for _, worker := range catalog.Workers {
		if worker.Zone == o.zone && !catalog.Services[worker.Service].Plain {
			list = append(list, worker)
		}
	}
	slices.SortFunc(list, func(a, b *compiler.Worker) int { return a.Address.Compare(b.Address) })
	return list
}

func versionNames(versions compiler.Set[compiler.VersionID]) []string {
	list := make([]string, 0, len(versions))
	for id := range versions {
		list = append(list, id.String())
	}
	slices.Sort(list)
	return list
}

func needsLoad(loaded, wanted []string) bool {
	return slices.ContainsFunc(wanted, func(version string) bool { return !slices.Contains(loaded, version) })
}

func (o *Orderer) reserveLoad() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.lastLoad) < minLoadInterval {
		return false
	}
	o.lastLoad = time.Now()
	return true
}

// readLoadedVersions returns the sorted versions that an engine has loaded. It
// returns ok as false if the request fails or the response does not list them.
func (o *Orderer) readLoadedVersions(ctx context.Context, engine netip.AddrPort) (loaded []string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine.String()+"/load", nil)
	if err != nil {
		return nil, false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return nil, false
	}
	_ = response.Body.Close()
	text := response.Header.Get(HeaderVersions)
	if text == "" {
		return nil, false
	}
	loaded = strings.Split(text, ",")
	slices.Sort(loaded)
	return loaded, true
}

func (o *Orderer) sendOrder(ctx context.Context, engine netip.AddrPort, versions []string) {
	o.mu.Lock()
	lease, _ := o.leases.Lease(o.zone)
	o.mu.Unlock()
	err := o.postOrder(ctx, engine, Order{FencingNumber: lease.FencingNumber, Versions: versions})
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.refused++
		return
	}
	o.accepted++
}

func (o *Orderer) postOrder(ctx context.Context, engine netip.AddrPort, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return errors.Errorf("engine refused the order: status %d: %s", response.StatusCode, text)
	}
	return nil
}
