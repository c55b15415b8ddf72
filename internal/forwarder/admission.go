package forwarder

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/admitter"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/sizer"
	"quetzalgrade.example/quetzalgrade/internal/throttler"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// observeInterval bounds how often the load of a pool is computed for arriving requests.
	observeInterval = 50 * time.Millisecond
	// updateInterval is the time between decisions while a pool is overloaded.
	updateInterval = 100 * time.Millisecond
	// unlimited is the capacity of a pool without a limit.
	unlimited = math.MaxInt32
	// minServiceRatio is the least share of the requests of each priority and route that is
	// started, in relation to that of all requests, so that none is starved.
	minServiceRatio = 1. / 3
	// maxWaitShare is the share of its target latency that a request may wait at the daemon. The
	// rest is for the endpoint, where it waits too. More would make all responses late.
	maxWaitShare = 0.75
	// promptTokenWork is the work of reading a token of the prompt, in that of generating one.
	promptTokenWork = 0.25
	// maxRetryShare is the share of the remaining time after which a refused client is asked
	// to retry at the latest, so that enough is left for its request.
	maxRetryShare = 0.2
	// minLoggedWait is the shortest wait that gets a log line.
	minLoggedWait = time.Millisecond
	// poolLifetime is how long an unused pool is kept.
	poolLifetime = time.Minute
)

// poolKey identifies the endpoints that requests compete for.
type poolKey struct {
	service string
	model   string
	only    string
	except  string
}

// admission decides which requests are sent to endpoints, which wait and which are refused
// while there is too little room (docs/design/ADMISSION.md). It is safe for concurrent use.
type admission struct {
	tracker *tracker.Tracker
	// stopping reports whether the daemon is about to stop.
	stopping func() bool
	logger   hclog.Logger
	mu       sync.Mutex
	pools    map[poolKey]*pool
}

func newAdmission(tracker *tracker.Tracker, stopping func() bool, logger hclog.Logger) *admission {
	return &admission{tracker: tracker, stopping: stopping, logger: logger, pools: map[poolKey]*pool{}}
}

// pool returns the pool of the endpoints that may get a query, whose callers want a response to
// begin within the target.
func (a *admission) pool(query tracker.Query, target time.Duration) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	key := poolKey{service: query.Service, model: query.Model, only: query.OnlyVersion, except: query.ExceptVersion}
	p := a.pools[key]
	if p == nil {
		a.removeUnused(now)
		p = newPool(a.tracker, a.stopping, a.logger)
		a.pools[key] = p
	}
	p.usedAt = now
	p.setQuery(query, target)
	return p
}

// removeUnused removes the pools without requests that have not been used for poolLifetime, such
// as those of versions that are gone.
func (a *admission) removeUnused(now time.Time) {
	for key, p := range a.pools {
		running, waiting := p.admitter.Load()
		if running+waiting == 0 && now.Sub(p.usedAt) >= poolLifetime {
			delete(a.pools, key)
		}
	}
}

// counts returns the number of pools that are limited and that of the requests that wait.
func (a *admission) counts() (limited, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.pools {
		if p.isLimited() {
			limited++
		}
		_, waitingInPool := p.admitter.Load()
		waiting += waitingInPool
	}
	return limited, waiting
}

// pool holds the requests that compete for the same endpoints.
type pool struct {
	tracker  *tracker.Tracker
	stopping func() bool
	logger   hclog.Logger
	admitter *admitter.Admitter
	// usedAt is when a request last used the pool. It is guarded by the admission's lock.
	usedAt time.Time

	mu     sync.Mutex
	query  tracker.Query
	target time.Duration
	window *throttler.Window
	// observedAt is when the load was last computed.
	observedAt time.Time
	// updating is set while a timer updates the limit.
	updating bool
}

func newPool(tracker *tracker.Tracker, stopping func() bool, logger hclog.Logger) *pool {
	options := admitter.Options{MinServiceRatio: minServiceRatio, RefuseOnlyWaiting: true}
	return &pool{tracker: tracker, stopping: stopping, logger: logger, window: throttler.NewWindow(), admitter: admitter.New(unlimited, options)}
}

// setQuery sets what is asked of the tracker about the pool's load.
func (p *pool) setQuery(query tracker.Query, target time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.query = tracker.Query{
		Service:       query.Service,
		OnlyVersion:   query.OnlyVersion,
		ExceptVersion: query.ExceptVersion,
		SubsetShare:   query.SubsetShare,
		Model:         query.Model,
	}
	p.target = target
}

func (p *pool) isLimited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.window.Limit().Active
}

// limit returns the limit of the pool at present.
func (p *pool) limit() throttler.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.observedAt) >= observeInterval {
		p.observe()
	}
	return p.window.Limit()
}

