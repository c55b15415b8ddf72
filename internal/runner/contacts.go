package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/relayer"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

const (
	// contactInterval is the time between two exchanges of contacts.
	contactInterval = 2500 * time.Millisecond
	// contactTimeout bounds one exchange.
	contactTimeout = time.Second
	// maxContactReads bounds the quick reads of a zone that finds no other one.
	maxContactReads = 5
	// contactRefresh is the time between two exchanges of contacts after that.
	contactRefresh = 30 * time.Second
	// minJoinInterval and maxJoinInterval bound the time between two attempts to join after the
	// start, which doubles. joinTimeout bounds one within the zone, zonesJoinTimeout one with the
	// other zones, which may be cut off or down, and maxJoinTime all of them.
	minJoinInterval  = 20 * time.Millisecond
	maxJoinInterval  = 100 * time.Millisecond
	joinTimeout      = 150 * time.Millisecond
	zonesJoinTimeout = 300 * time.Millisecond
	maxJoinTime      = 3 * time.Second
)

// contacts finds a daemon in each other zone, through which the zones join. Each zone
// reader names itself in the log and then reads the names of the others, so that the last
// one finds all of them. After that, the daemons need the log only to find each other again
// if they were split into groups.
type contacts struct {
	*Runner
	self relayer.ZoneReader
	// published is set once this daemon has named itself, publishedIn is the log's epoch in which
	// its record was last found or written. Only run uses them.
	published   bool
	publishedIn subscriber.Epoch
	// reads and readAt are the number of exchanges and when the last was made. Only run uses them.
	reads  int
	readAt time.Time

	mu        sync.Mutex
	addresses []netip.AddrPort
}

func newContacts(r *Runner) *contacts {
	settings := r.settings.Load()
	return &contacts{Runner: r, self: relayer.ZoneReader{Name: settings.Name, Address: settings.RelayAddress}}
}

// seeds returns the addresses of the daemons to join through.
func (c *contacts) seeds() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(c.relayer.OtherReaders(), c.addresses...)
}

// run exchanges contacts until ctx ends, and returns the error of ctx.
func (c *contacts) run(ctx context.Context) error {
	c.join(ctx)
	c.revisions.setJoined()
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	epoch := c.logEpoch()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		current := c.logEpoch()
		isDue := current != epoch || contactsDue(c.reads, c.peers.knowsOtherZone(), time.Since(c.readAt))
		if !c.isContact() || !isDue {
			continue
		}
		if err := c.exchange(ctx); err != nil {
			c.logger.Info("cannot exchange contacts with other zones", "error", err)
			continue
		}
		epoch = current
	}
}

// join returns when this daemon knows the revision in force at others, or that it can know
// none. It takes no longer than maxJoinTime.
func (c *contacts) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxJoinTime)
	defer cancel()
	select {
	case <-c.relayer.Decided():
	case <-ctx.Done():
	}
	for interval := minJoinInterval; ctx.Err() == nil && c.peers.members.Snapshot().revision == 0; interval = min(2*interval, maxJoinInterval) {
		if reader, following := c.relayer.FollowedReader(); following {
			c.probe(ctx, reader)
		} else if _, _, err := c.readContacts(ctx); err == nil {
			c.joinZones(ctx)
			return
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// joinZones joins through the contacts of the other zones.
func (c *contacts) joinZones(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, zonesJoinTimeout)
	defer cancel()
	c.peers.prober.Join(ctx)
}

// probe joins through the zone reader, which may be down.
func (c *contacts) probe(ctx context.Context, reader netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_ = c.peers.prober.Probe(ctx, gossiper.Member{Address: reader}, true)
}

// isContact reports whether this daemon exchanges contacts for its zone. One that has lost its
// zone reader leaves them to the next one.
func (c *contacts) isContact() bool {
	return c.relayer.Reads() || len(c.peers.serving()) <= 1 && !c.relayer.Following()
}

// contactsDue reports whether a zone reader exchanges contacts now, after a number of reads
// of which the last was some time ago. A zone may know some zones, but not all, before it
// has read any contact.
func contactsDue(reads int, knowsOtherZone bool, sinceRead time.Duration) bool {
	return reads == 0 || reads < maxContactReads && !knowsOtherZone || sinceRead >= contactRefresh
}

// exchange names this daemon in the log, unless the log still does, and joins the daemons of the
// other zones that the log names.
func (c *contacts) exchange(ctx context.Context) error {
	if !c.published {
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	contacts, epoch, err := c.readContacts(ctx)
	if err != nil {
		return err
	}
	if c.isLost(contacts, epoch) {
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	c.publishedIn = epoch
	c.readAt = time.Now()
	c.reads++
	c.peers.prober.Join(ctx)
	return nil
}

// publish names this daemon in the log as the contact of its zone.
func (c *contacts) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	value, err := c.self.Encode()
	if err != nil {
		return err
	}
	if err := c.deps.ContactTopic.Append(ctx, c.settings.Load().Zone, value); err != nil {
		return err
	}
	c.published = true
	return nil
}

// isLost reports whether the log has lost the record of this daemon: it names nobody for the zone,
// or an earlier daemon after a restore. Without one, another daemon of the zone may have replaced
// the record.
func (c *contacts) isLost(contacts map[string]relayer.ZoneReader, epoch subscriber.Epoch) bool {
	contact, found := contacts[c.settings.Load().Zone]
	return !found || c.publishedIn != 0 && epoch != c.publishedIn && contact != c.self
}

// readContacts reads the contacts of all zones, and keeps the addresses of the other ones. It
// returns the contacts and the log's epoch.
func (c *contacts) readContacts(ctx context.Context) (map[string]relayer.ZoneReader, subscriber.Epoch, error) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	snapshot, err := c.deps.ContactTopic.Newest(ctx)
	if err != nil {
		return nil, 0, err
	}
	contacts := relayer.DecodeReaders(c.crashRecords.apply(snapshot.Records), c.logger)
	zone := c.settings.Load().Zone
	var addresses []netip.AddrPort
	for other, contact := range contacts {
		if other != zone {
			addresses = append(addresses, contact.Address)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	return contacts, snapshot.Next.Epoch, nil
}
