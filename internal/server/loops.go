package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/configurator"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// probeInterval is the mean time between two probes of a daemon.
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// relays is the number of members asked to probe one that did not answer.
	relays = 2
	// platformInterval is how often the instance list is read.
	platformInterval = 5 * time.Second
	// loadInterval is how often endpoints are asked for their load, watched the
	// number of endpoints that one daemon asks.
	loadInterval = 2 * time.Second
	watched      = 6
	loadTimeout  = time.Second
	// maintainInterval is the interval of housekeeping.
	maintainInterval = time.Second
	// stepInterval is how often roll-outs are looked at.
	stepInterval = 2 * time.Second
	// checkpointShare is the share of the retention after which the revision in
	// force is written again.
	checkpointShare = 0.25
)

// every calls action at a mean interval, with jitter, until ctx ends.
func every(ctx context.Context, interval time.Duration, action func(context.Context)) error {
	for {
		wait := time.Duration((0.8 + 0.4*rand.Float64()) * float64(interval))
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			action(ctx)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// gossip probes one member at a time.
func (s *Server) gossip(ctx context.Context) error {
	s.join(ctx)
	random := rand.New(rand.NewPCG(s.config.Seed, s.config.Incarnation))
	return every(ctx, probeInterval, func(ctx context.Context) {
		var target gossiper.Member
		var found bool
		var helpers []gossiper.Member
		err := s.members.Do(ctx, func(state *gossiper.Membership) {
			if target, found = state.NextProbeTarget(random); found {
				helpers = state.ProbeHelpers(target.Name, relays, random)
			}
		})
		if err != nil {
			return
		}
		if !found {
			s.join(ctx)
			return
		}
		s.check(ctx, target, helpers)
	})
}

// check probes a member, directly and then through others, and records when
// nobody reaches it.
func (s *Server) check(ctx context.Context, target gossiper.Member, helpers []gossiper.Member) {
	if s.probe(ctx, target, false) == nil {
		return
	}
	for _, helper := range helpers {
		if s.probeThrough(ctx, helper, target.Name) {
			return
		}
	}
	s.members.Enqueue(func(state *gossiper.Membership) { state.MarkUnreachable(target.Name, time.Now()) })
}

// probe exchanges rumours with a member.
func (s *Server) probe(ctx context.Context, target gossiper.Member, join bool) error {
	var rumours *schema.Rumours
	err := s.members.Do(ctx, func(state *gossiper.Membership) { rumours = state.RumoursFor(target.Name, false) })
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := s.peers.at(target.Address).Probe(ctx, connect.NewRequest(&schema.ProbeRequest{
		Sender:  s.asSender(),
		Rumours: rumours,
		Join:    join,
	}))
	if err != nil {
		return err
	}
	if response.Msg.GetSender().GetCluster() != s.config.Cluster {
		return errors.Errorf("member %s is of cluster %q", target.Name, response.Msg.GetSender().GetCluster())
	}
	s.members.Enqueue(func(state *gossiper.Membership) {
		now := time.Now()
		s.learn(state.Receive(response.Msg.GetRumours(), now))
		state.MarkReachable(response.Msg.GetSender().GetName(), response.Msg.GetSender().GetIncarnation(), now)
	})
	return nil
}

func (s *Server) probeThrough(ctx context.Context, helper gossiper.Member, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	response, err := s.peers.at(helper.Address).Probe(ctx, connect.NewRequest(&schema.ProbeRequest{Sender: s.asSender(), Target: target}))
	return err == nil && response.Msg.GetReached()
}

// spread has urgent news passed on at once.
func (s *Server) spread() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// spreadGap is the least time between two rounds of urgent news.
const spreadGap = 100 * time.Millisecond

// spreadNews tells some members urgent news as it comes.
func (s *Server) spreadNews(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.config.Seed, s.config.Incarnation+1))
	for {
		select {
		case <-s.urgent:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.catchUp(ctx, s.members.Snapshot())
		var members []gossiper.Member
		_ = s.members.Do(ctx, func(state *gossiper.Membership) { members = state.FanoutTargets(random) })
		for _, member := range members {
			_ = s.probe(ctx, member, false)
		}
		s.watcher.SetLeaving(s.members.Snapshot().departures)
		pause(ctx, spreadGap)
	}
}

// join probes the seeds of the settings.
func (s *Server) join(ctx context.Context) {
	for _, seed := range s.config.Seeds {
		if seed != s.Addresses().Peers {
			_ = s.probe(ctx, gossiper.Member{Address: seed}, true)
		}
	}
}

// learn acts on what rumours taught. It runs inside the membership's actor.
func (s *Server) learn(changes gossiper.Changes) {
	if changes.Urgent {
		s.spread()
	}
	for _, stop := range changes.StoppedVersions {
		s.logger.Warn("version stopped by a peer", "version", stop.Version, "reason", stop.Reason, "origin", stop.Origin)
	}
	for _, endpoint := range changes.DrainingEndpoints {
		s.logger.Info("endpoint leaves, says a peer", "endpoint", endpoint)
	}
}

// watchPlatform reads the platform's instance list.
func (s *Server) watchPlatform(ctx context.Context) error {
	client := schemaconnect.NewInstanceServiceClient(&http.Client{Transport: s.transport}, "http://"+s.config.Instances.String())
	read := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		response, err := client.List(ctx, connect.NewRequest(&schema.ListRequest{Cluster: s.config.Cluster}))
		if err == nil {
			s.readInstances(response.Msg.GetInstances())
		}
	}
	read(ctx)
	return every(ctx, platformInterval, read)
}

