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

// answerTokens is the length of each answer.
const answerTokens = 16

// bench is a fleet on loopback whose engines answer at once.
type bench struct {
	fleet     *demonstrator.Fleet
	transport *http.Transport
}

func newBench(b *testing.B) *bench {
	b.Helper()
	declaration, err := demonstrator.Deployment("derwent")
	if err != nil {
		b.Fatalf("Deployment() got error %v, want nil", err)
	}
	measurer.Unlimited(declaration)
	fleet, err := demonstrator.Start(demonstrator.Options{
		Declaration: declaration, Hosts: demonstrator.Loopback{}, PerZone: 1, Qualities: demonstrator.DemoQualities,
		Logger: hclog.NewNullLogger(), Speed: faker.EngineSpeed{Prefill: 1, Token: 1},
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
	if err := fleet.Ready(ctx, client); err != nil {
		b.Fatalf("Ready() got error %v, want nil", err)
	}
	return &bench{fleet, transport}
}

func (f *bench) run(b *testing.B, addr netip.AddrPort, model string) {
	b.Helper()
	client := caller.New(&http.Client{Transport: f.transport}, addr, demonstrator.Key("rota-office"))
	chat := caller.Chat{Model: model, Messages: []caller.Message{{Role: "user", Content: "When is my turn?"}}, Stream: true, MaxTokens: answerTokens}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Chat(b.Context(), chat); err != nil {
			b.Fatalf("Chat() got error %v, want nil", err)
		}
	}
}

// engine returns the address of an engine.
func (f *bench) engine() netip.AddrPort {
	return demonstrator.WorkerAddr(f.fleet.Declaration().GetServices()["rota-helper"].GetWorkers()[0])
}

const model = "eagle@v1"

func BenchmarkDirect(b *testing.B) {
	f := newBench(b)
	f.run(b, f.engine(), model)
}

func BenchmarkPassThrough(b *testing.B) {
	f := newBench(b)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.engine().String()})
	proxy.FlushInterval = -1
	proxy.Transport = connector.NewTransport(connector.TCP{})
	server, err := faker.Serve(connector.TCP{}, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0), proxy)
	if err != nil {
		b.Fatalf("Serve() got error %v, want nil", err)
	}
	b.Cleanup(server.Close)
	f.run(b, server.Addr, model)
}

func BenchmarkDaemon(b *testing.B) {
	f := newBench(b)
	f.run(b, f.fleet.Daemons()[0].Server.Addresses().Clients, model)
}