// observe updates the limit for the load of the endpoints. The lock is held.
func (p *pool) observe() {
	now := time.Now()
	p.observedAt = now
	// The requests of a stopping daemon have to end soon, so it knows of no load and has no limit.
	var room tracker.Room
	if !p.stopping() {
		room = p.tracker.Room(p.query)
	}
	running, waiting := p.admitter.Load()
	before := p.window.Limit()
	limit := p.window.Observe(throttler.Sample{
		KnownShare:   room.KnownShare(),
		LeastLoad:    room.LeastLoad,
		MeanDuration: p.admitter.MeanDuration(),
		Running:      running,
		Waiting:      waiting,
		Target:       p.target,
	}, now)
	if limit.Active != before.Active {
		p.logChange(limit, room, running, waiting)
	}
	if limit.Active {
		p.admitter.SetLimit(limit.Requests, limit.MayRefuse)
	} else if before.Active {
		p.admitter.SetLimit(unlimited, false)
	}
	if limit.Active || p.window.Watching() {
		p.scheduleUpdate()
	}
}

// scheduleUpdate has the limit updated in updateInterval, since neither requests nor responses
// may come in the meantime.
func (p *pool) scheduleUpdate() {
	if p.updating {
		return
	}
	p.updating = true
	time.AfterFunc(updateInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.updating = false
		p.observe()
	})
}

func (p *pool) logChange(limit throttler.Limit, room tracker.Room, running, waiting int) {
	message := "endpoints are no longer known to be overloaded; requests do not wait"
	if limit.Active {
		message = "endpoints are overloaded; less urgent requests wait"
	}
	p.logger.Info(message, "service", p.query.Service, "model", p.query.Model, "endpoints", room.Endpoints, "known", room.KnownEndpoints,
		"slots", room.Slots, "requests", room.Requests, "least_load", room.LeastLoad, "duration", noter.FormatDuration(p.admitter.MeanDuration()),
		"limit", limit.Requests, "running", running, "waiting", waiting)
}

// runAdmitted runs the request once it may be sent to an endpoint, unless it is refused before.
func (c *call) runAdmitted(ctx context.Context) *classifier.Error {
	c.size = sizer.FirstSize(c.costs(), !c.route.Retryable())
	end, problem := c.awaitRoom(ctx)
	if problem != nil {
		return problem
	}
	// How long a request took that no endpoint executed says nothing about their load.
	defer func() { end(c.possibleRuns > 0) }()
	return c.run(ctx)
}

// awaitRoom waits until the request may be sent to an endpoint, or returns why it is refused. The
// returned function must be called when the request has ended, with whether it was executed.
func (c *call) awaitRoom(ctx context.Context) (end func(executed bool), problem *classifier.Error) {
	demand := c.view.Table.Demand(c.route.Service)
	if demand.TargetLatency <= 0 {
		return func(bool) {}, nil
	}
	p := c.admission.pool(c.query(c.requiredModel()), demand.TargetLatency)
	limit := p.limit()
	request := c.admissionRequest()
	request.Immediate = !limit.Active || c.passesLimit(limit)
	startedAt := time.Now()
	end, err := p.admitter.Admit(ctx, request)
	waited := time.Since(startedAt)
	if !request.Immediate {
		c.recordWait(waited, limit)
	}
	if err != nil {
		return nil, c.refusal(err)
	}
	return end, nil
}

// admissionRequest returns the request as the queue sees it, whose higher priorities are the more
// urgent ones.
func (c *call) admissionRequest() admitter.Request {
	request := admitter.Request{
		Priority: -c.rank(),
		Deadline: c.deadline,
		Account:  c.accountName(),
		Kind:     c.route.Name,
		Work:     promptTokenWork*float64(c.PromptTokens) + float64(c.OutputTokens),
	}
	if c.route.TargetLatency > 0 {
		request.StartBy = c.arrived.Add(time.Duration(maxWaitShare * float64(c.route.TargetLatency)))
	}
	return request
}

// passesLimit reports whether the request is sent in spite of the limit. The most urgent requests
// of several priorities gain nothing from a wait, since endpoints run them first. A stream of
// which the client has a part has been paid for already.
func (c *call) passesLimit(limit throttler.Limit) bool {
	if c.hasBegun() || c.view.Draining {
		return true
	}
	demand := c.view.Table.Demand(c.route.Service)
	hasPriorities := demand.MostUrgent != demand.LeastUrgent
	return hasPriorities && !limit.MostUrgent && c.rank() == demand.MostUrgent
}

// recordWait records how long a request of a limited pool waited.
func (c *call) recordWait(waited time.Duration, limit throttler.Limit) {
	c.Counters.AdmissionWait.Update(waited.Seconds())
	if waited >= minLoggedWait {
		c.log("request waited for room at the endpoints", "wait", noter.FormatDuration(waited), "rank", c.rank(), "limit", limit.Requests)
	}
}

// refusal returns the error of a request that is refused for lack of room. The client is asked to
// retry while enough of its time is left.
func (c *call) refusal(err error) *classifier.Error {
	problem := classifier.FromError(err)
	latest := time.Duration(maxRetryShare * float64(c.remaining()))
	return problem.WithRetryAfter(min(max(problem.RetryAfter, notReadyRetryAfter), latest))
}
