package runner

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/keeper"
	"quetzalgrade.example/quetzalgrade/internal/prober"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// clusterName distinguishes the entry daemons from the daemons of other clusters.
	clusterName = "entry"
	// peerIdleTimeout is how long a connection to another daemon may be idle. It bounds
	// the open connections in a large fleet, in which each probe goes to another daemon.
	peerIdleTimeout = 10 * time.Second
	// deadGrace is how long a dead daemon keeps its share of what the daemons divide. It
	// may be cut off and still use it.
	deadGrace = 30 * time.Second
	// maxProbeBytes bounds a message of another daemon.
	maxProbeBytes = 1 << 20
)

// memberSnapshot is a snapshot of the membership.
type memberSnapshot struct {
	// serving are the members that can receive requests, including this daemon.
	serving []gossiper.Member
	// expected are the names of the members that may be sending requests.
	expected []string
	// coldSharers are the names of the members among which the bounds of cold endpoints are
	// divided: as expected, but members that are dead stay for coldGrace.
	coldSharers []string
	// revision is the highest revision of a declaration in force at another member that can
	// receive requests, revisionSince when this daemon heard of it. It is 0 if none is known.
	revision      uint64
	revisionSince time.Time
	// otherZone is set if there is a member in another zone, whatever its status.
	otherZone bool
}

func newMemberSnapshot(state *gossiper.Membership) *memberSnapshot {
	snapshot := &memberSnapshot{}
	zone := state.Self().Zone
	now := time.Now()
	for _, member := range state.Members() {
		snapshot.otherZone = snapshot.otherZone || member.Zone != zone
		if member.Expected(now, deadGrace) {
			snapshot.expected = append(snapshot.expected, member.Name)
		}
		if member.Expected(now, coldGrace) {
			snapshot.coldSharers = append(snapshot.coldSharers, member.Name)
		}
		if member.Serving() {
			snapshot.serving = append(snapshot.serving, member)
			snapshot.addRevision(member, state.Self().Name)
		}
	}
	return snapshot
}

// addRevision adds the revision in force at a member, unless that is this daemon.
func (s *memberSnapshot) addRevision(member gossiper.Member, self string) {
	isFirst := member.Revision == s.revision && member.RevisionSince.Before(s.revisionSince)
	if member.Name != self && (member.Revision > s.revision || isFirst) {
		s.revision, s.revisionSince = member.Revision, member.RevisionSince
	}
}

// peers keeps this daemon in contact with all other daemons, without the log, and spreads
// the facts that bind all of them. It implements the Probe call of the PeerService.
type peers struct {
	schemaconnect.UnimplementedPeerServiceHandler
	name    string
	logger  hclog.Logger
	members *keeper.Keeper[gossiper.Membership, memberSnapshot]
	prober  *prober.Prober
	client  *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]schemaconnect.PeerServiceClient
}

// newPeers returns the peers of a daemon. Handle is called with facts that other daemons
// have observed.
func newPeers(r *Runner, handle func([]gossiper.Fact)) *peers {
	settings := r.settings.Load()
	transport := connector.NewTransport(r.deps.Network)
	transport.IdleConnTimeout = peerIdleTimeout
	incarnation := uint64(time.Now().UnixNano())
	self := gossiper.Member{Name: settings.Name, Zone: settings.Zone, Address: settings.RelayAddress, Incarnation: incarnation}
	membership := gossiper.New(self)
	membership.TakeLaterIncarnations()
	p := &peers{
		name:    settings.Name,
		logger:  r.logger,
		members: keeper.New(r.system, membership, newMemberSnapshot),
		client:  &http.Client{Transport: transport},
		clients: map[netip.AddrPort]schemaconnect.PeerServiceClient{},
	}
	p.prober = prober.New(prober.Options{
		Members: p.members,
		Self:    &schema.Sender{Cluster: clusterName, Name: settings.Name, Incarnation: incarnation},
		Connect: p.connect,
		Seeds:   r.contacts.seeds,
		HandleChanges: func(changes gossiper.Changes) {
			p.logMembers(changes)
			handle(changes.Facts)
		},
		Seed: incarnation,
	})
	return p
}

