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

// Qualities are the true mean ratings of versions, by "model@version".
type Qualities struct {
	mu    sync.Mutex
	means map[string]float64
}

// NewQualities returns the given means.
func NewQualities(means map[string]float64) *Qualities {
	copied := map[string]float64{}
	for version, value := range means {
		copied[version] = value
	}
	return &Qualities{means: copied}
}

// Set changes the mean of a version, as when it turns bad.
func (q *Qualities) Set(version string, mean float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.means[version] = mean
}

const (
	// hardness is the power of a request's difficulty, in [0, 1], that an
	// answer's loss grows with: most requests are easy for every version, and a
	// few are hard for the poor ones.
	difficultyExponent = 3
	// noiseSpread is the range of what difficulty does not explain.
	noiseRange = 0.10
)

// Score returns the true rating of a version's answer to a prompt. It is the
// same each time. Its mean over prompts is about the version's mean.
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

// uniform maps a text to [0, 1).
func hashToUnitInterval(text string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return float64(mixed>>11) / (1 << 53)
}

// Rater is a stand-in of the rating service.
type Rater struct {
	Qualities   *Qualities
	mu          sync.Mutex
	delay       time.Duration
	unavailable bool
	ratings     uint64
}

// SetDelay sets how long each rating takes.
func (r *Rater) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// SetDown makes every rating fail.
func (r *Rater) SetUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = unavailable
}

// Rate implements the rating service.
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

// Instances is a stand-in of the platform's instance list, which lags.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	history []snapshot
}

type snapshot struct {
	setAt     time.Time
	instances []*schema.Instance
}

// NewInstances returns a list that shows a change only after the lag.
func NewInstances(lag time.Duration) *Instances { return &Instances{lag: lag} }

// Set replaces the list.
func (i *Instances) Set(list []*schema.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.history = append(i.history, snapshot{time.Now(), list})
}

// List implements the instance list.
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

// Platform is the platform's services on one host.
type Platform struct {
	Log       *Log
	Rater     *Rater
	Instances *Instances
	server    *Server
}

// StartPlatform serves the platform's services at an address.
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
