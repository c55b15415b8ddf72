package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalgrade.example/quetzalgrade/internal/orderer"
	"quetzalgrade.example/quetzalgrade/internal/sender"
)

// EngineSpeed describes how fast an engine generates responses.
type EngineSpeed struct {
	// PrefillPerToken is the prefill time for each input token that is not cached.
	PrefillPerToken time.Duration
	// DecodePace is the time between tokens in a batch of one.
	DecodePace time.Duration
	// BatchSlowdown is the fraction by which each further request in the batch
	// lengthens all times.
	BatchSlowdown float64
}

// DefaultEngineSpeed is the speed of a typical engine.
var DefaultEngineSpeed = EngineSpeed{PrefillPerToken: 400 * time.Microsecond, DecodePace: 15 * time.Millisecond, BatchSlowdown: 0.08}

// EngineFaults are the faults to inject into an engine.
type EngineFaults struct {
	// SlowdownFactor multiplies all times; 0 means 1.
	SlowdownFactor float64
	// FailRequests responds to every request with an error at once.
	FailRequests bool
	// TruncateAfterTokens aborts the connection of each stream after that many
	// tokens; 0 means never.
	TruncateAfterTokens int
	// MaxTruncations limits the number of aborted streams; 0 means no limit.
	MaxTruncations int
	// Draining refuses new work.
	Draining bool
	// RefuseResume refuses to resume aborted streams.
	RefuseResume bool
	// Hang keeps requests open without a response.
	Hang bool
	// EndAfterTokens ends each stream after that many tokens as if it were
	// complete.
	EndAfterTokens int
	// OmitEndMarker ends each stream without its end marker.
	OmitEndMarker bool
	// SwapResponses gives each request the response to a different prompt.
	SwapResponses bool
}

// Execution is one request that an engine executed.
type Execution struct {
	Version   string
	Prompt    string
	StartedAt time.Time
	// Complete is set once all tokens and the end marker were generated.
	Complete bool
}

// Engine is a fake model engine. It uses continuous batching, so each active
// request slows the others down, and it has a prefix cache of limited size.
type Engine struct {
	name  string
	slots int
	speed EngineSpeed

	mu             sync.Mutex
	faults         EngineFaults
	activeRequests int
	slotQueue      []chan struct{}
	streams        map[string]*generation
	cachedPrefixes []uint64
	executions     []*Execution
	cacheHits      int
	cacheMisses    int
	nextID         int
	truncations    int
	highestFence   uint64
	acceptedOrders []AcceptedOrder
	versions       []string
	fencing        bool
}

const (
	// maxCachedPrefixes is the number of prefixes that an engine caches.
	maxCachedPrefixes = 24
	// cachedPrefixBytes is the length of the prefix that is cached.
	cachedPrefixBytes = 512
	// resumeTimeout is how long a stream without a reader is kept.
	resumeTimeout = time.Second
)

// NewEngine returns an engine that executes up to slots requests at once.
func NewEngine(name string, slots int, speed EngineSpeed) *Engine {
	return &Engine{name: name, slots: slots, speed: speed, streams: map[string]*generation{}}
}

// SetFaults replaces the faults and resets the count of aborted streams.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.truncations = 0
}

// Executions returns the requests that the engine has executed.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	executions := make([]Execution, len(e.executions))
	for i, execution := range e.executions {
		executions[i] = *execution
	}
	return executions
}

// CacheHits returns the numbers of hits and misses of the prefix cache.
func (e *Engine) CacheHits() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHits, e.cacheMisses
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	return mux
}

func (e *Engine) setStatusHeaders(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	header.Set(sender.HeaderLoad, fmt.Sprintf("%d/%d", e.activeRequests, len(e.slotQueue)))
	if len(e.versions) > 0 {
		header.Set(orderer.HeaderVersions, strings.Join(e.versions, ","))
	}
	if e.faults.Draining {
		header.Set(sender.HeaderDraining, "true")
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.setStatusHeaders(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Model == "" {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	faults := e.faults
	missing := len(e.versions) > 0 && !slices.Contains(e.versions, request.Model)
	e.mu.Unlock()
	e.setStatusHeaders(w.Header())
	switch {
	case missing:
		w.Header().Set(sender.HeaderExecution, "no")
		http.Error(w, "version is not loaded", http.StatusServiceUnavailable)
		return
	case faults.Draining:
		w.Header().Set(sender.HeaderExecution, "no")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	case faults.FailRequests:
		http.Error(w, "engine fault", http.StatusInternalServerError)
		return
	case faults.Hang:
		<-r.Context().Done()
		return
	}
	if !e.acquireSlot(r.Context()) {
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	id, stream, execution := e.startGeneration(request, cancel)
	go e.generate(ctx, request, stream, execution)
	w.Header().Set(sender.HeaderStreamID, id)
	e.setStatusHeaders(w.Header())
	e.streamEvents(w, r, id, stream, 0)
}

// acquireSlot waits for a slot. It returns false if ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context) bool {
	e.mu.Lock()
	if e.activeRequests < e.slots {
		e.activeRequests++
		e.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	e.slotQueue = append(e.slotQueue, granted)
	e.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		for i, queued := range e.slotQueue {
			if queued == granted {
				e.slotQueue = append(e.slotQueue[:i], e.slotQueue[i+1:]...)
				return false
			}
		}
		e.releaseSlot()
		return false
	}
}

// releaseSlot hands the slot to the first queued request or frees it. The
// caller must hold e.mu.
func (e *Engine) releaseSlot() {
	if len(e.slotQueue) > 0 {
		close(e.slotQueue[0])
		e.slotQueue = e.slotQueue[1:]
		return
	}
	e.activeRequests--
}

func (e *Engine) startGeneration(request chatRequest, cancel context.CancelFunc) (string, *generation, *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	id := e.name + "-" + strconv.Itoa(e.nextID)
	stream := &generation{changed: make(chan struct{}), cancel: cancel}
	e.streams[id] = stream
	execution := &Execution{Version: request.Model, Prompt: request.prompt(), StartedAt: time.Now()}
	e.executions = append(e.executions, execution)
	return id, stream, execution
}

// simulateWork waits for base, scaled by the engine's current slowdown. It
// returns false if ctx ends first.
func (e *Engine) simulateWork(ctx context.Context, base time.Duration) bool {
	e.mu.Lock()
	factor := 1 + e.speed.BatchSlowdown*float64(max(0, e.activeRequests-1))
	if e.faults.SlowdownFactor > 0 {
		factor *= e.faults.SlowdownFactor
	}
	e.mu.Unlock()
	timer := time.NewTimer(time.Duration(math.Round(float64(base) * factor)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// lookUpPrefix returns the number of input tokens that were cached. It adds the
// prompt's prefix to the cache, which evicts the least recently used prefix.
func (e *Engine) lookUpPrefix(prompt string) int {
	if len(prompt) < cachedPrefixBytes {
		return 0
	}
	key := xxhash.Sum64String(prompt[:cachedPrefixBytes])
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, cached := range e.cachedPrefixes {
		if cached == key {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i], e.cachedPrefixes[i+1:]...), key)
			e.cacheHits++
			return cachedPrefixBytes / 4
		}
	}
	e.cacheMisses++
	if len(e.cachedPrefixes) >= maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	e.cachedPrefixes = append(e.cachedPrefixes, key)
	return 0
}
