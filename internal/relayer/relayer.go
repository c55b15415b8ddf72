// Package relayer lets the daemons of an availability zone share their reads of
// the log. One daemon, the zone reader, reads the log. The others read from it,
// and fall back to the log when it fails. The log records which daemon is the
// zone reader. Correctness does not depend on there being only one.
package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// readTimeout bounds a read from the zone reader, which may hold it. It stays well under
	// the age at which a verified read is too old.
	readTimeout = subscriber.MaxPeerWait + 250*time.Millisecond
	// maxWait bounds the wait that a client may ask for.
	maxWait = 5 * time.Second
	// startJitter spreads the claims of daemons that start at the same time and find no
	// zone reader, so that later ones find the record of the first.
	startJitter = 150 * time.Millisecond
	// failureJitter spreads the checks of daemons that notice at once that their zone
	// reader has failed, and roleWait is how long their reads, and those of a daemon that
	// starts, wait for a check. The view of such daemons is recent.
	failureJitter = 150 * time.Millisecond
	roleWait      = 700 * time.Millisecond
	// checkJitter spreads the checks of daemons that lose their zone reader at the same
	// time, so that later ones find the record of the first.
	checkJitter = 2 * time.Second
	// maxClaims bounds the claims of the reader role in one check, claimJitter the pause
	// after one that conflicted with another zone's.
	maxClaims   = 5
	claimJitter = 50 * time.Millisecond
	// maxMessageBytes bounds a message from another daemon.
	maxMessageBytes = 1 << 20
	// dialTimeout bounds the opening of a connection to the zone reader, so that a host
	// that is down is noticed soon. It is far above a round trip within a zone.
	dialTimeout = 150 * time.Millisecond
	// checkTimeout bounds one check for the zone reader in the log.
	checkTimeout = 1500 * time.Millisecond
	// idleCheckInterval is the time without a request after which the zone reader
	// checks whether another daemon has replaced it.
	idleCheckInterval = 30 * time.Second
)

// ReaderTopic is the keyed topic that holds the zone reader of each zone.
type ReaderTopic interface {
	// Newest returns the newest record of each key, and the position at which the topic
	// ends.
	Newest(ctx context.Context) (subscriber.Snapshot, error)
	// AppendAt adds a record if the topic ends at the position. Otherwise, it returns
	// subscriber.ErrOffsetConflict.
	AppendAt(ctx context.Context, key string, value []byte, at subscriber.Position) error
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
	// Network opens the connections to the zone reader.
	Network connector.Network
	Clock   subscriber.Clock
	// LoadTracker provides the loads that are exchanged with the zone reader.
	LoadTracker LoadTracker
	// MaxSilence is how long the zone reader may leave exchanges of loads without a response
	// before this daemon stops following it, or 0 for any time.
	MaxSilence time.Duration
	// HandleSilence is called when the zone reader has left an exchange of loads without a
	// response. It must not block.
	HandleSilence func()
	Logger        hclog.Logger
}

// Relayer reads topics from the zone reader, or serves them if this daemon is the
// zone reader. It implements subscriber.Peer.
type Relayer struct {
	Options
	client *http.Client
	topics map[string]*subscriber.Subscriber
	// snapshots holds the encoded snapshot of each topic.
	snapshots map[string]*snapshotCache
	// readerFailed signals that the zone reader has failed.
	readerFailed chan struct{}
	// logRestored signals that the log may have lost this daemon's record.
	logRestored  chan struct{}
	draining     atomic.Bool
	relayedReads atomic.Uint64

	mu     sync.Mutex
	role   Role
	reader ZoneReader
	// failedReader is the zone reader that failed last.
	failedReader ZoneReader
	// readerClients is nil unless this daemon follows a zone reader.
	readerClients *readerClients
	// otherReaders are the zone readers that the log named last, without this daemon.
	otherReaders []netip.AddrPort
	// decided is closed when this daemon has checked for the zone reader, after its start
	// and after each failure that it noticed at once.
	decided chan struct{}
	// lastRequest is when another daemon last sent a request, or when this daemon
	// took its role if that was later.
	lastRequest time.Duration
	// epoch is the highest epoch of the log that this daemon knows of.
	epoch subscriber.Epoch
}

