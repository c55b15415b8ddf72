package demonstrator_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
)

// readRoster sends a request on a connection and returns the status of the response.
func readRoster(connection net.Conn, reader *bufio.Reader) (status int, err error) {
	_, err = fmt.Fprintf(connection, "GET /v1/services/turn-ledger/roster?week=3 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", demonstrator.APIKey("rota-office"))
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// TestRequestThatWaitsWhenDaemonStops guards against a request that gets no response because it
// waits in a connection that a stopping daemon takes for unused.
func TestRequestThatWaitsWhenDaemonStops(t *testing.T) {
	const ms = time.Millisecond
	rows := map[string]struct {
		// starvedFrom is when the daemon gets no processor time any more, and sent is when
		// the request is sent, both after the beginning of the stop.
		starvedFrom, sent time.Duration
	}{
		"read":     {2900 * ms, 2950 * ms},
		"not read": {-50 * ms, 2950 * ms},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
				daemon := s.Daemons()[0]
				address := daemon.Server.Addresses().Clients
				stopAt := time.Now().Add(time.Second)
				s.Fabric.Starve(address, stopAt.Add(row.starvedFrom), stopAt.Add(3500*ms))
				connection, err := s.Fabric.Host(daemon.Addr, daemon.Zone).Dial(t.Context(), address)
				if err != nil {
					t.Fatalf("Dial() got error %v, want nil", err)
				}
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				time.Sleep(time.Until(stopAt.Add(-100 * ms)))
				if status, err := readRoster(connection, reader); status != http.StatusOK || err != nil {
					t.Fatalf("response to the first request got %d (%v), want 200", status, err)
				}
				time.Sleep(time.Until(stopAt))
				stopped := make(chan error, 1)
				go func() { stopped <- s.StopDaemon(daemon.Name) }()
				time.Sleep(time.Until(stopAt.Add(row.sent)))
				if status, err := readRoster(connection, reader); status != http.StatusOK || err != nil {
					t.Errorf("response got %d (%v), want 200", status, err)
				}
				if err := <-stopped; err != nil {
					t.Errorf("StopDaemon() got error %v, want nil", err)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
