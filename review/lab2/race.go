package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["race"] = playRace }

const (
	// raceBudget is the time of each rollout, raceOverlap the time between the two orders.
	raceBudget  = 24 * time.Second
	raceOverlap = time.Second
	// exposeShare, exposeSlack and rollback are the bounds of the rule, as in the settings.
	exposeShare = 0.15
	exposeSlack = 30
	rollback    = 5 * time.Second
	// badAnswers is the number of bad answers after which the time of the rule begins.
	badAnswers  = 50
	raceClients = 16
)

// playRace plays two operators who order versions of one service shortly one after the other. The
// first version is bad, the second one is good.
func playRace(l *lab) bool {
	var reached, reachedBad, failures atomic.Int64
	var counting atomic.Bool
	var late atomic.Int64
	// limit is rollback after the bad answer that the rule names, in nanoseconds since the start.
	var limit atomic.Int64
	sent := &sentTimes{at: map[string]time.Duration{}}
	serve := func(w *worker, request *workerRequest, connection net.Conn) bool {
		if counting.Load() {
			reached.Add(1)
		}
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
		body := answerBody(request.id)
		status := 200
		if w.version == "v2" {
			if counting.Load() {
				reachedBad.Add(1)
			}
			if rand.IntN(2) == 0 {
				status, body = 500, []byte("failed\n")
				if failures.Add(1) == badAnswers {
					limit.Store(int64(time.Since(l.started) + rollback))
					l.note("this is bad answer %d of v2", badAnswers)
				}
			}
			if from := limit.Load(); from > 0 && int64(sent.of(request.id)) > from {
				late.Add(1)
				l.note("request %s reached v2 although it was sent more than %v after bad answer %d", request.id, rollback, badAnswers)
			}
		}
		l.note("worker %s (%s) ran %s: %d", w.id, w.version, request.id, status)
		_, err := connection.Write(append(w.head(status, request.id, body), body...))
		return err == nil
	}
	l.publish(1, []route{
		{Name: "read", Host: "desk.example", PathPrefix: "/read/", Kind: "idempotent", Service: "desk", TimeoutMs: 3000, TargetLatencyMs: 300, MaxAttempts: 2},
	}, "desk")
	start := func(version string) {
		for i := range 6 {
			newWorker(l.store, fmt.Sprintf("i-%s-%d", version, i), "desk", []string{"a", "b"}[i%2], version, 12, serve)
		}
	}
	start("v1")
	l.startDaemons("a", "a", "b", "b")
	time.Sleep(2 * time.Second)
	end := time.Now().Add(raceBudget + 8*time.Second)
	var group sync.WaitGroup
	for i := range raceClients {
		group.Go(func() { l.readOverAndOver(i, end, sent) })
	}
	time.Sleep(2 * time.Second)
	order := func(target string) {
		value, err := json.Marshal(map[string]any{"service": "desk", "target": target, "durationS": raceBudget.Seconds()})
		must(err)
		l.store.put("keyed.op", "rollout/desk", value)
		l.note("rollout of desk to %s ordered and acknowledged", target)
		start(target)
	}
	counting.Store(true)
	order("v2")
	group.Go(func() { l.followStatus(end) })
	if l.trouble {
		time.Sleep(raceOverlap)
		order("v3")
		time.Sleep(raceBudget - raceOverlap)
	} else {
		time.Sleep(raceBudget)
	}
	counting.Store(false)
	group.Wait()
	allowed := exposeShare*float64(reached.Load()) + exposeSlack
	l.note("EXPOSURE: the bad version v2 got %d requests of %d in the time of its rollout; allowed %.0f; %d of its answers were failures", reachedBad.Load(), reached.Load(), allowed, failures.Load())
	l.note("EXPOSURE: %d requests reached v2 that were sent more than %v after its bad answer %d; allowed 0", late.Load(), rollback, badAnswers)
	fmt.Printf("bad version got %d of %d, allowed %.0f; failures %d; after the time for the roll-back %d\n", reachedBad.Load(), reached.Load(), allowed, failures.Load(), late.Load())
	return float64(reachedBad.Load()) > allowed || late.Load() > 0
}

// sentTimes holds when each request was sent.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func (s *sentTimes) set(id string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = at
}

func (s *sentTimes) of(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[id]
}

// readOverAndOver sends requests of one client to one daemon until the end.
func (l *lab) readOverAndOver(i int, end time.Time, sent *sentTimes) {
	c := &client{address: l.daemons[i%len(l.daemons)].front}
	defer c.close()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%02d%06d%08x", i, n, rand.Uint32())
		session := fmt.Sprintf("Session: s-%d-%d\r\n", i, n/4)
		sent.set(id, time.Since(l.started))
		got := c.send("GET", "desk.example", "/read/1", id, 3*time.Second, nil, session)
		l.note("client: GET %s: status %d, %d bytes, %v", id, got.status, len(got.body), got.err)
		time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
	}
}

// followStatus does what the platform does: it records each state that the system writes, and at
// `rolled_back` the new workers drain two seconds later, at `completed` the old ones stop.
func (l *lab) followStatus(end time.Time) {
	last := ""
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.store.mu.Lock()
		value, _ := base64.StdEncoding.DecodeString(l.store.partition("keyed.status", "0").newest["rollout/desk"].Value)
		l.store.mu.Unlock()
		var status struct{ State, Target string }
		if json.Unmarshal(value, &status) != nil || status.State+status.Target == last {
			continue
		}
		last = status.State + status.Target
		l.note("status of the rollout to %s: %s", status.Target, status.State)
		switch status.State {
		case "rolled_back":
			time.AfterFunc(2*time.Second, func() { l.drain(func(version string) bool { return version == status.Target }) })
		case "completed":
			l.stop(func(version string) bool { return version != status.Target })
		}
	}
}

// drain makes workers of a version report that they are draining, and leave after that.
func (l *lab) drain(chosen func(version string) bool) {
	for _, w := range l.workersOf(chosen) {
		w.draining.Store(true)
		w.register()
		l.note("worker %s (%s) is draining", w.id, w.version)
		time.AfterFunc(3*time.Second, w.leave)
	}
}

func (l *lab) stop(chosen func(version string) bool) {
	for _, w := range l.workersOf(chosen) {
		l.note("worker %s (%s) stops", w.id, w.version)
		w.leave()
	}
}

func (l *lab) workersOf(chosen func(version string) bool) []*worker {
	allWorkers.Lock()
	defer allWorkers.Unlock()
	var found []*worker
	for _, w := range allWorkers.list {
		if chosen(w.version) && !w.left.Load() {
			found = append(found, w)
		}
	}
	return found
}
