package server

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/assessor"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/configurator"
	"quetzalgrade.example/quetzalgrade/internal/estimator"
	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/pinner"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// configState is the configuration as its actor owns it.
type configState struct {
	revisions  *configurator.Fold
	catalog    *compiler.Catalog
	compileErr error
}

func newConfigState() *configState { return &configState{revisions: configurator.New()} }

// configView is the snapshot of the configuration.
type configSnapshot struct {
	revision *schema.Revision
	catalog  *compiler.Catalog
	// rejected says why the newest revision could not be compiled here.
	compileErr error
	auditTrail []configurator.Entry
}

// view compiles the revision in force. One that does not compile here leaves
// the last one that did in force, which status shows.
func (c *configState) snapshot() *configSnapshot {
	revision := c.revisions.Current()
	if revision != nil && (c.catalog == nil || c.catalog.Revision != revision.GetNumber()) {
		catalog, err := compiler.Compile(revision.GetNumber(), revision.GetDeclaration())
		c.compileErr = err
		if err == nil {
			c.catalog = catalog
		}
	}
	return &configSnapshot{revision: revision, catalog: c.catalog, compileErr: c.compileErr, auditTrail: c.revisions.Trail()}
}

// memberView is the snapshot of the membership.
type memberSnapshot struct {
	members    []gossiper.Member
	stops      map[string]gossiper.Stop
	departures compiler.Set[netip.AddrPort]
}

func newMemberSnapshot(state *gossiper.State) *memberSnapshot {
	snapshot := &memberSnapshot{members: state.Members(), stops: state.Stops(), departures: compiler.Set[netip.AddrPort]{}}
	for _, endpoint := range state.Departures() {
		if addr, err := netip.ParseAddrPort(endpoint); err == nil {
			snapshot.departures.Add(addr)
		}
	}
	return snapshot
}

// serving returns the members that can be given work or state.
func (v *memberSnapshot) servingMembers() []gossiper.Member {
	var list []gossiper.Member
	for _, member := range v.members {
		if member.Serving() {
			list = append(list, member)
		}
	}
	return list
}

func countPins(table *pinner.Table) *int {
	count := table.Len()
	return &count
}

// views implements router.Views on the snapshots.
type routerViews struct{ s *Server }

// Catalog implements router.Views.
func (v routerViews) Catalog() *compiler.Catalog { return v.s.catalog() }

// Stopped implements router.Views.
func (v routerViews) Stopped(version *compiler.Version) bool {
	stop, stopped := v.s.members.Snapshot().stops[version.ID.String()]
	return stopped && stop.Generation >= version.Generation
}

// Estimates implements router.Views.
func (v routerViews) Estimates() *estimator.View { return v.s.estimates.Snapshot() }

// Alive implements router.Views.
func (v routerViews) Alive(holder string) bool {
	name, _, _ := strings.Cut(holder, "/")
	for _, member := range v.s.members.Snapshot().members {
		if member.Name == name {
			return member.Serving() && daemonIDOf(member) == holder
		}
	}
	return false
}

func daemonIDOf(member gossiper.Member) string {
	return member.Name + "/" + formatUint(member.Incarnation)
}

// applyConfiguration folds records of the configuration stream.
func (s *Server) applyConfigurationRecords(_ uint64, records []*schema.Record) {
	s.updateConfiguration(func(state *configState) {
		for _, record := range records {
			if revision := record.GetRevision(); revision != nil {
				state.revisions.Apply(record.GetId(), revision)
			}
		}
	})
}

// changeConfiguration runs a command on the configuration and, when another
// revision came into force, tells the parts.
func (s *Server) updateConfiguration(update func(*configState)) {
	if err := s.configuration.Do(context.Background(), update); err != nil {
		return
	}
	current := s.configuration.Snapshot()
	number := current.revision.GetNumber()
	if s.appliedRevision.Swap(number) == number {
		return
	}
	if current.compileErr != nil {
		s.logger.Error("revision cannot be used; the one before stays in force", "revision", number, "error", current.compileErr)
		return
	}
	s.logger.Info("revision in force", "revision", number, "author", current.revision.GetChange().GetAuthor())
	s.applyCatalog(current.catalog)
}

// configure hands a catalog to the parts.
func (s *Server) applyCatalog(catalog *compiler.Catalog) {
	s.watcher.Configure(catalog)
	s.roller.Configure(catalog)
	s.updateAllocations(catalog)
	defer s.triggerUrgentGossip()
	s.members.Tell(func(state *gossiper.State) {
		state.SetRevision(catalog.Revision)
		state.ClearStops(func(stop gossiper.Stop) bool {
			id, ok := compiler.ParseVersion(stop.Version)
			version := catalog.Versions[id]
			return !ok || version == nil || version.Generation > stop.Generation
		})
	})
}

// reshare fits the shares of this daemon to the number of live daemons.
func (s *Server) updateAllocations(catalog *compiler.Catalog) {
	serving := s.members.Snapshot().servingMembers()
	s.limiter.Configure(catalog, len(serving))
	s.roller.SetDaemons(len(serving))
	s.appendBudget.SetLimit(appendRatePerDaemon(s.config.AppendsPerSecond, len(serving)))
	s.admitter.SetCapacity(s.concurrencyLimit(catalog, serving))
}

// overcommit is how many requests a daemon admits for each slot of its share,
// so that engines always have the next request at hand.
const overcommitFactor = 1.5

// capacity returns the number of requests that this daemon runs at once: its
// share of the slots of its zone's workers.
func (s *Server) concurrencyLimit(catalog *compiler.Catalog, serving []gossiper.Member) int {
	slots := 0
	for _, worker := range catalog.Workers {
		if worker.Zone == s.config.Zone {
			slots += worker.Slots
		}
	}
	daemons := 0
	for _, member := range serving {
		if member.Zone == s.config.Zone {
			daemons++
		}
	}
	if slots == 0 {
		return s.config.MaxConcurrentRequests
	}
	share := overcommitFactor * float64(slots) / float64(max(1, daemons))
	return max(1, min(s.config.MaxConcurrentRequests, int(share+0.999)))
}

// observed takes the length and time of a complete answer.
func (s *Server) recordCompletion(version compiler.VersionID, outputTokens int, duration time.Duration) {
	s.estimates.Tell(func(table *estimator.Table) { table.Complete(version, outputTokens, duration) })
}

// rated takes a rating.
func (s *Server) recordRating(rating assessor.Rating) {
	s.estimates.Tell(func(table *estimator.Table) {
		response := rating.Response
		if response.DiscardedVersion.IsZero() {
			table.Observe(response.Version, response.Class, rating.Score)
		} else {
			table.Escalate(response.DiscardedVersion, response.Version, rating.Score)
		}
		if response.Account != "" {
			table.Deliver(response.Account, rating.Score, max(1, response.SampleWeight))
		}
	})
	s.roller.RecordRating(rating)
}

// stopVersion takes a version out of service at once and spreads the word.
func (s *Server) stopVersion(stop gossiper.Stop) {
	s.members.Tell(func(state *gossiper.State) {
		if state.AddStop(stop) {
			s.triggerUrgentGossip()
			s.logger.Warn("version stopped", "version", stop.Version, "reason", stop.Reason)
		}
	})
}

// endpointLeaves spreads the word that an endpoint takes no new work.
func (s *Server) announceDrainingEndpoint(endpoint netip.AddrPort) {
	s.members.Tell(func(state *gossiper.State) {
		if state.AddDeparture(endpoint.String(), time.Now()) {
			s.triggerUrgentGossip()
			s.logger.Info("endpoint leaves", "endpoint", endpoint)
		}
	})
}
