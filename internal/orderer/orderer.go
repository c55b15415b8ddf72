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
	leaseDuration = 15 * time.Second
	// renewAfter is the age at which a lease is renewed.
	renewalAge = 5 * time.Second
	// margin is how long before its lapse a holder stops sending orders.
	expiryMargin = 3 * time.Second
	// orderTimeout bounds one order; it is the longest time that an order may
	// be under way after its holder last looked at the lease.
	orderTimeout = 2 * time.Second
	// rankDelay is how much later each next daemon asks for a free lease.
	takeoverDelayPerRank = 5 * time.Second
	// loadGap is the least time between two orders that load weights in a zone,
	// so that the weight store's rate is not exceeded.
	minLoadInterval = 4 * time.Second
	// HeaderVersions is the header of an engine's load report that lists what is
	// loaded.
	HeaderVersions = "X-Versions"
)

// Order is an order to an engine. It states the wanted end, so that a repeated
// one changes nothing.
type Order struct {
	FencingNumber uint64   `json:"fence"`
	Versions      []string `json:"versions"`
}

// Action is what a daemon should do about the lease of its zone.
type Action int

// The actions.
const (
	// Wait: another daemon holds the lease, or it is too early to ask.
	Wait Action = iota
	// Ask: append a lease.
	RequestLease
	// Send: the lease is held with a margin; orders may go out.
	SendOrders
)

// Situation is what the decision about a lease depends on.
type DecisionInput struct {
	DaemonID string
	Lease    Lease
	HasLease bool
	// Rank is this daemon's place among those of the zone.
	Rank int
	// Asked is when this daemon last asked.
	LastRequested time.Time
	// Free is since when this daemon has seen no live lease.
	FreeSince time.Time
	Now       time.Time
}

// Decide returns the action. It is pure.
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

// mayOrder reports whether a new holder has waited out the lease before its
// own and the longest order that may have been sent under it. Engines that
// ignore fencing numbers then cannot meet a late order of the old holder.
func previousOrdersExpired(lease Lease, now time.Time) bool {
	return lease.PreviousExpires.IsZero() || now.After(lease.PreviousExpires.Add(expiryMargin+orderTimeout))
}

// Orderer sends the orders of one daemon. It is safe for concurrent use.
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

// New returns an orderer for the workers of a zone. The caller runs its
// appender and follower and calls Step at intervals.
func New(daemonID, zone string, newID func() string, client *http.Client, appender *journaler.Appender, log journaler.Log, interval time.Duration) *Orderer {
	o := &Orderer{daemonID: daemonID, zone: zone, newID: newID, client: client, appender: appender, leases: NewLeaseTable(), freeSince: time.Now()}
	o.follower = journaler.NewFollower(log, Stream, interval, o.apply)
	return o
}

// Follower returns the follower of the leases.
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

// Counts returns the number of orders that were taken and refused.
func (o *Orderer) Counts() (accepted, refused uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted, o.refused
}

// Step does what the lease allows: it asks for it, or brings engines that do
// not have the declared versions to have them.
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
	// A request that waits in the queue for long would be granted for a time
	// that is over.
	time.AfterFunc(leaseDuration, func() { o.appender.Abandon(pendingRecord) })
}

func (o *Orderer) sendOrders(ctx context.Context, catalog *compiler.Catalog, rank int) {
	for _, worker := range o.workers(catalog) {
		// The lease is looked at again before each order.
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

// read asks an engine what it has loaded; ok is false when it does not say.
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
		return errors.Errorf("engine refused the order: %d %s", response.StatusCode, text)
	}
	return nil
}