// New returns a relayer in the role Alone.
func New(options Options) *Relayer {
	return &Relayer{
		Options:      options,
		client:       newClient(options.Network),
		topics:       map[string]*subscriber.Subscriber{},
		snapshots:    map[string]*snapshotCache{},
		readerFailed: make(chan struct{}, 1),
		logRestored:  make(chan struct{}, 1),
		decided:      make(chan struct{}),
	}
}

// newClient returns a client whose connections are opened within dialTimeout.
func newClient(network connector.Network) *http.Client {
	transport := connector.NewTransport(network)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &http.Client{Transport: transport}
}

// ShareTopics makes the topics' subscribers read from the zone reader first, and
// serves what they have read to other daemons. It must be called before Run.
func (r *Relayer) ShareTopics(topics ...*subscriber.Subscriber) {
	for _, topic := range topics {
		topic.SetPeer(r)
		r.topics[topic.Name()] = topic
		r.snapshots[topic.Name()] = newSnapshotCache()
	}
}

// Handler returns the handler of requests from other daemons.
func (r *Relayer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewRelayServiceHandler(&handler{r}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil)))
	// Snapshots are compressed already.
	mux.Handle(schemaconnect.NewSnapshotServiceHandler(&handler{r}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil)))
	return mux
}

// Drain makes the daemon reject requests from other daemons.
func (r *Relayer) Drain() { r.draining.Store(true) }

// Following reports whether this daemon reads from the zone reader.
func (r *Relayer) Following() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role == Following
}

// Reads reports whether this daemon is the zone reader.
func (r *Relayer) Reads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role == Reading
}

// RelayedReads returns the number of pages that were read from another daemon.
func (r *Relayer) RelayedReads() uint64 { return r.relayedReads.Load() }

// Run keeps the daemon's role up to date until ctx ends, and returns the error of
// ctx.
func (r *Relayer) Run(ctx context.Context) error {
	r.checkReader(ctx, startJitter)
	r.markDecided()
	timer := time.NewTimer(r.checkDelay())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.readerFailed:
			sleeper.Sleep(ctx, time.Duration(rand.Int64N(int64(r.failureJitter()))))
		case <-r.logRestored:
			sleeper.Sleep(ctx, time.Duration(rand.Int64N(int64(startJitter))))
			if r.Reads() {
				r.recordAgain(ctx)
			}
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		if r.checkDue() {
			r.checkReader(ctx, 0)
		}
		r.markDecided()
		timer.Reset(r.checkDelay())
	}
}

// markDecided ends the waits for this daemon's role.
func (r *Relayer) markDecided() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isDecided() {
		close(r.decided)
	}
}

// isDecided reports whether nobody has to wait for this daemon's role. The caller holds
// the mutex.
func (r *Relayer) isDecided() bool {
	select {
	case <-r.decided:
		return true
	default:
		return false
	}
}

// failureJitter returns the largest pause between a failure of the zone reader and the
// check for another one. It is short while reads wait for the check.
func (r *Relayer) failureJitter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDecided() {
		return checkJitter
	}
	return failureJitter
}

// Decided returns a channel that is closed when this daemon has checked for the zone reader.
func (r *Relayer) Decided() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decided
}

// FollowedReader returns the address of the zone reader that this daemon reads from.
func (r *Relayer) FollowedReader() (address netip.AddrPort, following bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Address, r.role == Following
}

