package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/configurator"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/prober"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// peerTimeout bounds a call of another daemon or of the platform's list.
	peerTimeout = 500 * time.Millisecond
	// instanceListInterval is how often the daemon reads the platform's list of
	// instances.
	instanceListInterval = 5 * time.Second
	// loadPollInterval is how often a daemon asks endpoints for their load, and
	// loadPollBatch is the number of endpoints that it asks each time.
	loadPollInterval = 2 * time.Second
	loadPollBatch    = 6
	loadPollTimeout  = time.Second
	// maintenanceInterval is how often runMaintenance does its tasks.
	maintenanceInterval = time.Second
	// rolloutInterval is how often the daemon evaluates rollouts and stopped
	// versions.
	rolloutInterval = 2 * time.Second
	// checkpointFraction is the fraction of the log's retention after which the
	// revision in force is appended again.
	checkpointFraction = 0.25
)

// runPeriodically calls action at a mean interval, with a jitter of 20%, until
// ctx ends. It returns the error of ctx.
func runPeriodically(ctx context.Context, interval time.Duration, action func(context.Context)) error {
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

// newProber returns the prober that keeps this daemon in contact with the others.
func (s *Server) newProber() *prober.Prober {
	return prober.New(prober.Options{
		Members:       s.members,
		Self:          s.senderInfo(),
		Connect:       func(address netip.AddrPort) prober.Client { return s.peers.clientFor(address) },
		Seeds:         s.seedPeers,
		HandleChanges: s.logChanges,
		BeforeUrgent: func(ctx context.Context) {
			snapshot := s.members.Snapshot()
			s.watcher.SetDraining(snapshot.departures)
			s.catchUpConfiguration(ctx, snapshot)
		},
		Seed: s.config.RandomSeed,
	})
}

// seedPeers returns the seed peers of the settings other than this daemon.
func (s *Server) seedPeers() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.config.SeedPeers {
		if seed != s.Addresses().Peers {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// logChanges logs the changes that received rumours caused.
func (s *Server) logChanges(changes gossiper.Changes) {
	for _, stop := range changes.StoppedVersions {
		s.logger.Warn("version stopped by a peer", "version", stop.Version, "reason", stop.Reason, "origin", stop.Origin)
	}
	for _, endpoint := range changes.DrainingEndpoints {
		s.logger.Info("endpoint is draining according to a peer", "endpoint", endpoint)
	}
}

// pollInstanceList reads the platform's list of instances periodically.
func (s *Server) pollInstanceList(ctx context.Context) error {
	client := schemaconnect.NewInstanceServiceClient(&http.Client{Transport: s.transport}, "http://"+s.config.InstanceListAddr.String())
	poll := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		response, err := client.List(ctx, connect.NewRequest(&schema.ListRequest{Cluster: s.config.Cluster}))
		if err == nil {
			s.applyInstanceList(response.Msg.GetInstances())
		}
	}
	poll(ctx)
	return runPeriodically(ctx, instanceListInterval, poll)
}

// applyInstanceList adds the daemons and the draining endpoints of the
// platform's list to the membership.
func (s *Server) applyInstanceList(list []*schema.Instance) {
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

// pollEndpointLoads asks the zone's endpoints for their load, one batch per
// interval, so that the cost is bounded in a zone with many endpoints.
func (s *Server) pollEndpointLoads(ctx context.Context) error {
	round := 0
	return runPeriodically(ctx, loadPollInterval, func(ctx context.Context) {
		for _, worker := range s.nextLoadBatch(round) {
			s.fetchLoad(ctx, worker)
		}
		round++
	})
}

// nextLoadBatch returns the endpoints to ask in a round. Successive rounds
// cycle through the zone's endpoints in address order.
func (s *Server) nextLoadBatch(round int) []*compiler.Worker {
	catalog := s.catalog()
	if catalog == nil {
		return nil
	}
	var inZone []*compiler.Worker
	for _, worker := range catalog.Workers {
		if worker.Zone == s.config.Zone {
			inZone = append(inZone, worker)
		}
	}
	slices.SortFunc(inZone, func(a, b *compiler.Worker) int { return a.Address.Compare(b.Address) })
	var batch []*compiler.Worker
	for i := range min(loadPollBatch, len(inZone)) {
		batch = append(batch, inZone[(round*loadPollBatch+i)%len(inZone)])
	}
	return batch
}

// fetchLoad asks an endpoint for its load and reports it to the watcher. Errors
// are ignored: the next round asks again.
func (s *Server) fetchLoad(ctx context.Context, worker *compiler.Worker) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+worker.Address.String()+"/load", nil)
	if err != nil {
		return
	}
	response, err := s.singleUse.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if load, ok := sender.ParseLoad(response.Header); ok {
		s.watcher.RecordLoadReport(worker.Address, load)
	}
}

// runMaintenance performs the daemon's periodic tasks: it updates the
// membership, takes over bills of dead daemons, adjusts its allocations, catches
// up with newer configuration, writes checkpoints and advances rollouts.
func (s *Server) runMaintenance(ctx context.Context) error {
	var lastRolloutStep time.Time
	return runPeriodically(ctx, maintenanceInterval, func(ctx context.Context) {
		now := time.Now()
		_ = s.members.Do(ctx, func(state *gossiper.Membership) { state.Tick(now) })
		membership := s.members.Snapshot()
		s.watcher.SetDraining(membership.departures)
		s.biller.Adopt(func(creator string) bool { return !routerViews{s}.Alive(creator) })
		if catalog := s.catalog(); catalog != nil {
			s.updateAllocations(catalog)
		}
		s.catchUpConfiguration(ctx, membership)
		s.checkpoint(now)
		if now.Sub(lastRolloutStep) >= rolloutInterval {
			lastRolloutStep = now
			s.publishDueChanges(now)
		}
	})
}

// catchUpConfiguration reads the configuration from the log and from a peer if
// a member has a newer revision in force.
func (s *Server) catchUpConfiguration(ctx context.Context, membership *memberSnapshot) {
	current := s.configuration.Snapshot().revision.GetNumber()
	var ahead []gossiper.Member
	for _, member := range membership.members {
		if member.Serving() && member.Name != s.config.Name && (member.Revision > current || current == 0) {
			ahead = append(ahead, member)
		}
	}
	if len(ahead) == 0 {
		return
	}
	s.followers[configurator.Stream].PollNow()
	peer := ahead[rand.IntN(len(ahead))]
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := s.peers.clientFor(peer.Address).Fetch(ctx, connect.NewRequest(&schema.FetchRequest{Sender: s.senderInfo(), Above: current}))
	if err != nil || response.Msg.GetRevision() == nil {
		return
	}
	s.updateConfiguration(func(state *configState) { state.revisions.AdoptFromPeer(response.Msg.GetRevision()) })
}

// checkpoint appends the revision in force again before its records expire. The
// age at which a daemon does so has a jitter per daemon, so that usually only
// one of them appends a checkpoint.
func (s *Server) checkpoint(now time.Time) {
	jitter := 1 + float64(s.config.RandomSeed%1000)/1000
	age := time.Duration(checkpointFraction * jitter * float64(s.config.Retention))
	appender := s.appenders[configurator.Stream]
	if appender.Pending() > 0 || !s.followers[configurator.Stream].CaughtUp() {
		return
	}
	var revision *schema.Revision
	err := s.configuration.Do(context.Background(), func(state *configState) { revision = state.revisions.Checkpoint(now, age) })
	if err != nil || revision == nil {
		return
	}
	revision.Copied = timestamppb.New(now)
	appender.Submit(&schema.Record{Id: s.newID(), Body: &schema.Record_Revision{Revision: revision}}, true)
}

// reconcileEngines makes the engines of the zone load their declared versions.
// The lease of the zone decides which daemon sends the orders.
func (s *Server) reconcileEngines(ctx context.Context) error {
	return runPeriodically(ctx, reconcileInterval, func(ctx context.Context) {
		if catalog := s.catalog(); catalog != nil && !s.stopping.Load() {
			s.orderer.Step(ctx, catalog, s.rankInZone("orders/"+s.config.Zone))
		}
	})
}

// rankInZone returns this daemon's position, from 0, among the serving daemons
// of its zone in the rendezvous order of the key.
func (s *Server) rankInZone(key string) int {
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
	recoveryProbeInterval = time.Second
	// recoveryProbeTokens is the number of tokens that a probe asks an engine
	// for, and recoveryProbeTimeout is the timeout of its response.
	recoveryProbeTokens  = 5
	recoveryProbeTimeout = 3 * time.Second
)

// probeRecovering asks engines whose ejection has ended for a few tokens, so
// that no client's request is used to test whether they are healthy.
func (s *Server) probeRecovering(ctx context.Context) error {
	return runPeriodically(ctx, recoveryProbeInterval, func(ctx context.Context) {
		for _, worker := range s.watcher.AwaitingProbe() {
			s.probeEngine(ctx, worker)
		}
	})
}

// probeEngine probes an engine with one of its versions and reports the result
// to the watcher.
func (s *Server) probeEngine(ctx context.Context, worker *compiler.Worker) {
	ctx, cancel := context.WithTimeout(ctx, recoveryProbeTimeout)
	defer cancel()
	for id := range worker.Versions {
		pace, err := s.sender.Probe(ctx, worker.Address, id.String(), recoveryProbeTokens)
		if err != nil {
			s.watcher.RecordProbeFailure(worker.Address)
		} else {
			s.watcher.RecordProgress(worker.Address, pace)
		}
		return
	}
}
