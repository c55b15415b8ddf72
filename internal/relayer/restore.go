package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// EnterEpoch tells the relayer the log's epoch. If the log has come back from an older copy since the
// epoch known before, also that in which a zone reader claimed its role, the reader records itself
// again if the log has lost its record. It does not block.
func (r *Relayer) EnterEpoch(epoch subscriber.Epoch) {
	if r.raiseEpoch(epoch) {
		r.signalRestored()
	}
}

// raiseEpoch records the log's epoch, and reports whether it is later than one known before.
func (r *Relayer) raiseEpoch(epoch subscriber.Epoch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isLater := r.epoch != 0 && epoch > r.epoch
	r.epoch = max(r.epoch, epoch)
	return isLater
}

// signalRestored makes Run check whether the log has lost this daemon's record. It does not block.
func (r *Relayer) signalRestored() {
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
			time.AfterFunc(checkJitter, r.signalRestored)
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
			time.AfterFunc(checkJitter, r.signalRestored)
			return
		}
		sleeper.Sleep(ctx, time.Duration(rand.Int64N(int64(claimJitter))))
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
