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
	readWait      = 1900 * time.Millisecond
	responseSlack = 250 * time.Millisecond
	// maxWait bounds the wait that a caller may ask for.
	maxWait = 5 * time.Second
	// lookSpread spreads the looks of daemons that start or lose their reader
	// together: those that look later find the first one's record.
	checkJitter = 2 * time.Second
	// lookTimeout bounds one look at the log.
	checkTimeout = 1500 * time.Millisecond
	// idleLook is the time without a question after which a reader looks whether
	// another has taken its place.
	idleCheckInterval = 30 * time.Second
)

// Board is the keyed topic that holds the readers by zone.
type ReaderTopic interface {
	Newest(ctx context.Context) ([]subscriber.Record, int64, error)
	// AppendAt adds a record if the topic ends at the offset; the error is
	// subscriber.ErrMoved if it does not.
	AppendAt(ctx context.Context, key string, value []byte, at int64) error
}

// Loads are what a daemon knows of the endpoints' loads.
type LoadTracker interface {
	// Seen returns those that answers to this daemon have carried, Busy those of
	// busy endpoints, whoever saw them.
	DirectLoads() []tracker.Load
	BusyLoads() []tracker.Load
	// Hear takes what others have seen.
	MergeLoads(loads []tracker.Load)
}

// Options are what a relayer works with.
type Options struct {
	Zone        string
	Self        ZoneReader
	ReaderTopic ReaderTopic
	Client      *http.Client
	Clock       subscriber.Clock
	// Endpoints are those whose loads are exchanged.
	LoadTracker LoadTracker
	Logger      hclog.Logger
}

// Relayer asks the zone's reader, or is it. It implements subscriber.Peer.
type Relayer struct {
	Options
	topics       map[string]*subscriber.Subscriber
	readerFailed chan struct{}
	draining     atomic.Bool
	relayedReads atomic.Uint64

	mu     sync.Mutex
	role   Role
	reader ZoneReader
	// failed is the reader that failed last.
	failedReader ZoneReader
	readerClient schemaconnect.RelayServiceClient
	// asked is when another daemon last asked.
	lastRequest time.Duration
}

// New returns a relayer that has no role yet.
func New(options Options) *Relayer {
	return &Relayer{Options: options, topics: map[string]*subscriber.Subscriber{}, readerFailed: make(chan struct{}, 1)}
}

// Share makes the topics' subscribers ask the zone's reader first, and hands on
// what they read. It must be called before Run.
func (r *Relayer) ShareTopics(topics ...*subscriber.Subscriber) {
	for _, topic := range topics {
		topic.SetPeer(r)
		r.topics[topic.Name()] = topic
	}
}

// Handler returns the path and the handler for other daemons.
func (r *Relayer) Handler() (string, http.Handler) {
	return schemaconnect.NewRelayServiceHandler(&handler{r})
}

// Leave makes the daemon answer no more questions.
func (r *Relayer) Drain() { r.draining.Store(true) }

// Relayed returns the number of pages that came from another daemon.
func (r *Relayer) RelayedReads() uint64 { return r.relayedReads.Load() }

// Run keeps the daemon's role until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(checkJitter))))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.readerFailed:
			sleep(ctx, time.Duration(rand.Int64N(int64(checkJitter))))
		case <-ctx.Done():
			return ctx.Err()
		}
		if r.checkDue() {
			r.checkReader(ctx)
		}
		timer.Reset(r.checkDelay())
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// due reports whether the daemon must look who reads.
func (r *Relayer) checkDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.role {
	case Following:
		return false
	case Reading:
		return r.Clock()-r.lastRequest >= idleCheckInterval
	default:
		return true
	}
}

// pause is the time until the next look without a cause.
func (r *Relayer) checkDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role == Following || r.role == Reading {
		return idleCheckInterval
	}
	return checkJitter + time.Duration(rand.Int64N(int64(checkJitter)))
}

// look reads who reads for the zone and takes a role.
func (r *Relayer) checkReader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	records, end, err := r.ReaderTopic.Newest(ctx)
	if err != nil {
		r.Logger.Debug("readers cannot be read", "error", err)
		return
	}
	reader := r.findReader(records)
	r.mu.Lock()
	role := ChooseRole(RoleInputs{Self: r.Self, Reader: reader, FailedReader: r.failedReader, Draining: r.draining.Load()})
	r.mu.Unlock()
	if role == Claiming {
		role = r.claimReader(ctx, end)
	}
	r.setRole(role, reader)
}

