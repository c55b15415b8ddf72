package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
)

// TestConnectionCarriesIDOnce guards against a response to an earlier request that is taken for
// the response to a later one with the same id: their connection must not be the same. It also
// guards against connections that are opened without need.
func TestConnectionCarriesIDOnce(t *testing.T) {
	// many returns ids of which none repeats.
	many := func(count int) (ids []string) {
		for i := range count {
			ids = append(ids, fmt.Sprint("m", i))
		}
		return ids
	}
	rows := map[string]struct {
		ids []string
		// wantOpened is the number of connections that the requests open, one after the other.
		wantOpened uint64
	}{
		"different ids":              {[]string{"a", "b", "c"}, 1},
		"the same id":                {[]string{"a", "a"}, 2},
		"the same id after another":  {[]string{"a", "b", "a"}, 2},
		"the same id three times":    {[]string{"a", "a", "a"}, 3},
		"other ids use what is open": {[]string{"a", "a", "b", "c", "a"}, 3},
		"the same id after many":     {append(many(100), "m0"), 2},
		"more ids than are kept":     {many(600), 2},
		"the same id after all that": {append(many(600), "m0", "m599", "m5"), 3},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(connection net.Conn, _ int) { respondToAll(connection) })
			e := exchanger.New(connector.TCP{}, anyResponse)
			t.Cleanup(e.Close)
			for _, id := range row.ids {
				if got, failure := doWithID(t, e, address, id, "x"); failure != nil || got != "done" {
					t.Fatalf("Do() got %q, %v, want a response", got, failure)
				}
			}
			if got := e.Counts().Opened; got != row.wantOpened {
				t.Errorf("connections of %d requests got %d, want %d", len(row.ids), got, row.wantOpened)
			}
		})
	}
}

// TestRepeatedIDLeavesNoConnections guards against a client that uses up the connections that an
// endpoint accepts, by sending requests with one id again and again.
func TestRepeatedIDLeavesNoConnections(t *testing.T) {
	const requests = 40
	var open, maxOpen atomic.Int64
	address := listen(t, func(connection net.Conn, _ int) {
		defer open.Add(-1)
		if now := open.Add(1); now > maxOpen.Load() {
			maxOpen.Store(now)
		}
		respondToAll(connection)
	})
	e := exchanger.New(connector.TCP{}, anyResponse)
	t.Cleanup(e.Close)
	for range requests {
		if got, failure := doWithID(t, e, address, "a", "x"); failure != nil || got != "done" {
			t.Fatalf("Do() got %q, %v, want a response", got, failure)
		}
	}
	// The endpoint learns a moment later that a connection is closed.
	if got := maxOpen.Load(); got > requests/4 {
		t.Errorf("open connections got %d, want about 1 and at most %d", got, requests/4)
	}
}

// TestRandomCopies guards against a response that belongs to another request than the one in
// progress: the endpoint sends copies of earlier responses on a connection at random moments, and
// ids come again, also at the same time on other connections.
func TestRandomCopies(t *testing.T) {
	const (
		clients  = 4
		requests = 300
		ids      = 20
	)
	random := func(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
	address := listen(t, func(connection net.Conn, number int) {
		sendRandomCopies(connection, random(uint64(number)))
	})
	e := exchanger.New(connector.TCP{}, matchID)
	t.Cleanup(e.Close)
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			random := random(uint64(1000 + client))
			for i := range requests {
				id, nonce := fmt.Sprint("i", random.IntN(ids)), fmt.Sprint("n", client, "-", i)
				request := &exchanger.Request{ID: id, Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {id}, "Nonce": {nonce}}, Body: []byte("x"), Once: true}
				response, failure := e.Do(t.Context(), address, request)
				if failure != nil {
					continue
				}
				if got := response.Header.Get("Nonce"); got != nonce {
					t.Errorf("response to request %s with id %s got that of %s", nonce, id, got)
				}
				_, _ = io.Copy(io.Discard, response)
				response.Close()
			}
		})
	}
	group.Wait()
}

// TestCopyBeforeResponseToHead guards against bytes in the body of a response to another request
// that are taken for the response to a HEAD request, whose responses have no body.
func TestCopyBeforeResponseToHead(t *testing.T) {
	const hidden = "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n"
	address := listen(t, func(connection net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\n")
	})
	e := exchanger.New(connector.TCP{}, matchID)
	t.Cleanup(e.Close)
	response, failure := e.Do(t.Context(), address, &exchanger.Request{ID: "a", Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}})
	if failure == nil {
		response.Close()
		t.Fatalf("Do() got a response with status %d, want a failure", response.Status)
	}
	if failure.Stage != exchanger.Sent {
		t.Errorf("stage of the failure got %d, want %d: the request may have run", failure.Stage, exchanger.Sent)
	}
}

// respondToAll responds to the requests on a connection until it is closed.
func respondToAll(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		if _, err := readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, okResponse)
	}
}

// matchID matches responses by their header Id.
func matchID(_ int, response http.Header, id string) exchanger.Match {
	if response.Get("Id") == id {
		return exchanger.Own
	}
	return exchanger.Foreign
}

// sendRandomCopies responds to requests with their id and nonce, and sends copies of earlier
// responses between and behind them.
func sendRandomCopies(connection net.Conn, random *rand.Rand) {
	reader := bufio.NewReader(connection)
	var sent []string
	sendCopy := func() {
		if len(sent) > 0 && random.IntN(3) == 0 {
			_, _ = io.WriteString(connection, sent[random.IntN(len(sent))])
		}
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		sendCopy()
		status := []string{"200 OK", "503 Busy"}[random.IntN(2)]
		text := fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nNonce: %s\r\nContent-Length: 4\r\n\r\ndone", status, request.Header.Get("Id"), request.Header.Get("Nonce"))
		_, _ = io.WriteString(connection, text)
		sent = append(sent, text)
		if random.IntN(2) == 0 {
			time.Sleep(time.Duration(random.IntN(200)) * time.Microsecond)
			sendCopy()
		}
	}
}
