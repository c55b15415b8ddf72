package server

import (
	"context"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }

// appendRatePerDaemon divides the cluster's appends per second by the number of
// daemons.
func appendRatePerDaemon(clusterAppends, daemons int) rate.Limit {
	return rate.Limit(float64(clusterAppends) / float64(max(1, daemons)))
}

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// matchesAnyToken reports whether an Authorization header holds one of the
// tokens. It compares with each of them in constant time.
func matchesAnyToken(header string, tokens []string) bool {
	found := 0
	for _, token := range tokens {
		found |= subtle.ConstantTimeCompare([]byte(header), []byte(bearerPrefix+token))
	}
	return found == 1
}

// bearerAuth returns an interceptor that sends the first token with the requests
// of a client and accepts any of the tokens in a handler.
func bearerAuth(tokens []string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if request.Spec().IsClient {
				request.Header().Set(authorizationHeader, bearerPrefix+tokens[0])
				return next(ctx, request)
			}
			if !matchesAnyToken(request.Header().Get(authorizationHeader), tokens) {
				return nil, classifier.New(classifier.Unauthenticated, "the token is missing or wrong").ConnectError()
			}
			return next(ctx, request)
		}
	}
}

// peerClients caches one client per peer address.
type peerClients struct {
	httpClient *http.Client
	tokens     []string
	mu         sync.Mutex
	byAddr     map[netip.AddrPort]schemaconnect.PeerServiceClient
}

func newPeerClients(transport http.RoundTripper, tokens []string) *peerClients {
	return &peerClients{
		httpClient: &http.Client{Transport: transport},
		tokens:     tokens,
		byAddr:     map[netip.AddrPort]schemaconnect.PeerServiceClient{},
	}
}

func (p *peerClients) clientFor(addr netip.AddrPort) schemaconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.byAddr[addr]
	if client == nil {
		client = schemaconnect.NewPeerServiceClient(p.httpClient, "http://"+addr.String(), connect.WithInterceptors(bearerAuth(p.tokens)))
		p.byAddr[addr] = client
	}
	return client
}

func (s *Server) senderInfo() *schema.Sender {
	return &schema.Sender{Cluster: s.config.Cluster, Name: s.config.Name, Incarnation: s.config.Incarnation}
}

// memberByName returns the member with the given name.
func (s *Server) memberByName(name string) (gossiper.Member, bool) {
	for _, member := range s.members.Snapshot().members {
		if member.Name == name {
			return member, true
		}
	}
	return gossiper.Member{}, false
}

// servingPeers returns the serving members other than this daemon.
func (s *Server) servingPeers() []gossiper.Member {
	var list []gossiper.Member
	for _, member := range s.members.Snapshot().members {
		if member.Name != s.config.Name && member.Serving() {
			list = append(list, member)
		}
	}
	return list
}

// billPeers implements biller.Peers.
type billPeers struct{ s *Server }

// Holders returns the daemons to send copies of bills to, in order of preference.
// A daemon of another zone comes first, so that the loss of a zone does not lose
// both copies. The daemons of this zone follow, then those of the other zones.
func (c billPeers) Holders() []string {
	var otherZones, sameZone []string
	for _, member := range gossiper.Rank(c.s.config.Name, c.s.servingPeers()) {
		if member.Status != schema.Status_STATUS_ALIVE {
			continue
		}
		if member.Zone == c.s.config.Zone {
			sameZone = append(sameZone, member.Name)
		} else {
			otherZones = append(otherZones, member.Name)
		}
	}
	return append(otherZones[:min(1, len(otherZones))], append(sameZone, otherZones[min(1, len(otherZones)):]...)...)
}

// SendCopies sends copies of bills to a daemon, and the ids of saved bills whose copies
// it may delete.
func (c billPeers) SendCopies(ctx context.Context, holder string, bills []*schema.Bill, saved []string) error {
	member, ok := c.s.memberByName(holder)
	if !ok {
		return classifier.New(classifier.NotFound, "there is no member %q", holder)
	}
	_, err := c.s.peers.clientFor(member.Address).Hold(ctx, connect.NewRequest(&schema.HoldRequest{
		Sender: c.s.senderInfo(),
		Bills:  bills,
		Saved:  saved,
	}))
	return err
}

// limiterPeers implements limiter.Peers.
type limiterPeers struct{ s *Server }

// maxTransferPeers is the maximum number of peers asked for one transfer.
const maxTransferPeers = 2

// Transfer asks random peers for a part of their allocation, starting with peers
// of this zone. It returns the first amount that a peer released and when that
// expires, or 0 if no peer released any.
func (t limiterPeers) Transfer(ctx context.Context, resource string, amount int64) (int64, time.Time) {
	peers := t.s.servingPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := 0
	for _, sameZone := range []bool{true, false} {
		for _, member := range peers {
			if (member.Zone == t.s.config.Zone) != sameZone || asked == maxTransferPeers {
				continue
			}
			asked++
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			response, err := t.s.peers.clientFor(member.Address).Transfer(callCtx, connect.NewRequest(&schema.TransferRequest{
				Sender:   t.s.senderInfo(),
				Resource: resource,
				Amount:   amount,
			}))
			cancel()
			if err == nil && response.Msg.GetAmount() > 0 {
				return response.Msg.GetAmount(), response.Msg.GetUntil().AsTime()
			}
		}
	}
	return 0, time.Time{}
}

// pinPeers implements router.PinStore.
type pinPeers struct{ s *Server }

const (
	// pinHolders is the number of daemons that store the pin of a conversation.
	pinHolders = 2
	pinTimeout = 400 * time.Millisecond
)

