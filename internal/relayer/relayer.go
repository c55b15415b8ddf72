// Package relayer lets the daemons of an availability zone share their reads of
// the log. One daemon, the zone reader, reads the log. The others read from it,
// and fall back to the log when it fails. The log records which daemon is the
// zone reader. Correctness does not depend on there being only one.
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
	// readWait is how long the zone reader may hold a read, responseSlack how much
	// longer its response may take. Together they stay well under the age at which a
	// verified read is too old.
	readWait      = 1900 * time.Millisecond
	responseSlack = 250 * time.Millisecond
	// maxWait bounds the wait that a client may ask for.
	maxWait = 5 * time.Second
	// checkJitter spreads the checks of daemons that start or lose their zone reader
	// at the same time, so that later ones find the record of the first.
	checkJitter = 2 * time.Second
	// maxMessageBytes bounds a message from another daemon.
	maxMessageBytes = 1 << 20
	// checkTimeout bounds one check for the zone reader in the log.
	checkTimeout = 1500 * time.Millisecond
	// idleCheckInterval is the time without a request after which the zone reader
	// checks whether another daemon has replaced it.
	idleCheckInterval = 30 * time.Second
)

// ReaderTopic is the keyed topic that holds the zone reader of each zone.
type ReaderTopic interface {
	// Newest returns the newest record of each key, and the offset at which the topic
	// ends.
	Newest(ctx context.Context) ([]subscriber.Record, int64, error)
	// AppendAt adds a record if the topic ends at the offset. Otherwise, it returns
	// subscriber.ErrOffsetConflict.
	AppendAt(ctx context.Context, key string, value []byte, at int64) error
}

// LoadTracker holds the known loads of endpoints.
type LoadTracker interface {
	// DirectLoads returns the loads that responses to this daemon have carried.
	// BusyLoads returns those of busy endpoints, including loads that only other
	// daemons have seen.
	DirectLoads() []tracker.Load
	BusyLoads() []tracker.Load
	// MergeLoads adds loads that other daemons have seen.
	MergeLoads(loads []tracker.Load)
}

// Options configure a relayer.
type Options struct {
	Zone        string
	Self        ZoneReader
	ReaderTopic ReaderTopic
	Client      *http.Client
	Clock       subscriber.Clock
	// LoadTracker provides the loads that are exchanged with the zone reader.
	LoadTracker LoadTracker
	Logger      hclog.Logger
}

// Relayer reads topics from the zone reader, or serves them if this daemon is the
// zone reader. It implements subscriber.Peer.
type Relayer struct {
	Options
	topics map[string]*subscriber.Subscriber
	// readerFailed signals that the zone reader has failed.
	readerFailed chan struct{}
	draining     atomic.Bool
	relayedReads atomic.Uint64

	mu     sync.Mutex
	role   Role
	reader ZoneReader
	// failedReader is the zone reader that failed last.
	failedReader ZoneReader
	readerClient schemaconnect.RelayServiceClient
	// lastRequest is when another daemon last sent a request, or when this daemon
	// took its role if that was later.
	lastRequest time.Duration
}

// New returns a relayer in the role Alone.
func New(options Options) *Relayer {
	return &Relayer{Options: options, topics: map[string]*subscriber.Subscriber{}, readerFailed: make(chan struct{}, 1)}
}

// ShareTopics makes the topics' subscribers read from the zone reader first, and
// serves what they have read to other daemons. It must be called before Run.
func (r *Relayer) ShareTopics(topics ...*subscriber.Subscriber) {
	for _, topic := range topics {
		topic.SetPeer(r)
		r.topics[topic.Name()] = topic
	}
}

