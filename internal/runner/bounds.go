package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/relayer"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// A draining endpoint may get requests for as long as a daemon does not know of it. The longest time is a
// sum: the zone reader pauses after each read; if it fails in the pause, the daemons that follow it have
// to notice that, and then to read the log. The parts that do not depend on the deadline come first, and
// the pause takes what is left.
const (
	// frozenReaderTime is the longest time until a daemon notices that the zone reader's host is frozen
	// or cut off from it, and looks at the log.
	frozenReaderTime = relayer.LoadExchangeInterval + relayer.LoadExchangeTimeout
	// silentLogTime is the longest time until the zone reader notices that the log does not respond to
	// its reads, and says so to its followers.
	silentLogTime = confirmAfter + subscriber.DefaultSlack
	// logReadTime is what a read of the log that does not wait takes, with a new connection.
	logReadTime = 200 * time.Millisecond
	// scheduleMargin is for daemons that get little processor time.
	scheduleMargin = 200 * time.Millisecond
	// noticeReserve is what the pause leaves of the deadline.
	noticeReserve = max(frozenReaderTime, silentLogTime) + logReadTime + scheduleMargin

	// maxEndpointBatchShare and minEndpointBatchDelay bound the pause: as a share of the deadline, and
	// because a pause of nothing would cost a read for each registration.
	maxEndpointBatchShare = 0.5
	minEndpointBatchDelay = 100 * time.Millisecond
	// endpointReadWait is how long a read waits for a registration.
	endpointReadWait = 10 * time.Second
)

// endpointReadTiming returns the timing of the reads of registrations, for the time within which a draining
// endpoint must get no more requests.
func endpointReadTiming(drainDeadline time.Duration) subscriber.ReadTiming {
	pause := endpointBatchDelay(drainDeadline)
	return subscriber.ReadTiming{Wait: endpointReadWait, BatchDelay: pause, ConfirmAfter: confirmAfter, ConfirmEvery: pause}
}

// endpointBatchDelay returns the pause of the zone reader after a read that returned registrations.
func endpointBatchDelay(drainDeadline time.Duration) time.Duration {
	longest := time.Duration(maxEndpointBatchShare * float64(drainDeadline))
	return max(minEndpointBatchDelay, min(longest, drainDeadline-noticeReserve))
}

// minDrainDeadline is the shortest deadline that daemons keep if the zone reader fails.
const minDrainDeadline = noticeReserve + minEndpointBatchDelay