// Pin asks the daemons that rendezvous hashing chooses for the conversation. The
// first response decides the version, and the other daemons get a copy. If no
// daemon responds, the request continues without a pin, and the conversation
// token returned to the client keeps the version.
func (p pinPeers) Pin(ctx context.Context, key pinner.Key, version, replaced string) (string, error) {
	ranked := gossiper.Rank(key.Account+"\x00"+key.Conversation, p.s.members.Snapshot().members)
	holders := ranked[:min(pinHolders, len(ranked))]
	agreed := ""
	for _, holder := range holders {
		proposal := version
		if agreed != "" {
			proposal = agreed
		}
		pinned, err := p.pinAt(ctx, holder, key, proposal, replaced)
		if err == nil && agreed == "" {
			agreed = pinned
		}
		if agreed != "" && version == "" {
			break
		}
	}
	if agreed == "" {
		return version, nil
	}
	return agreed, nil
}

// pinAt looks up or sets a pin at one daemon, which may be this one.
func (p pinPeers) pinAt(ctx context.Context, holder gossiper.Member, key pinner.Key, version, replaced string) (string, error) {
	if holder.Name == p.s.config.Name {
		return p.s.pinLocally(ctx, key, version, replaced)
	}
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	response, err := p.s.peers.clientFor(holder.Address).Pin(ctx, connect.NewRequest(&schema.PinRequest{
		Sender:       p.s.senderInfo(),
		Account:      key.Account,
		Conversation: key.Conversation,
		Version:      version,
		Replaced:     replaced,
	}))
	if err != nil {
		return "", err
	}
	return response.Msg.GetVersion(), nil
}

// pinLocally looks up or sets a pin in this daemon's own table.
func (s *Server) pinLocally(ctx context.Context, key pinner.Key, version, replaced string) (string, error) {
	var pinned string
	err := s.pins.Do(ctx, func(table *pinner.Table) { pinned = table.Pin(key, version, replaced, time.Now()) })
	if err != nil {
		return "", err
	}
	return pinned, nil
}

// peerService implements the service that other daemons call.
type peerService struct{ s *Server }

func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewPeerServiceHandler(&peerService{s}, connect.WithInterceptors(bearerAuth(s.config.PeerTokens))))
	return mux
}

// checkSender rejects a message from another cluster, and a message from another
// daemon that uses this daemon's name.
func (p *peerService) checkSender(sender *schema.Sender) error {
	if sender.GetCluster() != p.s.config.Cluster {
		return classifier.New(classifier.WrongCluster, "this cluster is %q, but the sender belongs to %q", p.s.config.Cluster, sender.GetCluster()).ConnectError()
	}
	if sender.GetName() == p.s.config.Name {
		return classifier.New(classifier.WrongCluster, "two daemons have the name %q", sender.GetName()).ConnectError()
	}
	return nil
}

// Probe exchanges rumours with the sender. If the message names a target, it
// probes that member for the sender instead.
func (p *peerService) Probe(ctx context.Context, request *connect.Request[schema.ProbeRequest]) (*connect.Response[schema.ProbeResponse], error) {
	message := request.Msg
	if err := p.checkSender(message.GetSender()); err != nil {
		return nil, err
	}
	response, err := p.s.prober.Answer(ctx, message)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// Fetch returns the revision in force if it is newer than the sender's.
func (p *peerService) Fetch(_ context.Context, request *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	if err := p.checkSender(request.Msg.GetSender()); err != nil {
		return nil, err
	}
	response := &schema.FetchResponse{}
	if revision := p.s.configuration.Snapshot().revision; revision.GetNumber() > request.Msg.GetAbove() {
		response.Revision = revision
	}
	return connect.NewResponse(response), nil
}

// Hold keeps copies of the sender's bills. A stopping daemon refuses them.
func (p *peerService) Hold(_ context.Context, request *connect.Request[schema.HoldRequest]) (*connect.Response[schema.HoldResponse], error) {
	sender := request.Msg.GetSender()
	if err := p.checkSender(sender); err != nil {
		return nil, err
	}
	if p.s.stopping.Load() {
		return nil, classifier.New(classifier.Stopping, "the instance is shutting down").ConnectError()
	}
	creator := sender.GetName() + "/" + formatUint(sender.GetIncarnation())
	if err := p.s.biller.StoreCopies(creator, request.Msg.GetBills(), request.Msg.GetSaved()); err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	return connect.NewResponse(&schema.HoldResponse{}), nil
}

// Pin looks up or sets a pin in this daemon's table.
func (p *peerService) Pin(ctx context.Context, request *connect.Request[schema.PinRequest]) (*connect.Response[schema.PinResponse], error) {
	message := request.Msg
	if err := p.checkSender(message.GetSender()); err != nil {
		return nil, err
	}
	key := pinner.Key{Account: message.GetAccount(), Conversation: message.GetConversation()}
	version, err := p.s.pinLocally(ctx, key, message.GetVersion(), message.GetReplaced())
	if err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	return connect.NewResponse(&schema.PinResponse{Version: version}), nil
}

// Transfer releases a part of this daemon's allocation to the sender.
func (p *peerService) Transfer(_ context.Context, request *connect.Request[schema.TransferRequest]) (*connect.Response[schema.TransferResponse], error) {
	if err := p.checkSender(request.Msg.GetSender()); err != nil {
		return nil, err
	}
	amount, until := p.s.limiter.Transfer(request.Msg.GetResource(), request.Msg.GetAmount())
	return connect.NewResponse(&schema.TransferResponse{Amount: amount, Until: timestamppb.New(until)}), nil
}
