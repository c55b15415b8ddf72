package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// LogRestored makes a zone reader record itself again if the log has lost its record. It is called
// when the log has come back from an older copy, and does not block.
func (r *Relayer) LogRestored() {
	select {
	case r.logRestored <- struct{}{}:
	default:
	}
}

// readerUse is the time without a request from another daemon after which nobody may read from
// the zone reader any more.
const readerUse = 5 * time.Second

// recordAgain records this daemon as the zone reader if it is, and the log names nobody or, while
// others read from this daemon, an earlier one. A daemon that starts would otherwise become a second
// reader. If another daemon claims the role meanwhile, both keep it until no daemon reads from this
// one.
func (r *Relayer) recordAgain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var first ZoneReader
	for attempt := range maxClaims {
		snapshot, err := r.ReaderTopic.Newest(ctx)
		if err != nil {
			r.Logger.Debug("cannot read the zone readers from the log", "error", err)
			time.AfterFunc(checkJitter, r.LogRestored)
			return
		}
		reader := DecodeReaders(snapshot.Records, r.Logger)[r.Zone]
		if attempt == 0 {
			first = reader
		}
		if reader != first || !r.mustRecord(reader) {
			return
		}
		err = r.claimReader(ctx, snapshot.Next)
		switch {
		case err == nil:
			r.Logger.Info("zone reader recorded again after the log lost it", "zone", r.Zone, "at", snapshot.Next.Offset)
			return
		case !errors.Is(err, subscriber.ErrOffsetConflict):
			time.AfterFunc(checkJitter, r.LogRestored)
			return
		}
		sleep(ctx, time.Duration(rand.Int64N(int64(claimJitter))))
	}
}

// mustRecord reports whether this daemon is the zone reader although the log names another one, or
// nobody.
func (r *Relayer) mustRecord(reader ZoneReader) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != Reading || r.draining.Load() || reader == r.Self {
		return false
	}
	return reader == ZoneReader{} || r.Clock()-r.lastRequest < readerUse
}
