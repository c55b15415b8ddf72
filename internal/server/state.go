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
	fold     *configurator.Fold
	catalog  *compiler.Catalog
	rejected error
}

func newConfigState() *configState { return &configState{fold: configurator.New()} }

// configView is the snapshot of the configuration.
type configView struct {
	revision *schema.Revision
	catalog  *compiler.Catalog
	// rejected says why the newest revision could not be compiled here.
	rejected error
	trail    []configurator.Entry
}

// view compiles the revision in force. One that does not compile here leaves
// the last one that did in force, which status shows.
func (c *configState) view() *configView {
	revision := c.fold.Current()
	if revision != nil && (c.catalog == nil || c.catalog.Revision != revision.GetNumber()) {
		catalog, err := compiler.Compile(revision.GetNumber(), revision.GetDeclaration())
		c.rejected = err
		if err == nil {
			c.catalog = catalog
		}
	}
	return &configView{revision: revision, catalog: c.catalog, rejected: c.rejected, trail: c.fold.Trail()}
}

// memberView is the snapshot of the membership.
type memberView struct {
	members    []gossiper.Member
	stops      map[string]gossiper.StoppedVersion
	departures compiler.Set[netip.AddrPort]
}

func viewMembers(state *gossiper.Membership) *memberView {
	view := &memberView{members: state.Members(), stops: state.StoppedVersions(), departures: compiler.Set[netip.AddrPort]{}}
	for _, endpoint := range state.DrainingEndpoints() {
		if addr, err := netip.ParseAddrPort(endpoint); err == nil {
			view.departures.Add(addr)
		}
	}
	return view
}

// serving returns the members that can be given work or state.
func (v *memberView) serving() []gossiper.Member {
	var list []gossiper.Member
	for _, member := range v.members {
		if member.Serving() {
			list = append(list, member)
		}
	}
	return list
}

func viewPins(table *pinner.Table) *int {
	count := table.Len()
	return &count
}

// views implements router.State on the snapshots.
type views struct{ s *Server }

// Catalog implements router.State.
func (v views) Catalog() *compiler.Catalog { return v.s.catalog() }

// Stopped implements router.State.
func (v views) Stopped(version *compiler.Version) bool {
	stop, stopped := v.s.members.Snapshot().stops[version.ID.String()]
	return stopped && stop.Generation >= version.Generation
}

// Estimates implements router.State.
func (v views) Estimates() *estimator.Snapshot { return v.s.estimates.Snapshot() }

// Alive implements router.State.
func (v views) Alive(holder string) bool {
	name, _, _ := strings.Cut(holder, "/")
	for _, member := range v.s.members.Snapshot().members {
		if member.Name == name {
			return member.Serving() && holderOf(member) == holder
		}
	}
	return false
}

func holderOf(member gossiper.Member) string {
	return member.Name + "/" + uintText(member.Incarnation)
}

// applyConfiguration folds records of the configuration stream.
func (s *Server) applyConfiguration(_ uint64, records []*schema.Record) {
	s.changeConfiguration(func(state *configState) {
		for _, record := range records {
			if revision := record.GetRevision(); revision != nil {
				state.fold.Apply(record.GetId(), revision)
			}
		}
	})
}

// changeConfiguration runs a command on the configuration and, when another
// revision came into force, tells the parts.
func (s *Server) changeConfiguration(change func(*configState)) {
	if err := s.settings.Do(context.Background(), change); err != nil {
		return
	}
	view := s.settings.Snapshot()
	number := view.revision.GetNumber()
	if s.configured.Swap(number) == number {
		return
	}
	if view.rejected != nil {
		s.logger.Error("revision cannot be used; the one before stays in force", "revision", number, "error", view.rejected)
		return
	}
	s.logger.Info("revision in force", "revision", number, "author", view.revision.GetChange().GetAuthor())
	s.configure(view.catalog)
}

// configure hands a catalog to the parts.
func (s *Server) configure(catalog *compiler.Catalog) {
	s.watcher.Configure(catalog)
	s.roller.Configure(catalog)
	s.reshare(catalog)
	defer s.spread()
	s.members.Enqueue(func(state *gossiper.Membership) {
		state.SetRevision(catalog.Revision)
		state.RemoveStoppedVersions(func(stop gossiper.StoppedVersion) bool {
			id, ok := compiler.ParseVersion(stop.Version)
			version := catalog.Versions[id]
			return !ok || version == nil || version.Generation > stop.Generation
		})
	})
}

// reshare fits the shares of this daemon to the number of live daemons.
func (s *Server) reshare(catalog *compiler.Catalog) {
	serving := s.members.Snapshot().serving()
	s.limiter.Configure(catalog, len(serving))
	s.roller.SetDaemons(len(serving))
	s.budget.SetLimit(appendRate(s.config.Appends, len(serving)))
	s.admitter.SetCapacity(s.capacity(catalog, serving))
}

// overcommit is how many requests a daemon admits for each slot of its share,
// so that engines always have the next request at hand.
const overcommit = 1.5

// capacity returns the number of requests that this daemon runs at once: its
// share of the slots of its zone's workers.
func (s *Server) capacity(catalog *compiler.Catalog, serving []gossiper.Member) int {
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
		return s.config.Parallel
	}
	share := overcommit * float64(slots) / float64(max(1, daemons))
	return max(1, min(s.config.Parallel, int(share+0.999)))
}

// observed takes the length and time of a complete answer.
func (s *Server) observed(version compiler.VersionID, output int, took time.Duration) {
	s.estimates.Enqueue(func(table *estimator.Table) { table.AddCompletion(version, output, took) })
}

// rated takes a rating.
func (s *Server) rated(rated assessor.Rating) {
	s.estimates.Enqueue(func(table *estimator.Table) {
		answer := rated.Response
		if answer.DiscardedVersion.IsZero() {
			table.AddRating(answer.Version, answer.Class, rated.Score)
		} else {
			table.AddEscalatedRating(answer.DiscardedVersion, answer.Version, rated.Score)
		}
		if answer.Account != "" {
			table.AddDeliveredRating(answer.Account, rated.Score, max(1, answer.SampleWeight))
		}
	})
	s.roller.RecordRating(rated)
}

// stopVersion takes a version out of service at once and spreads the word.
func (s *Server) stopVersion(stop gossiper.StoppedVersion) {
	s.members.Enqueue(func(state *gossiper.Membership) {
		if state.AddStoppedVersion(stop) {
			s.spread()
			s.logger.Warn("version stopped", "version", stop.Version, "reason", stop.Reason)
		}
	})
}

// endpointLeaves spreads the word that an endpoint takes no new work.
func (s *Server) endpointLeaves(endpoint netip.AddrPort) {
	s.members.Enqueue(func(state *gossiper.Membership) {
		if state.AddDrainingEndpoint(endpoint.String(), time.Now()) {
			s.spread()
			s.logger.Info("endpoint leaves", "endpoint", endpoint)
		}
	})
}
