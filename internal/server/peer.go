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

func uintText(value uint64) string { return strconv.FormatUint(value, 10) }

// appendRate is one daemon's share of the appends a second.
func appendRate(appends, daemons int) rate.Limit {
	return rate.Limit(float64(appends) / float64(max(1, daemons)))
}

const (
	tokenHeader  = "Authorization"
	bearerPrefix = "Bearer "
)

// anyToken compares with each token in constant time.
func anyToken(header string, tokens []string) bool {
	found := 0
	for _, token := range tokens {
		found |= subtle.ConstantTimeCompare([]byte(header), []byte(bearerPrefix+token))
	}
	return found == 1
}

// bearer adds the first token to requests, and accepts all of them in handlers.
func bearer(tokens []string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if request.Spec().IsClient {
				request.Header().Set(tokenHeader, bearerPrefix+tokens[0])
				return next(ctx, request)
			}
			if !anyToken(request.Header().Get(tokenHeader), tokens) {
				return nil, classifier.New(classifier.Unauthenticated, "the token is missing or wrong").ConnectError()
			}
			return next(ctx, request)
		}
	}
}

// peerClients caches one client for each peer address.
type peerClients struct {
	client *http.Client
	tokens []string
	mu     sync.Mutex
	byAddr map[netip.AddrPort]schemaconnect.PeerServiceClient
}

func newPeerClients(transport http.RoundTripper, tokens []string) *peerClients {
	return &peerClients{
		client: &http.Client{Transport: transport},
		tokens: tokens,
		byAddr: map[netip.AddrPort]schemaconnect.PeerServiceClient{},
	}
}

func (p *peerClients) at(addr netip.AddrPort) schemaconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddr[addr]
	if known == nil {
		known = schemaconnect.NewPeerServiceClient(p.client, "http://"+addr.String(), connect.WithInterceptors(bearer(p.tokens)))
		p.byAddr[addr] = known
	}
	return known
}

func (s *Server) asSender() *schema.Sender {
	return &schema.Sender{Cluster: s.config.Cluster, Name: s.config.Name, Incarnation: s.config.Incarnation}
}

// member returns a member by name.
func (s *Server) member(name string) (gossiper.Member, bool) {
	for _, member := range s.members.Snapshot().members {
		if member.Name == name {
			return member, true
		}
	}
	return gossiper.Member{}, false
}

// others returns the serving members other than this daemon.
func (s *Server) others() []gossiper.Member {
	var list []gossiper.Member
	for _, member := range s.members.Snapshot().members {
		if member.Name != s.config.Name && member.Serving() {
			list = append(list, member)
		}
	}
	return list
}

// copies implements biller.Peers.
type copies struct{ s *Server }

// Holders prefers a daemon of another zone, so that the loss of a zone does
// not take both copies, and then those of the own zone.
func (c copies) Holders() []string {
	var far, near []string
	for _, member := range gossiper.Rank(c.s.config.Name, c.s.others()) {
		if member.Status != schema.Status_STATUS_ALIVE {
			continue
		}
		if member.Zone == c.s.config.Zone {
			near = append(near, member.Name)
		} else {
			far = append(far, member.Name)
		}
	}
	return append(far[:min(1, len(far))], append(near, far[min(1, len(far)):]...)...)
}

// SendCopies implements biller.Peers.
func (c copies) SendCopies(ctx context.Context, holder string, bills []*schema.Bill, saved []string) error {
	member, ok := c.s.member(holder)
	if !ok {
		return classifier.New(classifier.NotFound, "there is no member %q", holder)
	}
	_, err := c.s.peers.at(member.Address).Hold(ctx, connect.NewRequest(&schema.HoldRequest{
		Sender: c.s.asSender(),
		Bills:  bills,
		Saved:  saved,
	}))
	return err
}

// transfers implements limiter.Peers.
type transfers struct{ s *Server }

// transferPeers is the number of peers asked for one share.
const transferPeers = 2

