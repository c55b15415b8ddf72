package demonstrator_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
)

// serveOrderRefusals responds to the requests of a connection as an engine that has loaded another
// version and refuses orders. It sends, before each response, the one before it once more. It
// records whether any connection carried more than one request.
func serveOrderRefusals(connection net.Conn, reused *atomic.Bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	last := ""
	for count := 1; ; count++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if count > 1 {
			reused.Store(true)
		}
		response := "HTTP/1.1 204 No Content\r\nX-Load: 0/0\r\nX-Versions: other@v1\r\n\r\n"
		if request.Method == http.MethodPost {
			response = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		}
		if _, err := io.WriteString(connection, last+response); err != nil {
			return
		}
		last = response
	}
}

// sumMetric returns the sum of a metric over all daemons.
func sumMetric(t *testing.T, s *demonstrator.Simulation, name string) (sum int) {
	t.Helper()
	for _, daemon := range s.Daemons() {
		response, err := s.Client.Get("http://" + daemon.Server.Addresses().Metrics.String() + "/metrics")
		if err != nil {
			t.Fatalf("Get() of the metrics got error %v, want nil", err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatalf("ReadAll() of the metrics got error %v, want nil", err)
		}
		_, after, found := strings.Cut(string(text), name+" ")
		var value int
		if _, err := fmt.Sscan(after, &value); !found || err != nil {
			t.Fatalf("metric %s of %s got %v, %v, want a number", name, daemon.Name, found, err)
		}
		sum += value
	}
	return sum
}

// TestLateCopyOfLoadReport guards against the copy of a load report that is taken for the response to
// an order, so that an order that the engine refused is counted as accepted.
func TestLateCopyOfLoadReport(t *testing.T) {
	runSimulation(t, "derwent", nil, func(t *testing.T, s *demonstrator.Simulation) {
		worker := s.Declaration().GetServices()["rota-helper"].GetWorkers()[0]
		s.StopWorker(worker.GetAddress())
		listener, err := s.Hosts.Worker(worker).Listen(demonstrator.WorkerAddr(worker))
		if err != nil {
			t.Fatalf("Listen() got error %v, want nil", err)
		}
		defer func() { _ = listener.Close() }()
		var reused atomic.Bool
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				go serveOrderRefusals(connection, &reused)
			}
		}()
		time.Sleep(time.Minute)
		if got := sumMetric(t, s, "quetzalgrade_orders_taken_total"); got != 0 {
			t.Errorf("accepted orders got %d, want 0", got)
		}
		if got := sumMetric(t, s, "quetzalgrade_orders_refused_total"); got == 0 {
			t.Errorf("refused orders got %d, want some", got)
		}
		if reused.Load() {
			t.Errorf("a connection carried several requests, want one on each")
		}
	})
}
