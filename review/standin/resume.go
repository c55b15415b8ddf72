package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume"] = resumeCase }

const (
	// streamWorkers is the number of workers. One of them crashes and one fails a part of its
	// requests: each is a seventh, within the share of 0.15 that the pages name.
	streamWorkers = 7
	// failShare is the part of its requests that the failing worker fails.
	failShare = 0.4
	// failStatus is the status with which it fails them.
	failStatus = http.StatusNotFound

	resumeRounds    = 14
	streamsPerRound = 70
	// streamSpread is the time over which the streams of a round are sent.
	streamSpread   = 300 * time.Millisecond
	streamEvents   = 13
	streamInterval = 60 * time.Millisecond
	// crashDelay is the time from the last stream of a round to the crash of a worker, and
	// roundPause the time between two rounds, in which a new worker replaces it.
	crashDelay = 200 * time.Millisecond
	roundPause = 2500 * time.Millisecond
)

// fails reports whether a failing worker fails a request.
func fails(worker, attempt string, share float64) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(worker + attempt))
	return float64(hash.Sum32()%1000) < 1000*share
}

// resumeCase lets one of the workers of a resumable stream crash while another one fails a part
// of its requests. A client must not get a stream that ends as complete but is not whole.
func resumeCase(c *scenario) bool {
	chat := route("chat", "/chat/", "stream", "rota-helper", 3, 8*time.Second)
	chat["resumable"] = true
	chat["gapAimMs"] = 600
	publish(c.log, 1, chat)
	setup := workerSetup{Service: "rota-helper", Events: streamEvents, Interval: streamInterval, FirstEventID: 1, FailStatus: failStatus}
	for i := range streamWorkers {
		setup.ID = fmt.Sprintf("i-%d", i)
		setup.FailShare = 0
		if c.trouble && i == 0 {
			setup.FailShare = failShare
		}
		newWorker(c, setup)
	}
	setup.FailShare = 0
	d := newDaemon(c, 1)
	time.Sleep(roundPause)
	broken, whole := 0, 0
	for round := range resumeRounds {
		var group sync.WaitGroup
		var mu sync.Mutex
		for i := range streamsPerRound {
			group.Go(func() {
				time.Sleep(streamSpread * time.Duration(i) / streamsPerRound)
				isWhole, isBroken := c.sendStream(d, fmt.Sprintf("a%d-%d", round, i))
				mu.Lock()
				defer mu.Unlock()
				if isWhole {
					whole++
				}
				if isBroken {
					broken++
				}
			})
		}
		if c.trouble {
			time.Sleep(streamSpread + crashDelay)
			crashed := c.workers[1+round]
			c.note("worker %s crashes", crashed.setup.ID)
			crashed.kill()
			setup.ID = fmt.Sprintf("i-%d", streamWorkers+round)
			newWorker(c, setup)
		}
		group.Wait()
		time.Sleep(roundPause)
	}
	c.note("streams: %d whole, %d that ended as complete and were not", whole, broken)
	return broken > 0
}

// sendStream sends a request for a stream. It reports whether the client got the whole stream, and
// whether it got one that is wrong: it ended as complete and is not, or has other bytes.
func (c *scenario) sendStream(d *daemon, attempt string) (isWhole, isBroken bool) {
	got := send(d.client, request{path: "/chat/1", attempt: attempt, deadline: 8 * time.Second, header: "Model: m0\r\n", body: []byte("{}")})
	c.note("client got %s: %s", attempt, got)
	var want strings.Builder
	for id := 1; id <= streamEvents; id++ {
		want.WriteString(eventText(attempt, id))
	}
	switch {
	case got.status != http.StatusOK:
		return false, false
	case got.body == want.String() && got.err == nil:
		return true, false
	case got.err != nil && strings.HasPrefix(want.String(), got.body):
		return false, false
	}
	c.note("BROKEN: %s has status 200, is complete: %t, and has this body:\n%s", attempt, got.err == nil, got.body)
	return false, true
}
