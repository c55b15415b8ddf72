package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/relayer"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

const (
	// contactInterval is the time between two exchanges of contacts, and until the first. A
	// daemon that starts has more urgent reads.
	contactInterval = 2500 * time.Millisecond
	// contactTimeout bounds one exchange.
	contactTimeout = time.Second
	// maxContactReads bounds the quick reads of a zone that finds no other one.
	maxContactReads = 5
	// contactRefresh is the time between two exchanges of contacts after that.
	contactRefresh = 30 * time.Second
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
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	reads := 0
	var readAt time.Time
	epoch := c.logEpoch()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		// A daemon that has lost its zone reader leaves the contacts to the next one.
		isContact := c.relayer.Reads() || len(c.peers.serving()) <= 1 && !c.relayer.Following()
		current := c.logEpoch()
		if !isContact || current == epoch && !contactsDue(reads, c.peers.knowsOtherZone(), time.Since(readAt)) {
			continue
		}
		if err := c.exchange(ctx); err != nil {
			c.logger.Info("cannot exchange contacts with other zones", "error", err)
			continue
		}
		epoch = current
		readAt = time.Now()
		reads++
		c.peers.prober.Join(ctx)
	}
}

// contactsDue reports whether a zone reader exchanges contacts now, after a number of reads
// of which the last was some time ago. A zone may know some zones, but not all, before it
// has read any contact.
func contactsDue(reads int, knowsOtherZone bool, sinceRead time.Duration) bool {
	return reads == 0 || reads < maxContactReads && !knowsOtherZone || sinceRead >= contactRefresh
}

// exchange names this daemon in the log, unless that is done, and reads the contacts of
// the other zones.
func (c *contacts) exchange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	if !c.published {
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	snapshot, err := c.deps.ContactTopic.Newest(ctx)
	if err != nil {
		return err
	}
	contacts := relayer.DecodeReaders(snapshot.Records, c.logger)
	zone := c.settings.Load().Zone
	if c.isLost(contacts, zone, snapshot.Next.Epoch) {
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	c.publishedIn = snapshot.Next.Epoch
	var addresses []netip.AddrPort
	for other, contact := range contacts {
		if other != zone {
			addresses = append(addresses, contact.Address)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	return nil
}

// publish names this daemon in the log as the contact of its zone.
func (c *contacts) publish(ctx context.Context) error {
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
func (c *contacts) isLost(contacts map[string]relayer.ZoneReader, zone string, epoch subscriber.Epoch) bool {
	contact, found := contacts[zone]
	return !found || c.publishedIn != 0 && epoch != c.publishedIn && contact != c.self
}
