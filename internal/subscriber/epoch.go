package subscriber

import "github.com/go-faster/errors"

// Errors of responses that are not of the subscriber's epoch.
var (
	// errRestored is the error of a response of a newer epoch: the subscriber's position is
	// void.
	errRestored = errors.New("the log was restored since the last read")
	// errBeforeRestore is the error of a response of an older epoch, which says nothing about
	// the log as it is now.
	errBeforeRestore = errors.New("response is from before the log was restored")
)

// before reports whether the epoch is older than another one. An epoch of 0 is compared with
// nothing.
func (e Epoch) before(other Epoch) bool { return e != 0 && other != 0 && e < other }

// checkEpoch returns an error unless a response of the epoch continues what has been read.
func (s *Subscriber) checkEpoch(epoch Epoch) error {
	switch {
	case epoch.before(s.epoch):
		return errBeforeRestore
	case s.epoch.before(epoch):
		return errRestored
	default:
		return nil
	}
}