// logMembers logs the number of members when a message has changed them.
func (p *peers) logMembers(changes gossiper.Changes) {
	if changes.Members {
		p.logger.Info("members changed", "serving", len(p.serving()))
	}
}

// connect returns the client of the daemon at an address.
func (p *peers) connect(address netip.AddrPort) prober.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		client = schemaconnect.NewPeerServiceClient(p.client, "http://"+address.String(), connect.WithReadMaxBytes(maxProbeBytes), connect.WithAcceptCompression("gzip", nil, nil))
		p.clients[address] = client
	}
	return client
}

// handler returns the path and the handler of calls of other daemons. Messages are not
// compressed: most are small, and a compressor takes a megabyte.
func (p *peers) handler() (path string, handler http.Handler) {
	return schemaconnect.NewPeerServiceHandler(p, connect.WithReadMaxBytes(maxProbeBytes), connect.WithCompression("gzip", nil, nil))
}

// Probe implements schemaconnect.PeerServiceHandler.
func (p *peers) Probe(ctx context.Context, request *connect.Request[schema.ProbeRequest]) (*connect.Response[schema.ProbeResponse], error) {
	sender := request.Msg.GetSender()
	if sender.GetCluster() != clusterName || sender.GetName() == p.name {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("the sender belongs to another cluster or has the name of this daemon"))
	}
	response, err := p.prober.Answer(ctx, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// observe spreads facts that this daemon has just observed.
func (p *peers) observe(facts ...*schema.Fact) {
	if len(facts) == 0 {
		return
	}
	p.members.Enqueue(func(state *gossiper.Membership) {
		now := time.Now()
		for _, fact := range facts {
			state.Observe(fact, now)
		}
	})
	p.prober.SpreadUrgent()
}

// observeUnknown spreads facts that this daemon has read, unless it knows them already.
func (p *peers) observeUnknown(facts ...*schema.Fact) {
	p.members.Enqueue(func(state *gossiper.Membership) {
		now := time.Now()
		for _, fact := range facts {
			if !state.Knows(fact) {
				state.Observe(fact, now)
			}
		}
	})
	p.prober.SpreadUrgent()
}

// reportRevision lets other daemons know the revision of the declaration in force here, unless
// one of them has a higher one: a daemon that starts would take this daemon to be up to date.
func (p *peers) reportRevision(revision uint64) {
	p.members.Enqueue(func(state *gossiper.Membership) {
		if newMemberSnapshot(state).revision <= revision {
			state.ReportRevision(revision)
		}
	})
}

// serving returns the members that can receive requests, including this daemon.
func (p *peers) serving() []gossiper.Member { return p.members.Snapshot().serving }

// expected returns the sorted names of the members that may be sending requests, including
// this daemon.
func (p *peers) expected() []string { return p.members.Snapshot().expected }

// coldSharers returns the sorted names of the members among which the bounds of cold endpoints
// are divided, including this daemon.
func (p *peers) coldSharers() []string { return p.members.Snapshot().coldSharers }

// knowsOtherZone reports whether a member of another zone is known.
func (p *peers) knowsOtherZone() bool { return p.members.Snapshot().otherZone }

// knowsZone reports whether a member that can receive requests is in the zone.
func (p *peers) knowsZone(zone string) bool {
	return slices.ContainsFunc(p.serving(), func(member gossiper.Member) bool { return member.Zone == zone })
}

// isRanked reports whether this daemon has a rank, from 0, in the order of all daemons by a key.
func (p *peers) isRanked(key string, rank int) bool {
	ranked := gossiper.Rank(key, p.serving())
	return rank < len(ranked) && ranked[rank].Name == p.name
}

// sweep removes expired members and facts.
func (p *peers) sweep() {
	p.members.Enqueue(func(state *gossiper.Membership) { state.Tick(time.Now()) })
}

// stop ends the membership and closes idle connections.
func (p *peers) stop() {
	p.members.Stop()
	p.client.CloseIdleConnections()
}
