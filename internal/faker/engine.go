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

// EngineSpeed is how fast an engine works.
type EngineSpeed struct {
	// Prefill is the time for each input token that is not cached.
	Prefill time.Duration
	// Token is the time between tokens of a batch of one.
	Token time.Duration
	// Crowding is the share by which each further request of the batch slows
	// the others.
	Crowding float64
}

// DefaultSpeed is the speed of a usual engine.
var DefaultSpeed = EngineSpeed{Prefill: 400 * time.Microsecond, Token: 15 * time.Millisecond, Crowding: 0.08}

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	// Slow multiplies all times; 0 is 1.
	Slow float64
	// FailFast answers every request with an error at once.
	FailFast bool
	// CutAfter cuts each stream after that many tokens; 0 is never.
	CutAfter int
	// CutFor limits the number of streams that are cut; 0 is all.
	CutFor int
	// Leaving refuses new work.
	Leaving bool
	// NoResume makes streams that were cut end.
	NoResume bool
	// Hang holds requests without an answer.
	Hang bool
	// ShortAfter ends each stream after that many tokens as if it were whole.
	ShortAfter int
	// NoMark ends each stream without its end marker.
	NoMark bool
	// Crossed gives each request the answer of another.
	Crossed bool
}

// Run is one request that an engine ran.
type Run struct {
	Version string
	Prompt  string
	At      time.Time
	// Complete is set once all tokens were generated.
	Complete bool
}

// Engine is a stand-in of a model engine. It batches continuously: all running
// requests share its speed. It caches prompt prefixes in limited memory.
type Engine struct {
	name  string
	slots int
	speed EngineSpeed

	mu       sync.Mutex
	faults   EngineFaults
	running  int
	queue    []chan struct{}
	streams  map[string]*generation
	prefixes []uint64
	runs     []*Run
	hits     int
	misses   int
	nextID   int
	cuts     int
	fence    uint64
	orders   []TakenOrder
	versions []string
	fenced   bool
}

const (
	// prefixSlots is the number of prefixes that an engine caches.
	prefixSlots = 24
	// prefixSize is the length in bytes of the prefix that is cached.
	prefixSize = 512
	// resumeGrace is how long a stream without a reader is kept.
	resumeGrace = time.Second
)

// NewEngine returns an engine that runs slots requests at once.
func NewEngine(name string, slots int, speed EngineSpeed) *Engine {
	return &Engine{name: name, slots: slots, speed: speed, streams: map[string]*generation{}}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.cuts = 0
}

// Runs returns what the engine ran.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Run, len(e.runs))
	for i, run := range e.runs {
		list[i] = *run
	}
	return list
}

// CacheHits returns how many requests found their prefix cached, and how many
// did not.
func (e *Engine) CacheHits() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits, e.misses
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /v1/orders", e.order)
	return mux
}

func (e *Engine) setLoad(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	header.Set(sender.HeaderLoad, fmt.Sprintf("%d/%d", e.running, len(e.queue)))
	if len(e.versions) > 0 {
		header.Set(orderer.HeaderVersions, strings.Join(e.versions, ","))
	}
	if e.faults.Leaving {
		header.Set(sender.HeaderDraining, "true")
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.setLoad(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Model == "" {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	faults := e.faults
	missing := len(e.versions) > 0 && !slices.Contains(e.versions, request.Model)
	e.mu.Unlock()
	e.setLoad(w.Header())
	switch {
	case missing:
		w.Header().Set(sender.HeaderExecution, "no")
		http.Error(w, "version is not loaded", http.StatusServiceUnavailable)
		return
	case faults.Leaving:
		w.Header().Set(sender.HeaderExecution, "no")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	case faults.FailFast:
		http.Error(w, "engine fault", http.StatusInternalServerError)
		return
	case faults.Hang:
		<-r.Context().Done()
		return
	}
	if !e.enter(r.Context()) {
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	id, stream, run := e.start(request, cancel)
	go e.generate(ctx, request, stream, run)
	w.Header().Set(sender.HeaderStreamID, id)
	e.setLoad(w.Header())
	e.pipe(w, r, id, stream, 0)
}

// enter waits for a slot.
func (e *Engine) enter(ctx context.Context) bool {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	e.queue = append(e.queue, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		for i, queued := range e.queue {
			if queued == turn {
				e.queue = append(e.queue[:i], e.queue[i+1:]...)
				return false
			}
		}
		e.release()
		return false
	}
}

// release passes a slot on; the lock is held.
func (e *Engine) release() {
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
		return
	}
	e.running--
}

func (e *Engine) start(request chatRequest, cancel context.CancelFunc) (string, *generation, *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	id := e.name + "-" + strconv.Itoa(e.nextID)
	stream := &generation{changed: make(chan struct{}), cancel: cancel}
	e.streams[id] = stream
	run := &Run{Version: request.Model, Prompt: request.prompt(), At: time.Now()}
	e.runs = append(e.runs, run)
	return id, stream, run
}

// work waits for a piece of work at the engine's current speed.
func (e *Engine) work(ctx context.Context, base time.Duration) bool {
	e.mu.Lock()
	factor := 1 + e.speed.Crowding*float64(max(0, e.running-1))
	if e.faults.Slow > 0 {
		factor *= e.faults.Slow
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

// cache returns the number of input tokens that were cached, and caches the
// prompt's prefix, least recently used out.
func (e *Engine) cache(prompt string) int {
	if len(prompt) < prefixSize {
		return 0
	}
	key := xxhash.Sum64String(prompt[:prefixSize])
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, known := range e.prefixes {
		if known == key {
			e.prefixes = append(append(e.prefixes[:i], e.prefixes[i+1:]...), key)
			e.hits++
			return prefixSize / 4
		}
	}
	e.misses++
	if len(e.prefixes) >= prefixSlots {
		e.prefixes = e.prefixes[1:]
	}
	e.prefixes = append(e.prefixes, key)
	return 0
}
