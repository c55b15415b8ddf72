package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrExpired is returned by a source when retention has removed the records at
// the requested offset.
var ErrExpired = errors.New("records at the requested offset have expired")

// ErrOffsetConflict is returned by a conditional append when the topic does not
// end at the expected position.
var ErrOffsetConflict = errors.New("topic does not end at the expected offset")

// Epoch counts how often the log has come back from an older copy, which lacks the last
// records. It is 0 if the log does not say. Offsets of different epochs cannot be compared.
type Epoch uint64

// Position is a place in a topic.
type Position struct {
	Epoch  Epoch
	Offset int64
}

// Record is one record of a topic. An empty value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Epoch is the latest epoch in which the log held the record at the offset.
	Epoch Epoch
}

// Page is the result of one read.
type Page struct {
	Records []Record
	// Invalid says what is wrong with records that have no key and are left out.
	Invalid []error
	// Next is the offset after the last record of the page. End is the offset that
	// the next append will get.
	Next int64
	End  int64
	// Epoch is that of the offsets.
	Epoch Epoch
}

// Source reads one topic of keyed records.
type Source interface {
	// Newest returns the newest record of each key, and the position from which Read
	// returns all newer records. All of it is of one epoch. VerifiedAt is not set.
	Newest(ctx context.Context) (Snapshot, error)
	// Read returns the records from an offset on. If there are none, it waits for
	// one for at most the given time. It returns ErrExpired if the records have
	// been removed.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Peer is another daemon that has read the topic.
type Peer interface {
	// Newest returns the newest record of each key, the position from which Read returns
	// all newer records, and the lag as Read does. A record of an older epoch than that of
	// the position has been lost by the log.
	Newest(ctx context.Context, topic string) (snapshot Snapshot, lag time.Duration, err error)
	// Read returns the records from a position on, and how long before this call
	// the peer's last verified read was sent. The lag is negative if that read was
	// sent after the call. If there are no records, it waits for some, or for a newer
	// verified read, for at most the given time, up to MaxPeerWait. The end of the page is the offset after the last record that
	// the peer has read. It returns ErrExpired if the peer no longer has the records, and
	// ErrUnread if it does not follow the topic now.
	Read(ctx context.Context, topic string, from Position, wait time.Duration) (page Page, lag time.Duration, err error)
}

// MaxPeerWait is the longest wait of a read from a peer. It stays well under the age at which a
// verified read is too old.
const MaxPeerWait = 1900 * time.Millisecond

// ErrNoPeer is returned by a Peer when there is no daemon to read from.
var ErrNoPeer = errors.New("no peer to read the topic from")

// Change is passed to the handler of a subscriber.
type Change struct {
	// Complete is set when Records holds every record of the topic, so that all
	// other keys have been deleted.
	Complete bool
	Records  []Record
	// Next is the offset up to which the change reaches: every record before it is in this
	// change or an earlier one, or has been replaced. It may be lower than that of an earlier
	// change, because a peer may have read less.
	Next int64
	// Epoch is that of Next. The first change of a new epoch is delivered even if it has no
	// records.
	Epoch Epoch
	// Lost holds the keys of which the log has lost the newest record, in a change that is
	// not complete. What was known of them holds until they are written again, or until the
	// next complete change.
	Lost []string
}

// Snapshot is the newest record of each key of a topic.
type Snapshot struct {
	Records []Record
	// Next is the position from which Read returns all newer records.
	Next Position
	// VerifiedAt is when everything appended before had been read.
	VerifiedAt time.Duration
	// SinceRestore is the time since the log's last restore was noticed, or 0 if none is known.
	SinceRestore time.Duration
}