// awaitRole waits until this daemon has checked for the zone reader, but not longer
// than roleWait.
func (r *Relayer) awaitRole(ctx context.Context) {
	r.mu.Lock()
	decided := r.decided
	r.mu.Unlock()
	select {
	case <-decided:
		return
	default:
	}
	select {
	case <-decided:
	case <-time.After(roleWait):
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

// checkReader reads the zone reader from the log and takes a role. If it finds none, it
// looks again after a random part of the jitter before it claims the role.
func (r *Relayer) checkReader(ctx context.Context, jitter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for range maxClaims {
		snapshot, err := r.ReaderTopic.Newest(ctx)
		if err != nil {
			r.Logger.Debug("cannot read the zone readers from the log", "error", err)
			return
		}
		r.raiseEpoch(snapshot.Next.Epoch)
		readers := DecodeReaders(snapshot.Records, r.Logger)
		reader := readers[r.Zone]
		role := r.chooseRole(reader)
		if role == Claiming {
			// It has failed.
			delete(readers, r.Zone)
		}
		r.setOtherReaders(readers)
		if role != Claiming {
			r.setRole(role, reader)
			return
		}
		if jitter > 0 {
			sleeper.Sleep(ctx, time.Duration(rand.Int64N(int64(jitter))))
			jitter = 0
			continue
		}
		// Other daemons may find the record before this daemon gets the response.
		r.setRole(Claiming, r.Self)
		err = r.claimReader(ctx, snapshot.Next)
		if err == nil {
			r.setRole(Reading, r.Self)
			return
		}
		r.setRole(Alone, r.Self)
		r.Logger.Debug("claim of the zone reader role failed", "zone", r.Zone, "at", snapshot.Next.Offset, "error", err)
		if !errors.Is(err, subscriber.ErrOffsetConflict) {
			return
		}
		sleeper.Sleep(ctx, time.Duration(rand.Int64N(int64(claimJitter))))
	}
}

// chooseRole returns the role that this daemon should take.
func (r *Relayer) chooseRole(reader ZoneReader) Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ChooseRole(RoleInputs{Self: r.Self, Reader: reader, FailedReader: r.failedReader, Draining: r.draining.Load()})
}

// DecodeReaders returns the daemons that records name, by the zone that is their key. It
// logs and skips an invalid record.
func DecodeReaders(records []subscriber.Record, logger hclog.Logger) map[string]ZoneReader {
	readers := map[string]ZoneReader{}
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		reader := &schema.Reader{}
		if err := proto.Unmarshal(record.Value, reader); err != nil {
			logger.Error("invalid zone reader record", "zone", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(reader.GetAddress())
		if err != nil {
			logger.Error("invalid zone reader record", "zone", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		readers[record.Key] = ZoneReader{Name: reader.GetName(), Address: address}
	}
	return readers
}

// Encode returns the record of the daemon.
func (z ZoneReader) Encode() ([]byte, error) {
	value, err := proto.Marshal(&schema.Reader{Name: z.Name, Address: z.Address.String()})
	if err != nil {
		return nil, errors.Wrap(err, "encode zone reader record")
	}
	return value, nil
}

// setOtherReaders records the zone readers other than this daemon.
func (r *Relayer) setOtherReaders(readers map[string]ZoneReader) {
	var addresses []netip.AddrPort
	for _, reader := range readers {
		if reader != r.Self {
			addresses = append(addresses, reader.Address)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.otherReaders = addresses
}

// OtherReaders returns the addresses of the zone readers that the log named last, without
// this daemon: that of this zone, and those of zones that share its records.
func (r *Relayer) OtherReaders() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.otherReaders)
}

// claimReader records this daemon as the zone reader. It returns
// subscriber.ErrOffsetConflict if a record was appended since the topic was read.
func (r *Relayer) claimReader(ctx context.Context, at subscriber.Position) error {
	value, err := r.Self.Encode()
	if err != nil {
		return err
	}
	return r.ReaderTopic.AppendAt(ctx, r.Zone, value, at)
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
		r.closeClients()
		reader = r.Self
	} else if changed {
		r.closeClients()
		r.readerClients = r.newReaderClients(reader)
	}
	r.reader = reader
	if changed {
		r.Logger.Info("role in the zone's log reads changed", "zone", r.Zone, "role", role.String(), "reader", reader.Name, "address", reader.Address)
	}
}

// closeClients ends the calls to the zone reader that are in progress. The caller holds the
// mutex.
func (r *Relayer) closeClients() {
	if r.readerClients != nil {
		close(r.readerClients.dropped)
		r.readerClients = nil
	}
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
	r.closeClients()
	r.failedReader = reader
	r.otherReaders = slices.DeleteFunc(r.otherReaders, func(address netip.AddrPort) bool { return address == reader.Address })
	// After a timeout the view may be too old to wait for the next zone reader.
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded && r.isDecided() {
		r.decided = make(chan struct{})
	}
	select {
	case r.readerFailed <- struct{}{}:
	default:
	}
}
