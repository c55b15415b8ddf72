package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = extraCase }

const (
	// extraWorkers is the number of workers. One of them, a seventh, refuses shedShare of its
	// requests and sends a second answer to extraShare of them: within the shares of 0.15 and 0.5
	// and the x of 0.4 and 0.03 that the pages name.
	extraWorkers = 7
	shedShare    = 0.4
	extraShare   = 0.03

	// ledgerSlots requests run at once at a worker, and ledgerQueue more wait.
	ledgerSlots = 6
	ledgerQueue = 24
	ledgerWork  = 60 * time.Millisecond

	// ledgerRate is the number of bookings a second: the 35.8 of the sheet in a burst of 1.7.
	ledgerRate     = 60
	ledgerTime     = 80 * time.Second
	ledgerDeadline = 1500 * time.Millisecond
)

// ledgerServer is a worker of a plain service that writes its answers itself, so that it can send a
// second answer. It refuses requests, when it is full or as a part of its trouble, as on the page that
// the bench prints: with Not-Executed and without Attempt-Id.
type ledgerServer struct {
	workerSetup
	admitted atomic.Int64
	slots    chan struct{}
	output   sync.Mutex
}

func (s *ledgerServer) serve(listener net.Listener) error {
	s.slots = make(chan struct{}, ledgerSlots)
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serveConnection(connection)
	}
}

// serveConnection answers one request at a time. The second answer to a request comes late: where
// the answer to the next one is expected, when that one has begun to run.
func (s *ledgerServer) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		closed, watched := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := reader.Peek(1); err != nil {
				close(closed)
			}
		}()
		attempt := request.Header.Get("Attempt-Id")
		answer := s.answer(request, closed, func() {
			if late != "" {
				s.report(workerRun{Worker: s.ID, Attempt: attempt, Note: "the second answer to an earlier request is sent"})
				_, _ = io.WriteString(connection, late)
				late = ""
			}
		})
		if answer == "" {
			return
		}
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
		if late == "" && fails(s.ID+"extra", attempt, s.ExtraShare) {
			late = answer
		}
		<-watched
	}
}

// answer runs a request or refuses it, and returns the answer. It calls begun when it has begun to
// run the request. If the channel closes before that, it drops the request and returns no answer.
func (s *ledgerServer) answer(request *http.Request, closed <-chan struct{}, begun func()) string {
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expect-Instance") != s.ID {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
	}
	defer s.admitted.Add(-1)
	if s.admitted.Add(1) > ledgerSlots+ledgerQueue || fails(s.ID+"shed", attempt, s.FailShare) {
		s.report(workerRun{Worker: s.ID, Attempt: attempt, Note: "refused"})
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	select {
	case s.slots <- struct{}{}:
	case <-closed:
		return ""
	}
	defer func() { <-s.slots }()
	s.report(workerRun{Worker: s.ID, Attempt: attempt, Path: request.URL.Path})
	begun()
	time.Sleep(ledgerWork)
	body := "done " + attempt + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s",
		attempt, s.ID, attempt, len(s.slots), max(0, s.admitted.Load()-ledgerSlots), ledgerSlots, len(body), body)
}

func (s *ledgerServer) report(run workerRun) {
	s.output.Lock()
	defer s.output.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(run)
}

// extraCase sends bookings at a constant rate. With trouble, one worker refuses a part of its requests
// and sends a second answer to some. No booking may run twice, and none that ran may be answered with a
// status that says that it has not run.
func extraCase(c *scenario) bool {
	publish(c.log, 1, route("book", "/book/", "non_idempotent", "turn-ledger", 3, ledgerDeadline))
	for i := range extraWorkers {
		setup := workerSetup{ID: fmt.Sprintf("i-%d", i), Service: "turn-ledger", Plain: true}
		if c.trouble && i == 0 {
			setup.FailShare, setup.ExtraShare = shedShare, extraShare
		}
		newWorker(c, setup)
	}
	d := newDaemon(c, 1)
	time.Sleep(1500 * time.Millisecond)
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	began := time.Now()
	for i := 0; time.Since(began) < ledgerTime; i++ {
		group.Go(func() {
			attempt := fmt.Sprintf("b%d", i)
			got := send(d.client, request{path: "/book/1", attempt: attempt, deadline: ledgerDeadline, body: []byte("{}")})
			c.note("client got %s: %s", attempt, got)
			mu.Lock()
			defer mu.Unlock()
			statuses[attempt] = got.status
		})
		time.Sleep(time.Second / ledgerRate)
	}
	group.Wait()
	twice, refused := 0, 0
	for attempt, status := range statuses {
		runs := c.runsOf(attempt)
		if len(runs) > 1 {
			twice++
			c.note("BROKEN, TWICE: %s ran %d times: %v", attempt, len(runs), runs)
		}
		if len(runs) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			c.note("BROKEN, REFUSED: %s was answered %d and ran: %v", attempt, status, runs)
		}
	}
	c.note("bookings: %d, run twice: %d, refused though run: %d", len(statuses), twice, refused)
	return twice+refused > 0
}
