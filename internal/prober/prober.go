// Package prober keeps a membership in contact with the other daemons: it probes one
// member at a time, exchanges rumours with each probe, and sends urgent rumours to a
// few members at once.
package prober

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// probeInterval is the mean time between two probes, probeJitter its largest random
	// change in either direction, as a share of it.
	probeInterval = time.Second
	probeJitter   = 0.2
	probeTimeout  = 500 * time.Millisecond
	// indirectProbes is the number of members that are asked to probe a member
	// that did not respond to a direct probe.
	indirectProbes = 2
	// joinInterval is the time between two attempts to reach seeds that are no members.
	joinInterval = 3 * time.Second
	// urgentInterval is the minimum time between two rounds of urgent gossip.
	urgentInterval = 100 * time.Millisecond
	// leaveNotifications is the number of members that a leaving daemon notifies
	// directly. They spread it by gossip.
	leaveNotifications = 3
)

// Members runs functions on a membership, one at a time.
type Members interface {
	// Do runs a function and waits for its end. It returns an error if it could not
	// run.
	Do(ctx context.Context, apply func(*gossiper.Membership)) error
	// Enqueue runs a function later.
	Enqueue(apply func(*gossiper.Membership))
}

// Client sends probes to one daemon.
type Client interface {
	Probe(ctx context.Context, request *connect.Request[schema.ProbeRequest]) (*connect.Response[schema.ProbeResponse], error)
}

// Options configure a prober.
type Options struct {
	Members Members
	// Self is this daemon as it introduces itself. It may take a later incarnation while
	// it runs.
	Self *schema.Sender
	// Connect returns the client of the daemon at an address.
	Connect func(address netip.AddrPort) Client
	// Seeds returns the addresses of daemons to join through.
	Seeds func() []netip.AddrPort
	// HandleChanges is called with the changes of each message, while no other function
	// runs on the membership.
	HandleChanges func(gossiper.Changes)
	// BeforeUrgent is called before urgent rumours are sent. It may be nil.
	BeforeUrgent func(context.Context)
	// Seed is the seed of the random choices.
	Seed uint64
}

// Prober probes the other daemons. It is safe for concurrent use.
type Prober struct {
	Options
	urgent chan struct{}
}

// New returns a prober.
func New(options Options) *Prober {
	return &Prober{Options: options, urgent: make(chan struct{}, 1)}
}

// newRandom returns a source of random choices for one task.
func (p *Prober) newRandom(task uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.Seed, p.Self.GetIncarnation()+task))
}

// Run joins the other daemons, then probes one member per interval until ctx ends. It
// goes on to join through seeds that are no members, because each of several groups of
// daemons may know none of the others. It returns the error of ctx.
func (p *Prober) Run(ctx context.Context) error {
	p.Join(ctx)
	joinedAt := time.Now()
	random := p.newRandom(0)
	// When ctx ends, the state's actor may still use the random source of a probe.
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, time.Duration((1-probeJitter+2*probeJitter*random.Float64())*float64(probeInterval)))
		if ctx.Err() != nil {
			break
		}
		if time.Since(joinedAt) >= joinInterval {
			p.Join(ctx)
			joinedAt = time.Now()
		}
		p.probeNext(ctx, random)
	}
	return ctx.Err()
}

// probeNext probes the next member. It joins the other daemons if there is none.
func (p *Prober) probeNext(ctx context.Context, random *rand.Rand) {
	var target gossiper.Member
	var found bool
	var helpers []gossiper.Member
	err := p.Members.Do(ctx, func(state *gossiper.Membership) {
		if target, found = state.NextProbeTarget(random); found {
			helpers = state.ProbeHelpers(target.Name, indirectProbes, random)
		}
	})
	switch {
	case err != nil:
	case !found:
		p.Join(ctx)
	default:
		p.checkMember(ctx, target, helpers)
	}
}

// checkMember probes a member directly and then through other members. If no
// probe reaches the member, it records the member as unreachable.
func (p *Prober) checkMember(ctx context.Context, target gossiper.Member, helpers []gossiper.Member) {
	if p.Probe(ctx, target, false) == nil {
		return
	}
	for _, helper := range helpers {
		if p.probeIndirectly(ctx, helper, target.Name) {
			return
		}
	}
	p.Members.Enqueue(func(state *gossiper.Membership) { state.MarkUnreachable(target.Name, time.Now()) })
}

// Probe sends a probe with rumours to a member and applies the rumours of the
// response. A joining daemon asks for all that the member holds. The error is that of the
// call, or says that the member belongs to another cluster.
func (p *Prober) Probe(ctx context.Context, target gossiper.Member, join bool) error {
	return p.probe(ctx, target, join, true)
}