// readInstances takes daemons and leaving endpoints from the platform's list.
func (s *Server) readInstances(list []*schema.Instance) {
	catalog := s.catalog()
	s.members.Enqueue(func(state *gossiper.Membership) {
		now := time.Now()
		for _, instance := range list {
			addr, err := netip.ParseAddrPort(instance.GetAddress())
			if err != nil {
				continue
			}
			isWorker := catalog != nil && catalog.Workers[addr] != nil
			switch {
			case isWorker && instance.GetLeaving():
				state.AddDrainingEndpoint(addr.String(), now)
			case !isWorker && !instance.GetLeaving() && instance.GetName() != "":
				state.AddSeed(gossiper.Member{Name: instance.GetName(), Zone: instance.GetZone(), Address: addr}, now)
			}
		}
	})
}

// watchEndpoints asks a bounded part of the zone's endpoints for their load.
func (s *Server) watchEndpoints(ctx context.Context) error {
	client := &http.Client{Transport: s.transport}
	turn := 0
	return every(ctx, loadInterval, func(ctx context.Context) {
		for _, worker := range s.watchList(turn) {
			s.askLoad(ctx, client, worker)
		}
		turn++
	})
}

// watchList returns the next endpoints to ask, in turn.
func (s *Server) watchList(turn int) []*compiler.Worker {
	catalog := s.catalog()
	if catalog == nil {
		return nil
	}
	var near []*compiler.Worker
	for _, worker := range catalog.Workers {
		if worker.Zone == s.config.Zone {
			near = append(near, worker)
		}
	}
	slices.SortFunc(near, func(a, b *compiler.Worker) int { return a.Address.Compare(b.Address) })
	var list []*compiler.Worker
	for i := range min(watched, len(near)) {
		list = append(list, near[(turn*watched+i)%len(near)])
	}
	return list
}

func (s *Server) askLoad(ctx context.Context, client *http.Client, worker *compiler.Worker) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+worker.Address.String()+"/load", nil)
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if load, ok := sender.ParseLoad(response.Header); ok {
		s.watcher.Report(worker.Address, load)
	}
}

