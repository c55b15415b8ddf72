// Package relayer lets the daemons of an availability zone share their reads of
// the log: one of them reads, the others ask it and fall back to the log when it
// fails them. Who reads is kept in the log; nothing depends on there being only
// one.
package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// readWait is how long a reader holds a request, readSlack how much longer its
	// answer may take. Together they stay well under the time in which a proof of
	// reading grows too old.
	readWait  = 1900 * time.Millisecond
	readSlack = 250 * time.Millisecond
	// maxWait bounds the wait that a caller may ask for.
	maxWait = 5 * time.Second
	// lookSpread spreads the looks of daemons that start or lose their reader
	// together: those that look later find the first one's record.
	lookSpread = 2 * time.Second
	// lookTimeout bounds one look at the log.
	lookTimeout = 1500 * time.Millisecond
	// idleLook is the time without a question after which a reader looks whether
	// another has taken its place.
	idleLook = 30 * time.Second
)

// Board is the keyed topic that holds the readers by zone.
type Board interface {
	Newest(ctx context.Context) ([]subscriber.Record, int64, error)
	// AppendAt adds a record if the topic ends at the offset; the error is
	// subscriber.ErrMoved if it does not.
	AppendAt(ctx context.Context, key string, value []byte, at int64) error
}

// Loads are what a daemon knows of the endpoints' loads.
type Loads interface {
	// Seen returns those that answers to this daemon have carried, Busy those of
	// busy endpoints, whoever saw them.
	DirectLoads() []tracker.Load
	BusyLoads() []tracker.Load
	// Hear takes what others have seen.
	MergeLoads(loads []tracker.Load)
}

// Options are what a relayer works with.
type Options struct {
	Zone   string
	Self   Record
	Board  Board
	Client *http.Client
	Clock  subscriber.Clock
	// Endpoints are those whose loads are exchanged.
	Endpoints Loads
	Logger    hclog.Logger
}

// Relayer asks the zone's reader, or is it. It implements subscriber.Peer.
type Relayer struct {
	Options
	topics  map[string]*subscriber.Subscriber
	lost    chan struct{}
	leaving atomic.Bool
	relayed atomic.Uint64

	mu     sync.Mutex
	role   Role
	reader Record
	// failed is the reader that failed last.
	failed  Record
	service schemaconnect.RelayServiceClient
	// asked is when another daemon last asked.
	asked time.Duration
}

// New returns a relayer that has no role yet.
func New(options Options) *Relayer {
	return &Relayer{Options: options, topics: map[string]*subscriber.Subscriber{}, lost: make(chan struct{}, 1)}
}

// Share makes the topics' subscribers ask the zone's reader first, and hands on
// what they read. It must be called before Run.
func (r *Relayer) Share(topics ...*subscriber.Subscriber) {
	for _, topic := range topics {
		topic.SetPeer(r)
		r.topics[topic.Name()] = topic
	}
}

// Handler returns the path and the handler for other daemons.
func (r *Relayer) Handler() (string, http.Handler) {
	return schemaconnect.NewRelayServiceHandler(&service{r})
}

// Leave makes the daemon answer no more questions.
func (r *Relayer) Leave() { r.leaving.Store(true) }

// Relayed returns the number of pages that came from another daemon.
func (r *Relayer) Relayed() uint64 { return r.relayed.Load() }

// Run keeps the daemon's role until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(lookSpread))))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.lost:
			wait(ctx, time.Duration(rand.Int64N(int64(lookSpread))))
		case <-ctx.Done():
			return ctx.Err()
		}
		if r.due() {
			r.look(ctx)
		}
		timer.Reset(r.pause())
	}
}

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// due reports whether the daemon must look who reads.
func (r *Relayer) due() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.role {
	case Following:
		return false
	case Reading:
		return r.Clock()-r.asked >= idleLook
	default:
		return true
	}
}

// pause is the time until the next look without a cause.
func (r *Relayer) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role == Following || r.role == Reading {
		return idleLook
	}
	return lookSpread + time.Duration(rand.Int64N(int64(lookSpread)))
}

// look reads who reads for the zone and takes a role.
func (r *Relayer) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	items, end, err := r.Board.Newest(ctx)
	if err != nil {
		r.Logger.Debug("readers cannot be read", "error", err)
		return
	}
	reader := r.find(items)
	r.mu.Lock()
	role := Choose(View{Self: r.Self, Reader: reader, Failed: r.failed, Leaving: r.leaving.Load()})
	r.mu.Unlock()
	if role == Claiming {
		role = r.claim(ctx, end)
	}
	r.take(role, reader)
}

