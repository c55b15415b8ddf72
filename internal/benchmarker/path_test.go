package benchmarker_test

import (
	"context"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
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
	transport *http.Transport
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

func BenchmarkPassThrough(b *testing.B) {
	f := newBench(b)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.engineAddr().String()})
	proxy.FlushInterval = -1
	proxy.Transport = connector.NewTransport(connector.TCP{})
	server, err := faker.Serve(connector.TCP{}, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0), proxy)
	if err != nil {
		b.Fatalf("Serve() got error %v, want nil", err)
	}
	b.Cleanup(server.Close)
	f.benchmarkChat(b, server.Addr, model)
}

func BenchmarkDaemon(b *testing.B) {
	f := newBench(b)
	f.benchmarkChat(b, f.fleet.Daemons()[0].Server.Addresses().Clients, model)
}
