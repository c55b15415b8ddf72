package faker

import (
	"context"
	"hash/fnv"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// Qualities holds the true mean rating of each version, keyed by
// "model@version".
type Qualities struct {
	mu    sync.Mutex
	means map[string]float64
}

// NewQualities returns qualities with a copy of the given means.
func NewQualities(means map[string]float64) *Qualities {
	copied := map[string]float64{}
	for version, value := range means {
		copied[version] = value
	}
	return &Qualities{means: copied}
}

// Set changes the mean rating of a version, for example to simulate a
// regression.
func (q *Qualities) Set(version string, mean float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.means[version] = mean
}

const (
	// difficultyExponent is the power of a request's difficulty, in [0, 1], to
	// which a response's loss of rating is proportional. With it, most requests
	// are easy for every version and a few are hard for the weak versions.
	difficultyExponent = 3
	// noiseRange is the width of the range of the noise in a rating.
	noiseRange = 0.10
)

// Score returns the true rating of a version's response to a prompt. It is
// deterministic. Its mean over prompts is about the version's mean.
func (q *Qualities) Score(version, prompt string) float64 {
	q.mu.Lock()
	mean, entry := q.means[version]
	q.mu.Unlock()
	if !entry {
		mean = 0.5
	}
	loss := (1 - mean) * (difficultyExponent + 1) * math.Pow(hashToUnitInterval(prompt), difficultyExponent)
	noise := hashToUnitInterval(version + "\x00" + prompt)
	score := 1 - loss + noiseRange*(noise-0.5)
	return min(1, max(0, score))
}

// hashToUnitInterval maps a text to [0, 1) with a uniform distribution.
func hashToUnitInterval(text string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}

// Rater is a fake of the platform's rating service.
type Rater struct {
	Qualities   *Qualities
	mu          sync.Mutex
	delay       time.Duration
	unavailable bool
	ratings     uint64
}

// SetDelay sets the response time of the rating service.
func (r *Rater) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// SetUnavailable sets whether every call fails.
func (r *Rater) SetUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = unavailable
}

// Rate implements the Rate method of the rating service.
func (r *Rater) Rate(ctx context.Context, request *connect.Request[schema.RateRequest]) (*connect.Response[schema.RateResponse], error) {
	r.mu.Lock()
	delay, unavailable := r.delay, r.unavailable
	r.ratings++
	r.mu.Unlock()
	if unavailable {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	score := r.Qualities.Score(request.Msg.GetVersion(), request.Msg.GetPrompt())
	return connect.NewResponse(&schema.RateResponse{Score: math.Round(score*1000) / 1000}), nil
}

// Instances is a fake of the platform's instance list, which shows changes with
// a delay.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	history []snapshot
}

type snapshot struct {
	setAt     time.Time
	instances []*schema.Instance
}

// NewInstances returns an empty list that shows each change after lag.
func NewInstances(lag time.Duration) *Instances { return &Instances{lag: lag} }

// Set replaces the list.
func (i *Instances) Set(list []*schema.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history = append(i.history, snapshot{time.Now(), list})
}

// List implements the List method of the instance service.
func (i *Instances) List(context.Context, *connect.Request[schema.ListRequest]) (*connect.Response[schema.ListResponse], error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	visible := snapshot{}
	for n, known := range i.history {
		// The first list is visible at once.
		if n == 0 || time.Since(known.setAt) >= i.lag {
			visible = known
		}
	}
	return connect.NewResponse(&schema.ListResponse{Instances: visible.instances, Time: timestamppb.New(visible.setAt)}), nil
}

// Platform serves the fakes of all platform services at one address.
type Platform struct {
	Log       *Log
	Rater     *Rater
	Instances *Instances
	server    *Server
}

// StartPlatform starts the platform services at an address. lag is the delay of
// the instance list.
func StartPlatform(network connector.Network, addr netip.AddrPort, qualities *Qualities, lag time.Duration) (*Platform, error) {
	p := &Platform{Log: NewLog(), Rater: &Rater{Qualities: qualities}, Instances: NewInstances(lag)}
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewLogServiceHandler(p.Log))
	mux.Handle(schemaconnect.NewRatingServiceHandler(p.Rater))
	mux.Handle(schemaconnect.NewInstanceServiceHandler(p.Instances))
	server, err := Serve(network, addr, mux)
	p.server = server
	return p, err
}

// Addr returns the address of the services.
func (p *Platform) Addr() netip.AddrPort { return p.server.Addr }

// Close stops the services.
func (p *Platform) Close() { p.server.Close() }