// maintain is the housekeeping of the daemon.
func (s *Server) maintain(ctx context.Context) error {
	var stepped time.Time
	return every(ctx, maintainInterval, func(ctx context.Context) {
		now := time.Now()
		_ = s.members.Do(ctx, func(state *gossiper.Membership) { state.Tick(now) })
		view := s.members.Snapshot()
		s.watcher.SetLeaving(view.departures)
		s.biller.Adopt(func(maker string) bool { return !views{s}.Alive(maker) })
		if catalog := s.catalog(); catalog != nil {
			s.reshare(catalog)
		}
		s.catchUp(ctx, view)
		s.checkpoint(now)
		if now.Sub(stepped) >= stepInterval {
			stepped = now
			s.step(now)
		}
	})
}

// catchUp reads the configuration from the log and from a peer when a member
// has a newer revision in force.
func (s *Server) catchUp(ctx context.Context, view *memberView) {
	current := s.settings.Snapshot().revision.GetNumber()
	var ahead []gossiper.Member
	for _, member := range view.members {
		if member.Serving() && member.Name != s.config.Name && (member.Revision > current || current == 0) {
			ahead = append(ahead, member)
		}
	}
	if len(ahead) == 0 {
		return
	}
	s.followers[configurator.Stream].Nudge()
	peer := ahead[rand.IntN(len(ahead))]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := s.peers.at(peer.Address).Fetch(ctx, connect.NewRequest(&schema.FetchRequest{Sender: s.asSender(), Above: current}))
	if err != nil || response.Msg.GetRevision() == nil {
		return
	}
	s.changeConfiguration(func(state *configState) { state.fold.Adopt(response.Msg.GetRevision()) })
}

// checkpoint writes the revision in force again before its records expire. The
// age differs from daemon to daemon, so that usually one of them writes.
func (s *Server) checkpoint(now time.Time) {
	spread := 1 + float64(s.config.Seed%1000)/1000
	age := time.Duration(checkpointShare * spread * float64(s.config.Retention))
	appender := s.appenders[configurator.Stream]
	if appender.Pending() > 0 || !s.followers[configurator.Stream].Caught() {
		return
	}
	var revision *schema.Revision
	err := s.settings.Do(context.Background(), func(state *configState) { revision = state.fold.Checkpoint(now, age) })
	if err != nil || revision == nil {
		return
	}
	revision.Copied = timestamppb.New(now)
	appender.Submit(&schema.Record{Id: s.newID(), Body: &schema.Record_Revision{Revision: revision}}, true)
}

// orders keeps the zone's engines at their declared versions.
func (s *Server) orders(ctx context.Context) error {
	return every(ctx, ordersInterval, func(ctx context.Context) {
		if catalog := s.catalog(); catalog != nil && !s.stopping.Load() {
			s.orderer.Step(ctx, catalog, s.zoneRank("orders/"+s.config.Zone))
		}
	})
}

// zoneRank returns this daemon's place among the serving ones of its zone.
func (s *Server) zoneRank(key string) int {
	rank := 0
	for _, member := range gossiper.Rank(key, s.members.Snapshot().members) {
		if member.Name == s.config.Name {
			return rank
		}
		if member.Zone == s.config.Zone {
			rank++
		}
	}
	return rank
}

const (
	returnInterval = time.Second
	// probeTokens is the length of a probe's answer, probeAnswer its time limit.
	probeTokens = 5
	probeAnswer = 3 * time.Second
)

// probeReturning asks engines that are back from an ejection for a few tokens,
// so that no caller's request has to find out whether they are well.
func (s *Server) probeReturning(ctx context.Context) error {
	return every(ctx, returnInterval, func(ctx context.Context) {
		for _, worker := range s.watcher.Returning() {
			s.probeEngine(ctx, worker)
		}
	})
}

func (s *Server) probeEngine(ctx context.Context, worker *compiler.Worker) {
	ctx, cancel := context.WithTimeout(ctx, probeAnswer)
	defer cancel()
	for id := range worker.Versions {
		pace, err := s.sender.Probe(ctx, worker.Address, id.String(), probeTokens)
		if err != nil {
			s.watcher.Failed(worker.Address)
		} else {
			s.watcher.Progress(worker.Address, pace)
		}
		return
	}
}
