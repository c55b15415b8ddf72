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
	leaseLife = 15 * time.Second
	// renewAfter is the age at which a lease is renewed.
	renewAfter = 5 * time.Second
	// margin is how long before its lapse a holder stops sending orders.
	margin = 3 * time.Second
	// orderTimeout bounds one order; it is the longest time that an order may
	// be under way after its holder last looked at the lease.
	orderTimeout = 2 * time.Second
	// rankDelay is how much later each next daemon asks for a free lease.
	rankDelay = 5 * time.Second
	// loadGap is the least time between two orders that load weights in a zone,
	// so that the weight store's rate is not exceeded.
	loadGap = 4 * time.Second
	// HeaderVersions is the header of an engine's load report that lists what is
	// loaded.
	HeaderVersions = "X-Versions"
)

// Order is an order to an engine. It states the wanted end, so that a repeated
// one changes nothing.
type Order struct {
	Fence    uint64   `json:"fence"`
	Versions []string `json:"versions"`
}

// Action is what a daemon should do about the lease of its zone.
type Action int

// The actions.
const (
	// Wait: another daemon holds the lease, or it is too early to ask.
	Wait Action = iota
	// Ask: append a lease.
	Ask
	// Send: the lease is held with a margin; orders may go out.
	Send
)

// Situation is what the decision about a lease depends on.
type Situation struct {
	Self  string
	Lease Lease
	Known bool
	// Rank is this daemon's place among those of the zone.
	Rank int
	// Asked is when this daemon last asked.
	Asked time.Time
	// Free is since when this daemon has seen no live lease.
	Free time.Time
	Now  time.Time
}

// Decide returns the action. It is pure.
func Decide(s Situation) Action {
	live := s.Known && s.Lease.Until.After(s.Now)
	mine := live && s.Lease.Holder == s.Self
	pending := s.Now.Sub(s.Asked) < renewAfter
	switch {
	case mine && !s.Lease.Until.After(s.Now.Add(margin)):
		return askUnless(pending)
	case mine && s.Now.Sub(s.Lease.Granted) >= renewAfter && !pending:
		return Ask
	case mine && mayOrder(s.Lease, s.Now):
		return Send
	case mine, live:
		return Wait
	case s.Now.Sub(s.Free) < time.Duration(s.Rank)*rankDelay:
		return Wait
	default:
		return askUnless(pending)
	}
}

func askUnless(pending bool) Action {
	if pending {
		return Wait
	}
	return Ask
}

// mayOrder reports whether a new holder has waited out the lease before its
// own and the longest order that may have been sent under it. Engines that
// ignore fencing numbers then cannot meet a late order of the old holder.
func mayOrder(lease Lease, now time.Time) bool {
	return lease.Before.IsZero() || now.After(lease.Before.Add(margin+orderTimeout))
}

// Orderer sends the orders of one daemon. It is safe for concurrent use.
type Orderer struct {
	self     string
	zone     string
	newID    func() string
	client   *http.Client
	appender *journaler.Appender
	follower *journaler.Follower

	mu      sync.Mutex
	table   *Table
	asked   time.Time
	free    time.Time
	loaded  time.Time
	sent    uint64
	refused uint64
}

// New returns an orderer for the workers of a zone. The caller runs its
// appender and follower and calls Step at intervals.
func New(self, zone string, newID func() string, client *http.Client, appender *journaler.Appender, log journaler.Log, interval time.Duration) *Orderer {
	o := &Orderer{self: self, zone: zone, newID: newID, client: client, appender: appender, table: NewTable(), free: time.Now()}
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
			o.table.Apply(record.GetId(), offset, lease)
		}
	}
}

// Counts returns the number of orders that were taken and refused.
func (o *Orderer) Counts() (sent, refused uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent, o.refused
}

// Step does what the lease allows: it asks for it, or brings engines that do
// not have the declared versions to have them.
func (o *Orderer) Step(ctx context.Context, catalog *compiler.Catalog, rank int) {
	if !o.follower.CaughtUp() {
		return
	}
	switch o.decide(rank, time.Now()) {
	case Ask:
		o.ask()
	case Send:
		o.send(ctx, catalog, rank)
	case Wait:
	}
}

func (o *Orderer) decide(rank int, now time.Time) Action {
	o.mu.Lock()
	defer o.mu.Unlock()
	lease, known := o.table.Lease(o.zone)
	if known && lease.Until.After(now) {
		o.free = now
	}
	return Decide(Situation{Self: o.self, Lease: lease, Known: known, Rank: rank, Asked: o.asked, Free: o.free, Now: now})
}

func (o *Orderer) ask() {
	o.mu.Lock()
	o.asked = time.Now()
	o.mu.Unlock()
	ticket := o.appender.Submit(&schema.Record{Id: o.newID(), Body: &schema.Record_Lease{Lease: &schema.Lease{
		Zone:   o.zone,
		Holder: o.self,
		Time:   timestamppb.Now(),
		Life:   durationpb.New(leaseLife),
	}}}, true)
	// A request that waits in the queue for long would be granted for a time
	// that is over.
	time.AfterFunc(leaseLife, func() { o.appender.Abandon(ticket) })
}

func (o *Orderer) send(ctx context.Context, catalog *compiler.Catalog, rank int) {
	for _, worker := range o.workers(catalog) {
		// The lease is looked at again before each order.
		if o.decide(rank, time.Now()) != Send {
			return
		}
		loaded, ok := o.read(ctx, worker.Address)
		wanted := names(worker.Versions)
		if !ok || slices.Equal(loaded, wanted) {
			continue
		}
		if loads(loaded, wanted) && !o.mayLoad() {
			continue
		}
		o.order(ctx, worker.Address, wanted)
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

func names(versions compiler.Set[compiler.VersionID]) []string {
	list := make([]string, 0, len(versions))
	for id := range versions {
		list = append(list, id.String())
	}
	slices.Sort(list)
	return list
}

func loads(loaded, wanted []string) bool {
	return slices.ContainsFunc(wanted, func(version string) bool { return !slices.Contains(loaded, version) })
}

func (o *Orderer) mayLoad() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.loaded) < loadGap {
		return false
	}
	o.loaded = time.Now()
	return true
}

// read asks an engine what it has loaded; ok is false when it does not say.
func (o *Orderer) read(ctx context.Context, engine netip.AddrPort) (loaded []string, ok bool) {
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

func (o *Orderer) order(ctx context.Context, engine netip.AddrPort, versions []string) {
	o.mu.Lock()
	lease, _ := o.table.Lease(o.zone)
	o.mu.Unlock()
	err := o.post(ctx, engine, Order{Fence: lease.Fence, Versions: versions})
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.refused++
		return
	}
	o.sent++
}

func (o *Orderer) post(ctx context.Context, engine netip.AddrPort, order Order) error {
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
