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

// configState is the state of the configuration that its actor owns.
type configState struct {
	revisions  *configurator.State
	catalog    *compiler.Catalog
	compileErr error
}

func newConfigState() *configState { return &configState{revisions: configurator.New()} }

// configSnapshot is a snapshot of the configuration.
type configSnapshot struct {
	revision *schema.Revision
	catalog  *compiler.Catalog
	// compileErr is the error with which the newest revision failed to compile on
	// this daemon; nil if it compiled.
	compileErr error
	auditTrail []configurator.AuditEntry
}

// snapshot compiles the revision in force, if it is new, and returns a snapshot.
// If the revision does not compile on this daemon, the catalog of the last
// revision that did stays in use.
func (c *configState) snapshot() *configSnapshot {
	revision := c.revisions.Current()
	if revision != nil && (c.catalog == nil || c.catalog.Revision != revision.GetNumber()) {
		catalog, err := compiler.Compile(revision.GetNumber(), revision.GetDeclaration())
		c.compileErr = err
		if err == nil {
			c.catalog = catalog
		}
	}
	return &configSnapshot{revision: revision, catalog: c.catalog, compileErr: c.compileErr, auditTrail: c.revisions.AuditTrail()}
}

// memberSnapshot is a snapshot of the membership.
type memberSnapshot struct {
	members    []gossiper.Member
	stops      map[string]gossiper.StoppedVersion
	departures compiler.Set[netip.AddrPort]
}

func newMemberSnapshot(state *gossiper.Membership) *memberSnapshot {
	snapshot := &memberSnapshot{members: state.Members(), stops: state.StoppedVersions(), departures: compiler.Set[netip.AddrPort]{}}
	for _, endpoint := range state.DrainingEndpoints() {
		if addr, err := netip.ParseAddrPort(endpoint); err == nil {
			snapshot.departures.Add(addr)
		}
	}
	return snapshot
}

// servingMembers returns the members that can be given work or state.
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

// routerViews implements router.State with the published snapshots.
type routerViews struct{ s *Server }

// Catalog returns the compiled configuration in force, or nil.
func (v routerViews) Catalog() *compiler.Catalog { return v.s.catalog() }

// Stopped reports whether a version is stopped in its current generation.
func (v routerViews) Stopped(version *compiler.Version) bool {
	stop, stopped := v.s.members.Snapshot().stops[version.ID.String()]
	return stopped && stop.Generation >= version.Generation
}

// Estimates returns the current estimates of the versions.
func (v routerViews) Estimates() *estimator.Snapshot { return v.s.estimates.Snapshot() }

// Alive reports whether the daemon with the given id is serving in the same
// incarnation.
func (v routerViews) Alive(holder string) bool {
	name, _, _ := strings.Cut(holder, "/")
	for _, member := range v.s.members.Snapshot().members {
		if member.Name == name {
			return member.Serving() && daemonIDOf(member) == holder
		}
	}
	return false
}

// daemonIDOf returns the daemon id of a member in its current incarnation.
func daemonIDOf(member gossiper.Member) string {
	return member.Name + "/" + formatUint(member.Incarnation)
}

// applyConfigurationRecords applies records of the configuration stream.
func (s *Server) applyConfigurationRecords(_ uint64, records []*schema.Record) {
	s.updateConfiguration(func(state *configState) {
		for _, record := range records {
			if revision := record.GetRevision(); revision != nil {
				state.revisions.Apply(record.GetId(), revision)
			}
		}
	})
}

// updateConfiguration runs a command on the configuration state. If the command
// put another revision in force, it applies that revision to the components.
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
		s.logger.Error("revision does not compile; the previous revision stays in force", "revision", number, "error", current.compileErr)
		return
	}
	s.logger.Info("revision in force", "revision", number, "author", current.revision.GetChange().GetAuthor())
	s.applyCatalog(current.catalog)
}

// applyCatalog passes a new catalog to the components and announces its
// revision to the other members.
func (s *Server) applyCatalog(catalog *compiler.Catalog) {
	s.watcher.Configure(catalog)
	s.roller.Configure(catalog)
	s.updateAllocations(catalog)
	defer s.prober.SpreadUrgent()
	s.members.Enqueue(func(state *gossiper.Membership) {
		state.SetRevision(catalog.Revision)
		state.RemoveStoppedVersions(func(stop gossiper.StoppedVersion) bool {
			id, ok := compiler.ParseVersion(stop.Version)
			version := catalog.Versions[id]
			return !ok || version == nil || version.Generation > stop.Generation
		})
	})
}

// updateAllocations adjusts this daemon's part of the limits, of the append rate
// and of the zone's slots to the number of serving daemons.
func (s *Server) updateAllocations(catalog *compiler.Catalog) {
	serving := s.members.Snapshot().servingMembers()
	s.limiter.Configure(catalog, len(serving))
	s.roller.SetDaemons(len(serving))
	s.appendBudget.SetLimit(appendRatePerDaemon(s.config.AppendsPerSecond, len(serving)))
	s.admitter.SetCapacity(s.concurrencyLimit(catalog, serving))
}

// overcommitFactor is the number of requests that a daemon admits per slot of its
// share, so that an engine always has a next request queued.
const overcommitFactor = 1.5

// concurrencyLimit returns the number of requests that this daemon may run at
// once: its share of the slots of the workers in its zone, times
// overcommitFactor, between 1 and the configured maximum. If the zone has no
// workers, it returns the configured maximum.
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

// recordCompletion adds the length in tokens and the duration of a complete
// response to the estimates.
func (s *Server) recordCompletion(version compiler.VersionID, outputTokens int, duration time.Duration) {
	s.estimates.Enqueue(func(table *estimator.Table) { table.AddCompletion(version, outputTokens, duration) })
}

// recordRating adds a rating to the estimates and to the evidence of rollouts.
func (s *Server) recordRating(rating assessor.Rating) {
	s.estimates.Enqueue(func(table *estimator.Table) {
		response := rating.Response
		if response.DiscardedVersion.IsZero() {
			table.AddRating(response.Version, response.Class, rating.Score)
		} else {
			table.AddEscalatedRating(response.DiscardedVersion, response.Version, rating.Score)
		}
		if response.Account != "" {
			table.AddDeliveredRating(response.Account, rating.Score, max(1, response.SampleWeight))
		}
	})
	s.roller.RecordRating(rating)
}

// stopVersion takes a version out of service on this daemon at once and
// announces the stop to the other members.
func (s *Server) stopVersion(stop gossiper.StoppedVersion) {
	s.members.Enqueue(func(state *gossiper.Membership) {
		if state.AddStoppedVersion(stop) {
			s.prober.SpreadUrgent()
			s.logger.Warn("version stopped", "version", stop.Version, "reason", stop.Reason)
		}
	})
}

// announceDrainingEndpoint records that an endpoint is draining and announces it
// to the other members.
func (s *Server) announceDrainingEndpoint(endpoint netip.AddrPort) {
	s.members.Enqueue(func(state *gossiper.Membership) {
		if state.AddDrainingEndpoint(endpoint.String(), time.Now()) {
			s.prober.SpreadUrgent()
			s.logger.Info("endpoint is draining", "endpoint", endpoint)
		}
	})
}
