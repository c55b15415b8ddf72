package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/relayer"
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
	// joinInterval is the time between two attempts to join after the start, joinTimeout bounds
	// one within the zone, maxJoinTime all of them: a zone may be cut off from the others.
	joinInterval = 100 * time.Millisecond
	joinTimeout  = 150 * time.Millisecond
	maxJoinTime  = 3 * time.Second
)

// contacts finds a daemon in each other zone, through which the zones join. Each zone
// reader names itself in the log and then reads the names of the others, so that the last
// one finds all of them. After that, the daemons need the log only to find each other again
// if they were split into groups.
type contacts struct {
	*Runner
	self relayer.ZoneReader
	// published is set once this daemon is named in the log, reads and readAt are the number
	// of exchanges and when the last was made. Only run uses them.
	published bool
	reads     int
	readAt    time.Time

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
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.isContact() && contactsDue(c.reads, c.peers.knowsOtherZone(), time.Since(c.readAt)) {
			c.exchange(ctx)
		}
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
	for ctx.Err() == nil && c.peers.members.Snapshot().revision == 0 {
		if reader, following := c.relayer.FollowedReader(); following {
			c.probe(ctx, reader)
		} else if c.readContacts(ctx) == nil {
			c.peers.prober.Join(ctx)
			return
		}
		select {
		case <-time.After(joinInterval):
		case <-ctx.Done():
		}
	}
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

// exchange names this daemon in the log, unless that is done, and joins the daemons of the
// other zones that the log names.
func (c *contacts) exchange(ctx context.Context) {
	err := c.publish(ctx)
	if err == nil {
		err = c.readContacts(ctx)
	}
	if err != nil {
		c.logger.Info("cannot exchange contacts with other zones", "error", err)
		return
	}
	c.readAt = time.Now()
	c.reads++
	c.peers.prober.Join(ctx)
}

// publish names this daemon in the log, unless that is done.
func (c *contacts) publish(ctx context.Context) error {
	if c.published {
		return nil
	}
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

// readContacts reads the contacts of the other zones.
func (c *contacts) readContacts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	zone := c.settings.Load().Zone
	snapshot, err := c.deps.ContactTopic.Newest(ctx)
	if err != nil {
		return err
	}
	var addresses []netip.AddrPort
	for other, contact := range relayer.DecodeReaders(snapshot.Records, c.logger) {
		if other != zone {
			addresses = append(addresses, contact.Address)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	return nil
}
