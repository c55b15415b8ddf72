package runner

import (
	"sync/atomic"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/matcher"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// revisionGuard is how long after its start, and after each new epoch of the log, a daemon takes
// a higher revision at another daemon for a declaration that the log has lost. It is several
// times what operators need to write again, and bounds the harm of a wrong revision.
const revisionGuard = time.Minute

// revisions tells whether the declaration in force here is older than that of another daemon.
type revisions struct {
	*Runner
	// epochStart is the start of the log's epoch as this daemon knows it.
	epochStart atomic.Pointer[epochStart]
	// joinedAt is when this daemon had been in contact with others after its start. It is nil
	// before.
	joinedAt atomic.Pointer[time.Time]
}

// epochStart is when a daemon has first read the log in an epoch.
type epochStart struct {
	epoch subscriber.Epoch
	at    time.Time
}

func newRevisions(r *Runner) *revisions {
	v := &revisions{Runner: r}
	v.epochStart.Store(&epochStart{at: time.Now()})
	return v
}

// setEpoch records the epoch of the log. Only one call may be active.
func (v *revisions) setEpoch(epoch subscriber.Epoch) {
	if epoch != v.epochStart.Load().epoch {
		v.epochStart.Store(&epochStart{epoch: epoch, at: time.Now()})
	}
}

// setJoined records that this daemon has been in contact with others, or can be with none.
func (v *revisions) setJoined() {
	now := time.Now()
	v.joinedAt.Store(&now)
	v.report()
}

// report lets other daemons know the revision of the declaration in force. A daemon that has
// not joined yet does not know whether its declaration is up to date.
func (v *revisions) report() {
	if table := v.table(); v.joinedAt.Load() != nil && table != nil && table.Revision > 0 {
		v.peers.reportRevision(uint64(table.Revision))
	}
}

// isOutdated reports whether a declaration, which was verified some time ago, may be older than
// one in force at another daemon. A newer one that the log still has is in a read that was sent
// after this daemon has heard of it.
func (v *revisions) isOutdated(table *matcher.Table, age time.Duration) bool {
	if table == nil || v.listeners.relay == nil || time.Since(v.epochStart.Load().at) >= revisionGuard {
		return false
	}
	joinedAt := v.joinedAt.Load()
	if joinedAt == nil {
		return true
	}
	members := v.peers.members.Snapshot()
	if members.revision <= uint64(max(0, table.Revision)) {
		return false
	}
	return !members.revisionSince.After(*joinedAt) || age < time.Since(members.revisionSince)
}