// find returns the reader of the zone by the records of all readers.
func (r *Relayer) findReader(records []subscriber.Record) ZoneReader {
	for _, record := range records {
		if record.Key != r.Zone || len(record.Value) == 0 {
			continue
		}
		reader := &schema.Reader{}
		if err := proto.Unmarshal(record.Value, reader); err != nil {
			r.Logger.Error("record of a reader is not usable", "zone", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(reader.GetAddress())
		if err != nil {
			r.Logger.Error("record of a reader is not usable", "zone", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		return ZoneReader{Name: reader.GetName(), Address: address}
	}
	return ZoneReader{}
}

// claim writes this daemon as the zone's reader unless a record has come since.
func (r *Relayer) claimReader(ctx context.Context, at int64) Role {
	value, err := proto.Marshal(&schema.Reader{Name: r.Self.Name, Address: r.Self.Address.String()})
	if err != nil {
		r.Logger.Error("record of a reader is not written", "error", err)
		return Alone
	}
	if err := r.ReaderTopic.AppendAt(ctx, r.Zone, value, at); err != nil {
		r.Logger.Debug("not the zone's reader", "zone", r.Zone, "at", at, "error", err)
		return Alone
	}
	return Reading
}

func (r *Relayer) setRole(role Role, reader ZoneReader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := role != r.role || role == Following && reader != r.reader
	r.role = role
	r.lastRequest = r.Clock()
	if role != Following {
		r.readerClient = nil
		reader = r.Self
	} else if changed {
		r.readerClient = schemaconnect.NewRelayServiceClient(r.Client, "http://"+reader.Address.String())
	}
	r.reader = reader
	if changed {
		r.Logger.Info("role for the zone's reads", "zone", r.Zone, "role", role.String(), "reader", reader.Name, "address", reader.Address)
	}
}

// Read implements subscriber.Peer.
func (r *Relayer) Read(ctx context.Context, topic string, from int64) (subscriber.Page, time.Duration, error) {
	r.mu.Lock()
	client, reader := r.readerClient, r.reader
	r.mu.Unlock()
	if client == nil {
		return subscriber.Page{}, 0, subscriber.ErrNoPeer
	}
	readCtx, cancel := context.WithTimeout(ctx, readWait+responseSlack)
	defer cancel()
	response, err := client.Read(readCtx, connect.NewRequest(&schema.RelayRequest{
		Zone: r.Zone, Reader: reader.Name, Topic: topic, From: from, Wait: durationpb.New(readWait),
	}))
	if err != nil {
		if ctx.Err() == nil && connect.CodeOf(err) != connect.CodeOutOfRange {
			r.dropReader(reader, err)
		}
		return subscriber.Page{}, 0, errors.Wrap(err, "ask the zone's reader")
	}
	r.relayedReads.Add(1)
	return decodePage(response.Msg), response.Msg.GetAge().AsDuration() - response.Msg.GetHeld().AsDuration(), nil
}

func decodePage(response *schema.RelayResponse) subscriber.Page {
	page := subscriber.Page{Next: response.GetNext(), End: response.GetNext()}
	for _, record := range response.GetRecords() {
		page.Records = append(page.Records, subscriber.Record{Key: record.GetKey(), Value: record.GetValue(), Offset: record.GetOffset()})
	}
	return page
}

// lose gives up a reader that has failed; the log is read until another is
// known.
func (r *Relayer) dropReader(reader ZoneReader, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != Following || r.reader != reader {
		return
	}
	r.Logger.Info("role for the zone's reads", "zone", r.Zone, "role", Alone.String(), "lost", reader.Name, "error", err)
	r.role = Alone
	r.readerClient = nil
	r.failedReader = reader
	select {
	case r.readerFailed <- struct{}{}:
	default:
	}
}

// service answers other daemons.
type handler struct{ *Relayer }

// Read implements schemaconnect.RelayServiceHandler. CodeOutOfRange says that the
// caller should read this from the log, any other error that it should find
// another reader.
func (s *handler) Read(ctx context.Context, request *connect.Request[schema.RelayRequest]) (*connect.Response[schema.RelayResponse], error) {
	started := s.Clock()
	message := request.Msg
	topic := s.topics[message.GetTopic()]
	if topic == nil || message.GetZone() != s.Zone || message.GetReader() != s.Self.Name {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("another daemon was meant"))
	}
	if !s.acceptRequest() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this daemon does not read for the zone"))
	}
	page, age, err := topic.RecordsFrom(ctx, message.GetFrom(), min(maxWait, message.GetWait().AsDuration()))
	switch {
	case errors.Is(err, subscriber.ErrExpired), errors.Is(err, subscriber.ErrTooLarge), errors.Is(err, subscriber.ErrUnread):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &schema.RelayResponse{Next: page.Next, Age: durationpb.New(age), Held: durationpb.New(s.Clock() - started)}
	for _, record := range page.Records {
		response.Records = append(response.Records, &schema.RelayRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	s.Logger.Trace("told another daemon", "topic", message.GetTopic(), "from", message.GetFrom(), "next", page.Next, "age", noter.FormatDuration(age))
	return connect.NewResponse(response), nil
}

// reads reports whether the daemon answers others, and notes the question.
func (s *handler) acceptRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest = s.Clock()
	return s.role == Reading && !s.draining.Load()
}
