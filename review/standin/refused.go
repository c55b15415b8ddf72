package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedCase }

const (
	// bookWorkers is the number of workers, of which one fails a part of its requests: a seventh,
	// within the share of 0.15 that the pages name.
	bookWorkers  = 7
	bookCount    = 420
	bookInterval = 50 * time.Millisecond
)

// refusedCase sends bookings while one worker fails a part of its requests after it has run them. No
// booking that ran may be answered with a status that says that it has not run.
func refusedCase(c *scenario) bool {
	publish(c.log, 1, route("book", "/book/", "non_idempotent", "turn-ledger", 3, bookDeadline))
	for i := range bookWorkers {
		setup := workerSetup{ID: fmt.Sprintf("i-%d", i), Service: "turn-ledger", Work: 60 * time.Millisecond, FailStatus: http.StatusServiceUnavailable}
		if c.trouble && i == 0 {
			setup.FailShare = failShare
		}
		newWorker(c, setup)
	}
	d := newDaemon(c, 1)
	time.Sleep(1500 * time.Millisecond)
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for i := range bookCount {
		group.Go(func() {
			attempt := fmt.Sprintf("b%d", i)
			got := send(d.client, request{path: "/book/1", attempt: attempt, deadline: bookDeadline, body: []byte("{}")})
			c.note("client got %s: %s", attempt, got)
			mu.Lock()
			defer mu.Unlock()
			statuses[attempt] = got.status
		})
		time.Sleep(bookInterval)
	}
	group.Wait()
	refused := 0
	for attempt, status := range statuses {
		if runs := c.runsOf(attempt); len(runs) > 0 && status == http.StatusServiceUnavailable {
			refused++
			c.note("BROKEN, REFUSED: %s was answered %d and ran: %v", attempt, status, runs)
		}
	}
	c.note("bookings: %d, refused though run: %d", len(statuses), refused)
	return refused > 0
}