// Transfer asks random peers, those of the own zone first.
func (t transfers) Transfer(ctx context.Context, resource string, amount int64) (int64, time.Time) {
	peers := t.s.others()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := 0
	for _, near := range []bool{true, false} {
		for _, member := range peers {
			if (member.Zone == t.s.config.Zone) != near || asked == transferPeers {
				continue
			}
			asked++
			callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			response, err := t.s.peers.at(member.Address).Transfer(callCtx, connect.NewRequest(&schema.TransferRequest{
				Sender:   t.s.asSender(),
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

// pins implements router.PinStore.
type pins struct{ s *Server }

const (
	// pinHolders is the number of daemons that hold a pin.
	pinHolders = 2
	pinTimeout = 400 * time.Millisecond
)

// Pin asks the daemons that rendezvous hashing chooses for the conversation.
// The first that answers decides; the others get a copy. When none answers the
// turn goes on without a pin, and the token that it returns keeps the version.
func (p pins) Pin(ctx context.Context, key pinner.Key, version, replaced string) (string, error) {
	ranked := gossiper.Rank(key.Account+"\x00"+key.Conversation, p.s.members.Snapshot().members)
	holders := ranked[:min(pinHolders, len(ranked))]
	found := ""
	for _, holder := range holders {
		proposal := version
		if found != "" {
			proposal = found
		}
		got, err := p.at(ctx, holder, key, proposal, replaced)
		if err == nil && found == "" {
			found = got
		}
		if found != "" && version == "" {
			break
		}
	}
	if found == "" {
		return version, nil
	}
	return found, nil
}

func (p pins) at(ctx context.Context, holder gossiper.Member, key pinner.Key, version, replaced string) (string, error) {
	if holder.Name == p.s.config.Name {
		return p.s.pin(ctx, key, version, replaced)
	}
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	response, err := p.s.peers.at(holder.Address).Pin(ctx, connect.NewRequest(&schema.PinRequest{
		Sender:       p.s.asSender(),
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

func (s *Server) pin(ctx context.Context, key pinner.Key, version, replaced string) (string, error) {
	var found string
	err := s.pins.Do(ctx, func(table *pinner.Table) { found = table.Pin(key, version, replaced, time.Now()) })
	if err != nil {
		return "", err
	}
	return found, nil
}

// peerService implements what other daemons ask.
type peerService struct{ s *Server }

func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewPeerServiceHandler(&peerService{s}, connect.WithInterceptors(bearer(s.config.PeerTokens))))
	return mux
}

// check refuses a message of another cluster, and one that names this daemon
// as its sender.
func (p *peerService) check(sender *schema.Sender) error {
	if sender.GetCluster() != p.s.config.Cluster {
		return classifier.New(classifier.WrongCluster, "cluster is %q, the message says %q", p.s.config.Cluster, sender.GetCluster()).ConnectError()
	}
	if sender.GetName() == p.s.config.Name {
		return classifier.New(classifier.WrongCluster, "two daemons are named %q", sender.GetName()).ConnectError()
	}
	return nil
}

// Probe implements the peer service.
func (p *peerService) Probe(ctx context.Context, request *connect.Request[schema.ProbeRequest]) (*connect.Response[schema.ProbeResponse], error) {
	message := request.Msg
	if err := p.check(message.GetSender()); err != nil {
		return nil, err
	}
	response := &schema.ProbeResponse{Sender: p.s.asSender()}
	if message.GetTarget() != "" {
		if member, ok := p.s.member(message.GetTarget()); ok {
			response.Reached = p.s.probe(ctx, member, false) == nil
		}
		return connect.NewResponse(response), nil
	}
	err := p.s.members.Do(ctx, func(state *gossiper.Membership) {
		now := time.Now()
		p.s.learn(state.Receive(message.GetRumours(), now))
		state.MarkReachable(message.GetSender().GetName(), message.GetSender().GetIncarnation(), now)
		response.Rumours = state.RumoursFor(message.GetSender().GetName(), message.GetJoin())
	})
	return connect.NewResponse(response), err
}

// Fetch implements the peer service.
func (p *peerService) Fetch(_ context.Context, request *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	if err := p.check(request.Msg.GetSender()); err != nil {
		return nil, err
	}
	response := &schema.FetchResponse{}
	if revision := p.s.settings.Snapshot().revision; revision.GetNumber() > request.Msg.GetAbove() {
		response.Revision = revision
	}
	return connect.NewResponse(response), nil
}

// Hold implements the peer service.
func (p *peerService) Hold(_ context.Context, request *connect.Request[schema.HoldRequest]) (*connect.Response[schema.HoldResponse], error) {
	sender := request.Msg.GetSender()
	if err := p.check(sender); err != nil {
		return nil, err
	}
	if p.s.stopping.Load() {
		return nil, classifier.New(classifier.Stopping, "the instance is shutting down").ConnectError()
	}
	maker := sender.GetName() + "/" + uintText(sender.GetIncarnation())
	if err := p.s.biller.StoreCopies(maker, request.Msg.GetBills(), request.Msg.GetSaved()); err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	return connect.NewResponse(&schema.HoldResponse{}), nil
}

// Pin implements the peer service.
func (p *peerService) Pin(ctx context.Context, request *connect.Request[schema.PinRequest]) (*connect.Response[schema.PinResponse], error) {
	message := request.Msg
	if err := p.check(message.GetSender()); err != nil {
		return nil, err
	}
	key := pinner.Key{Account: message.GetAccount(), Conversation: message.GetConversation()}
	version, err := p.s.pin(ctx, key, message.GetVersion(), message.GetReplaced())
	if err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	return connect.NewResponse(&schema.PinResponse{Version: version}), nil
}

// Transfer implements the peer service.
func (p *peerService) Transfer(_ context.Context, request *connect.Request[schema.TransferRequest]) (*connect.Response[schema.TransferResponse], error) {
	if err := p.check(request.Msg.GetSender()); err != nil {
		return nil, err
	}
	amount, until := p.s.limiter.Transfer(request.Msg.GetResource(), request.Msg.GetAmount())
	return connect.NewResponse(&schema.TransferResponse{Amount: amount, Until: timestamppb.New(until)}), nil
}