// probe is Probe with the choice whether the member compares digests. While a rumour
// spreads they differ almost everywhere, and to respond with everything would be much work.
func (p *Prober) probe(ctx context.Context, target gossiper.Member, join, compare bool) error {
	var self *schema.Sender
	var rumours *schema.Rumours
	err := p.Members.Do(ctx, func(state *gossiper.Membership) {
		self = p.sender(state)
		rumours = state.RumoursFor(target.Name, false, time.Now())
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := p.Connect(target.Address).Probe(ctx, connect.NewRequest(&schema.ProbeRequest{
		Sender:  self,
		Rumours: rumours,
		Join:    join,
		Compare: compare,
	}))
	if err != nil {
		return err
	}
	sender := response.Msg.GetSender()
	if sender.GetCluster() != p.Self.GetCluster() {
		return errors.Errorf("member %s belongs to cluster %q", target.Name, sender.GetCluster())
	}
	p.Members.Enqueue(func(state *gossiper.Membership) {
		p.receive(state, sender, response.Msg.GetRumours())
	})
	return nil
}

// receive applies the rumours of a daemon that is reachable.
func (p *Prober) receive(state *gossiper.Membership, sender *schema.Sender, rumours *schema.Rumours) gossiper.Changes {
	now := time.Now()
	changes := state.Receive(rumours, now)
	if changes.Urgent {
		p.SpreadUrgent()
	}
	p.HandleChanges(changes)
	state.MarkReachable(sender.GetName(), sender.GetIncarnation(), now)
	return changes
}

// sender returns this daemon as it introduces itself, with its present incarnation.
func (p *Prober) sender(state *gossiper.Membership) *schema.Sender {
	self := proto.CloneOf(p.Self)
	self.Incarnation = state.Self().Incarnation
	return self
}

// probeIndirectly asks another member to probe the target. It reports whether
// that member reached the target.
func (p *Prober) probeIndirectly(ctx context.Context, helper gossiper.Member, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	response, err := p.Connect(helper.Address).Probe(ctx, connect.NewRequest(&schema.ProbeRequest{Sender: p.Self, Target: target}))
	return err == nil && response.Msg.GetReached()
}

// Answer returns the response to a probe of another daemon. If the probe names a target,
// it probes that member for the sender instead. The error says that this daemon stops.
func (p *Prober) Answer(ctx context.Context, request *schema.ProbeRequest) (*schema.ProbeResponse, error) {
	response := &schema.ProbeResponse{Sender: p.Self}
	if request.GetTarget() != "" {
		response.Reached = p.reaches(ctx, request.GetTarget())
		return response, nil
	}
	err := p.Members.Do(ctx, func(state *gossiper.Membership) {
		changes := p.receive(state, request.GetSender(), request.GetRumours())
		response.Sender = p.sender(state)
		response.Rumours = state.RumoursFor(request.GetSender().GetName(), request.GetJoin() || request.GetCompare() && changes.MembersDiffer, time.Now())
		if request.GetCompare() && changes.FactsDiffer {
			response.Rumours.Facts = state.FactMessages(time.Now())
		}
	})
	return response, err
}

// reaches reports whether a probe of the named member succeeds.
func (p *Prober) reaches(ctx context.Context, name string) bool {
	var member gossiper.Member
	var found bool
	err := p.Members.Do(ctx, func(state *gossiper.Membership) { member, found = state.Member(name) })
	return err == nil && found && p.Probe(ctx, member, false) == nil
}

// SpreadUrgent makes RunUrgent send the rumours without waiting for the next probe.
func (p *Prober) SpreadUrgent() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// RunUrgent probes a few members each time an urgent rumour arrives, so that the rumour
// spreads faster than with the regular probes alone. It returns the error of ctx when
// ctx ends.
func (p *Prober) RunUrgent(ctx context.Context) error {
	random := p.newRandom(1)
	for {
		select {
		case <-p.urgent:
		case <-ctx.Done():
			return ctx.Err()
		}
		if p.BeforeUrgent != nil {
			p.BeforeUrgent(ctx)
		}
		var members []gossiper.Member
		if err := p.Members.Do(ctx, func(state *gossiper.Membership) { members = state.FanoutTargets(random) }); err != nil {
			continue
		}
		var group sync.WaitGroup
		for _, member := range members {
			// A member that does not respond is found by the regular probes.
			group.Go(func() { _ = p.probe(ctx, member, false, false) })
		}
		sleeper.Sleep(ctx, urgentInterval)
		group.Wait()
	}
}

// Join probes the seeds that are no members, to learn the members that they know.
func (p *Prober) Join(ctx context.Context) {
	known := map[netip.AddrPort]bool{}
	err := p.Members.Do(ctx, func(state *gossiper.Membership) {
		for _, member := range state.Members() {
			known[member.Address] = true
		}
	})
	if err != nil {
		// The state's actor may still fill the map.
		return
	}
	var group sync.WaitGroup
	for _, seed := range p.Seeds() {
		if !known[seed] {
			group.Go(func() { _ = p.Probe(ctx, gossiper.Member{Address: seed}, true) })
		}
	}
	group.Wait()
}

// AnnounceLeaving tells a few members that this daemon is about to stop.
func (p *Prober) AnnounceLeaving(ctx context.Context) {
	var members []gossiper.Member
	_ = p.Members.Do(ctx, func(state *gossiper.Membership) {
		state.AnnounceDraining()
		members = state.Members()
	})
	notified := 0
	for _, member := range gossiper.Rank("leave/"+p.Self.GetName(), members) {
		if notified == leaveNotifications {
			return
		}
		if member.Name != p.Self.GetName() && p.Probe(ctx, member, false) == nil {
			notified++
		}
	}
}