// find returns the reader of the zone by the records of all readers.
func (r *Relayer) find(items []subscriber.Record) Record {
	for _, item := range items {
		if item.Key != r.Zone || len(item.Value) == 0 {
			continue
		}
		reader := &schema.Reader{}
		if err := proto.Unmarshal(item.Value, reader); err != nil {
			r.Logger.Error("record of a reader is not usable", "zone", item.Key, "offset", item.Offset, "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(reader.GetAddress())
		if err != nil {
			r.Logger.Error("record of a reader is not usable", "zone", item.Key, "offset", item.Offset, "error", err)
			continue
		}
		return Record{Name: reader.GetName(), Address: address}
	}
	return Record{}
}

// claim writes this daemon as the zone's reader unless a record has come since.
func (r *Relayer) claim(ctx context.Context, at int64) Role {
	value, err := proto.Marshal(&schema.Reader{Name: r.Self.Name, Address: r.Self.Address.String()})
	if err != nil {
		r.Logger.Error("record of a reader is not written", "error", err)
		return Alone
	}
	if err := r.Board.AppendAt(ctx, r.Zone, value, at); err != nil {
		r.Logger.Debug("not the zone's reader", "zone", r.Zone, "at", at, "error", err)
		return Alone
	}
	return Reading
}

func (r *Relayer) take(role Role, reader Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := role != r.role || role == Following && reader != r.reader
	r.role = role
	r.asked = r.Clock()
	if role != Following {
		r.service = nil
		reader = r.Self
	} else if changed {
		r.service = schemaconnect.NewRelayServiceClient(r.Client, "http://"+reader.Address.String())
	}
	r.reader = reader
	if changed {
		r.Logger.Info("role for the zone's reads", "zone", r.Zone, "role", role.String(), "reader", reader.Name, "address", reader.Address)
	}
}

// Read implements subscriber.Peer.
func (r *Relayer) Read(ctx context.Context, topic string, from int64) (subscriber.Page, time.Duration, error) {
	r.mu.Lock()
	client, reader := r.service, r.reader
	r.mu.Unlock()
	if client == nil {
		return subscriber.Page{}, 0, subscriber.ErrNoPeer
	}
	bounded, cancel := context.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	response, err := client.Read(bounded, connect.NewRequest(&schema.RelayRequest{
		Zone: r.Zone, Reader: reader.Name, Topic: topic, From: from, Wait: durationpb.New(readWait),
	}))
	if err != nil {
		if ctx.Err() == nil && connect.CodeOf(err) != connect.CodeOutOfRange {
			r.lose(reader, err)
		}
		return subscriber.Page{}, 0, errors.Wrap(err, "ask the zone's reader")
	}
	r.relayed.Add(1)
	return page(response.Msg), response.Msg.GetAge().AsDuration() - response.Msg.GetHeld().AsDuration(), nil
}

func page(response *schema.RelayResponse) subscriber.Page {
	page := subscriber.Page{Next: response.GetNext(), End: response.GetNext()}
	for _, record := range response.GetRecords() {
		page.Records = append(page.Records, subscriber.Record{Key: record.GetKey(), Value: record.GetValue(), Offset: record.GetOffset()})
	}
	return page
}

// lose gives up a reader that has failed; the log is read until another is
// known.
func (r *Relayer) lose(reader Record, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != Following || r.reader != reader {
		return
	}
	r.Logger.Info("role for the zone's reads", "zone", r.Zone, "role", Alone.String(), "lost", reader.Name, "error", err)
	r.role = Alone
	r.service = nil
	r.failed = reader
	select {
	case r.lost <- struct{}{}:
	default:
	}
}

// service answers other daemons.
type service struct{ *Relayer }

// Read implements schemaconnect.RelayServiceHandler. CodeOutOfRange says that the
// caller should read this from the log, any other error that it should find
// another reader.
func (s *service) Read(ctx context.Context, request *connect.Request[schema.RelayRequest]) (*connect.Response[schema.RelayResponse], error) {
	began := s.Clock()
	message := request.Msg
	topic := s.topics[message.GetTopic()]
	if topic == nil || message.GetZone() != s.Zone || message.GetReader() != s.Self.Name {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("another daemon was meant"))
	}
	if !s.reads() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this daemon does not read for the zone"))
	}
	page, age, err := topic.RecordsFrom(ctx, message.GetFrom(), min(maxWait, message.GetWait().AsDuration()))
	switch {
	case errors.Is(err, subscriber.ErrExpired), errors.Is(err, subscriber.ErrTooLarge), errors.Is(err, subscriber.ErrUnread):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &schema.RelayResponse{Next: page.Next, Age: durationpb.New(age), Held: durationpb.New(s.Clock() - began)}
	for _, item := range page.Records {
		response.Records = append(response.Records, &schema.RelayRecord{Key: item.Key, Value: item.Value, Offset: item.Offset})
	}
	s.Logger.Trace("told another daemon", "topic", message.GetTopic(), "from", message.GetFrom(), "next", page.Next, "age", noter.Brief(age))
	return connect.NewResponse(response), nil
}

// reads reports whether the daemon answers others, and notes the question.
func (s *service) reads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = s.Clock()
	return s.role == Reading && !s.leaving.Load()
}
