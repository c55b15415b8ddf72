package benchmarker_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/measurer"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
)

// responseTokens is the maximum length of each response.
const responseTokens = 16

// benchmarkFleet is a fleet on loopback whose engines respond almost at once.
type benchmarkFleet struct {
	fleet     *demonstrator.Fleet
	transport *connector.Transport
}

func newBench(b *testing.B) *benchmarkFleet {
	b.Helper()
	declaration, err := demonstrator.LoadDeployment("derwent")
	if err != nil {
		b.Fatalf("Deployment() got error %v, want nil", err)
	}
	measurer.RemoveLimits(declaration)
	fleet, err := demonstrator.Start(demonstrator.Options{
		Declaration: declaration, Hosts: demonstrator.LoopbackHosts{}, DaemonsPerZone: 1, Qualities: demonstrator.DemoQualities,
		Logger: hclog.NewNullLogger(), EngineSpeed: faker.EngineSpeed{PrefillPerToken: 1, DecodePace: 1},
	})
	if err != nil {
		b.Fatalf("Start() got error %v, want nil", err)
	}
	b.Cleanup(fleet.Close)
	transport := connector.NewTransport(connector.TCP{})
	b.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	if err := fleet.Apply(b.Context(), client, fleet.Declaration(), "bench", "bench"); err != nil {
		b.Fatalf("Apply() got error %v, want nil", err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), 30*time.Second)
	defer cancel()
	if err := fleet.WaitReady(ctx, client); err != nil {
		b.Fatalf("Ready() got error %v, want nil", err)
	}
	return &benchmarkFleet{fleet, transport}
}

func (f *benchmarkFleet) benchmarkChat(b *testing.B, addr netip.AddrPort, model string) {
	b.Helper()
	client := caller.New(&http.Client{Transport: f.transport}, addr, demonstrator.APIKey("rota-office"))
	chat := caller.Chat{Model: model, Messages: []caller.Message{{Role: "user", Content: "When is my turn?"}}, Stream: true, MaxTokens: responseTokens}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Chat(b.Context(), chat); err != nil {
			b.Fatalf("Chat() got error %v, want nil", err)
		}
	}
}

// engineAddr returns the address of the first engine of rota-helper.
func (f *benchmarkFleet) engineAddr() netip.AddrPort {
	return demonstrator.WorkerAddr(f.fleet.Declaration().GetServices()["rota-helper"].GetWorkers()[0])
}

const model = "eagle@v1"

func BenchmarkDirect(b *testing.B) {
	f := newBench(b)
	f.benchmarkChat(b, f.engineAddr(), model)
}

// servePassThrough serves a plain reverse proxy to an address.
func servePassThrough(tb testing.TB, to netip.AddrPort, transport http.RoundTripper) *faker.Server {
	tb.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to.String()})
	proxy.FlushInterval = -1
	proxy.Transport = transport
	server, err := faker.Serve(connector.TCP{}, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0), readWhileWriting(proxy))
	if err != nil {
		tb.Fatalf("Serve() got error %v, want nil", err)
	}
	tb.Cleanup(server.Close)
	return server
}

// readWhileWriting lets a handler read the body of its request after its response has begun. A
// proxy's transport may still look for the body's end then, and closes the connection if that fails.
func readWhileWriting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func BenchmarkPassThrough(b *testing.B) {
	f := newBench(b)
	server := servePassThrough(b, f.engineAddr(), connector.NewTransport(connector.TCP{}))
	f.benchmarkChat(b, server.Addr, model)
}

func BenchmarkDaemon(b *testing.B) {
	f := newBench(b)
	f.benchmarkChat(b, f.fleet.Daemons()[0].Server.Addresses().Clients, model)
}

// earlyTransport responds before it has read the request's body, which becomes the response's.
type earlyTransport struct{}

func (earlyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response := &http.Response{StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: request.Body}
	response.ContentLength = -1
	return response, nil
}

// TestPassThroughOfEarlyResponse guards against responses that the pass-through truncates because
// they begin before its transport is done with the request, as those of an idle engine do.
func TestPassThroughOfEarlyResponse(t *testing.T) {
	server := servePassThrough(t, netip.AddrPort{}, earlyTransport{})
	const want = "When is my turn?"
	response, err := http.Post("http://"+server.Addr.String(), "text/plain", strings.NewReader(want))
	if err != nil {
		t.Fatalf("Post() got error %v, want nil", err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != want {
		t.Errorf("response got %q, error %v, want %q", got, err, want)
	}
}