// Handler returns the path and the handler of the RelayService.
func (r *Relayer) Handler() (string, http.Handler) {
	return schemaconnect.NewRelayServiceHandler(&handler{r}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Drain makes the daemon reject requests from other daemons.
func (r *Relayer) Drain() { r.draining.Store(true) }

// RelayedReads returns the number of pages that were read from another daemon.
func (r *Relayer) RelayedReads() uint64 { return r.relayedReads.Load() }

// Run keeps the daemon's role up to date until ctx ends, and returns the error of
// ctx.
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

// checkDue reports whether the daemon must check which daemon is the zone reader.
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

// checkDelay returns the time until the next regular check.
func (r *Relayer) checkDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role == Following || r.role == Reading {
		return idleCheckInterval
	}
	return checkJitter + time.Duration(rand.Int64N(int64(checkJitter)))
}

// checkReader reads the zone reader from the log and takes a role.
func (r *Relayer) checkReader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	records, end, err := r.ReaderTopic.Newest(ctx)
	if err != nil {
		r.Logger.Debug("cannot read the zone readers from the log", "error", err)
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

// findReader returns the reader of this zone from the records of all zones. It logs
// and skips an invalid record.
func (r *Relayer) findReader(records []subscriber.Record) ZoneReader {
	for _, record := range records {
		if record.Key != r.Zone || len(record.Value) == 0 {
			continue
		}
		reader := &schema.Reader{}
		if err := proto.Unmarshal(record.Value, reader); err != nil {
			r.Logger.Error("invalid zone reader record", "zone", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(reader.GetAddress())
		if err != nil {
			r.Logger.Error("invalid zone reader record", "zone", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		return ZoneReader{Name: reader.GetName(), Address: address}
	}
	return ZoneReader{}
}

// claimReader records this daemon as the zone reader unless a record was appended
// since the topic was read. It returns the resulting role.
func (r *Relayer) claimReader(ctx context.Context, at int64) Role {
	value, err := proto.Marshal(&schema.Reader{Name: r.Self.Name, Address: r.Self.Address.String()})
	if err != nil {
		r.Logger.Error("cannot encode zone reader record", "error", err)
		return Alone
	}
	if err := r.ReaderTopic.AppendAt(ctx, r.Zone, value, at); err != nil {
		r.Logger.Debug("claim of the zone reader role failed", "zone", r.Zone, "at", at, "error", err)
		return Alone
	}
	return Reading
}

// setRole sets the daemon's role. A following daemon also gets a client of the
// zone reader.
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
		r.readerClient = schemaconnect.NewRelayServiceClient(r.Client, "http://"+reader.Address.String(), connect.WithReadMaxBytes(maxMessageBytes))
	}
	r.reader = reader
	if changed {
		r.Logger.Info("role in the zone's log reads changed", "zone", r.Zone, "role", role.String(), "reader", reader.Name, "address", reader.Address)
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
		return subscriber.Page{}, 0, errors.Wrap(err, "read from the zone reader")
	}
	r.relayedReads.Add(1)
	return decodePage(response.Msg), response.Msg.GetAge().AsDuration() - response.Msg.GetHeld().AsDuration(), nil
}

// decodePage converts a response of the RelayService to a page.
func decodePage(response *schema.RelayResponse) subscriber.Page {
	page := subscriber.Page{Next: response.GetNext(), End: response.GetNext()}
	for _, record := range response.GetRecords() {
		page.Records = append(page.Records, subscriber.Record{Key: record.GetKey(), Value: record.GetValue(), Offset: record.GetOffset()})
	}
	return page
}

// dropReader stops following a zone reader that has failed. The daemon reads the
// log until another zone reader is known.
func (r *Relayer) dropReader(reader ZoneReader, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != Following || r.reader != reader {
		return
	}
	r.Logger.Info("zone reader failed; reading the log", "zone", r.Zone, "role", Alone.String(), "lost", reader.Name, "error", err)
	r.role = Alone
	r.readerClient = nil
	r.failedReader = reader
	select {
	case r.readerFailed <- struct{}{}:
	default:
	}
}

// handler serves the requests of other daemons.
type handler struct{ *Relayer }

// Read implements schemaconnect.RelayServiceHandler. CodeOutOfRange means that the
// client should read these records from the log. Any other error means that it
// should look for another zone reader.
func (s *handler) Read(ctx context.Context, request *connect.Request[schema.RelayRequest]) (*connect.Response[schema.RelayResponse], error) {
	started := s.Clock()
	message := request.Msg
	topic := s.topics[message.GetTopic()]
	if topic == nil || message.GetZone() != s.Zone || message.GetReader() != s.Self.Name {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("request is for another zone, daemon or topic"))
	}
	if !s.acceptRequest() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this daemon is not the zone reader"))
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
	s.Logger.Trace("served page to another daemon", "topic", message.GetTopic(), "from", message.GetFrom(), "next", page.Next, "age", noter.FormatDuration(age))
	return connect.NewResponse(response), nil
}

// acceptRequest reports whether this daemon serves others as the zone reader, and
// records the time of the request.
func (s *handler) acceptRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest = s.Clock()
	return s.role == Reading && !s.draining.Load()
}
