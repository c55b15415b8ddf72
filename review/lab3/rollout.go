package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sort"
	"sync"
	"time"
)

// playRollout: the operator orders the next version one second after a bad one was rolled back, while
// the workers of the bad one still serve. The rule is PINNED: no more than three requests run on the
// new version in the first half of its rollout though the one before in their session ran on another.
// EXPOSURE is noted too: a bad version gets no request that was sent later than rollbackMs after its
// 50th bad answer.
func playRollout(l *lab) {
	const (
		share     = 0.5
		duration  = 24.0
		drainWait = 8 * time.Second
	)
	chat := route("chat", "/chat/", "stream", "pool", map[string]any{"resumable": true, "sessionAffinity": true, "gapAimMs": 600, "sizes": []string{"m-small", "m-large"}})
	l.store.put("keyed.op", "config", manifest(3, []string{"pool"}, chat))
	models := []string{"m-small", "m-large"}
	start := func(first int, version string, fails func() bool) []*worker {
		var started []*worker
		for i := range 4 {
			started = append(started, l.startWorker(first+i, &worker{service: "pool", zone: "a", version: version, models: models, work: 20 * time.Millisecond, fails: fails}))
		}
		return started
	}
	start(0, "v1", nil)
	for i := range 3 {
		l.startDaemon(i, "a")
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var group sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	for _, d := range l.daemons {
		group.Go(func() {
			answers := l.load(d, 40, end, func(n int) call {
				c := proper
				c.header = map[string]string{"Model": "*", "Token-Counts": "20,12", "Session": fmt.Sprintf("%s-%d", d.name, n/3)}
				return c
			})
			mu.Lock()
			defer mu.Unlock()
			for _, a := range answers {
				sentAt[a.id] = a.sent
			}
		})
	}
	time.Sleep(2 * time.Second)
	bad := start(20, "v2", func() bool { return rand.Float64() < share })
	l.store.put("keyed.op", "rollout/pool", map[string]any{"service": "pool", "target": "v2", "durationS": duration})
	orderedAt := time.Now()
	l.note("the operator orders v2")
	state := func() (target, state string) {
		var status struct{ State, Target string }
		_ = json.Unmarshal(l.store.newest("keyed.status", "rollout/pool"), &status)
		return status.Target, status.State
	}
	for {
		if target, s := state(); target == "v2" && s == "rolled_back" {
			break
		}
		if time.Since(orderedAt) > 20*time.Second {
			l.finish(exitNoRun, "v2 was not rolled back")
		}
		time.Sleep(20 * time.Millisecond)
	}
	rolledBackAt := time.Now()
	l.note("the status says that v2 is rolled back")
	if l.trouble {
		time.Sleep(time.Second)
		start(40, "v3", nil)
		l.store.put("keyed.op", "rollout/pool", map[string]any{"service": "pool", "target": "v3", "durationS": duration})
		l.note("the operator orders v3")
	}
	time.Sleep(time.Until(rolledBackAt.Add(drainWait)))
	for _, w := range bad {
		w.drain()
	}
	l.note("the workers of v2 report draining")
	group.Wait()

	pinned := l.countMoved("v2", orderedAt.Add(time.Duration(duration/2*float64(time.Second))))
	afterRollback, late := 0, 0
	var failures []time.Time
	for _, w := range bad {
		for _, a := range w.seen() {
			if a.at.After(rolledBackAt.Add(time.Second)) {
				afterRollback++
			}
			if a.status == 500 {
				failures = append(failures, a.at)
			}
		}
	}
	sortTimes(failures)
	if len(failures) >= 50 {
		for _, w := range bad {
			for _, a := range w.seen() {
				if sent, found := sentAt[a.id]; found && sent.After(failures[49].Add(rollbackTime)) {
					late++
				}
			}
		}
	}
	l.note("v2 gave %d bad answers, and got %d requests later than a second after its roll-back", len(failures), afterRollback)
	if pinned > 3 {
		l.finish(exitBroken, "PINNED: %d requests ran on v2 though the one before in their session ran on another version; EXPOSURE: %d requests to v2 were sent later than %v after its 50th bad answer; %d reached it later than a second after its roll-back", pinned, late, rollbackTime, afterRollback)
	}
	l.finish(exitHeld, "%d requests ran on v2 though the one before in their session ran on another version; %d reached it later than a second after its roll-back", pinned, afterRollback)
}

// countMoved returns how many requests ran on a version before a time though the one before in their
// session ended less than sessionS before on another version.
func (l *lab) countMoved(version string, until time.Time) int {
	const sessionTime = 5 * time.Second
	type run struct {
		arrival
		version string
		end     time.Time
	}
	var runs []run
	for _, w := range l.workers {
		for _, a := range w.seen() {
			if a.session != "" && a.status != 421 {
				runs = append(runs, run{a, w.version, a.at.Add(w.work)})
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	moved := 0
	last := map[string]run{}
	for _, r := range runs {
		before, found := last[r.session]
		if found && before.id == r.id {
			// Another run of the same request: the one before in the session stays.
			continue
		}
		if found && r.version == version && before.version != version && r.at.Before(until) && r.at.Sub(before.end) < sessionTime {
			moved++
			l.note("session %s: request %s runs on %s, the one before ran on %s", r.session, r.id, r.version, before.version)
		}
		last[r.session] = r
	}
	return moved
}
