package main

import (
	"encoding/json"
	"time"
)

// playAgain: the operator writes the order for a version once more after it was completed. The rule is
// CONFIG: routes that were added later are served as often as the first ones.
func playAgain(l *lab) {
	const duration = 24.0
	stock := route("stock", "/stock/", "idempotent", "desk", nil)
	services := []string{"desk", "pool"}
	l.store.put("keyed.op", "config", manifest(3, services, stock))
	models := []string{"m-small", "m-large"}
	start := func(first int, version string) []*worker {
		var started []*worker
		for i := range 4 {
			started = append(started, l.startWorker(first+i, &worker{service: "pool", zone: "a", version: version, models: models, work: 20 * time.Millisecond}))
		}
		return started
	}
	old := start(0, "v1")
	for i := range 2 {
		l.startWorker(60+i, &worker{service: "desk", zone: "a", version: "v1", work: 5 * time.Millisecond})
		l.startDaemon(i, "a")
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)
	l.store.put("keyed.op", "config", manifest(5, services, stock, streamRoute()))
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.load(l.daemons[0], 150, time.Now().Add(27*time.Second), func(int) call { return proper })
	}()
	order := map[string]any{"service": "pool", "target": "v2", "durationS": duration}
	start(20, "v2")
	l.store.put("keyed.op", "rollout/pool", order)
	orderedAt := time.Now()
	l.note("the operator orders v2")
	for {
		var status struct{ State, Target string }
		_ = json.Unmarshal(l.store.newest("keyed.status", "rollout/pool"), &status)
		if status.State == "completed" {
			break
		}
		if status.State == "rolled_back" || time.Since(orderedAt) > 28*time.Second {
			l.finish(exitNoRun, "v2 was not completed: %s", status.State)
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.note("the status says that v2 is completed; the workers of v1 stop")
	for _, w := range old {
		w.stop()
	}
	<-done
	time.Sleep(time.Second)
	if l.trouble {
		l.store.put("keyed.op", "rollout/pool", order)
		l.note("the operator writes the same order again")
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(35 * time.Second)
	first := make(chan []answer)
	go func() {
		first <- l.load(l.daemons[1], 10, end, func(int) call { return call{"GET", "/stock/1", "key-a", nil, 1500 * time.Millisecond} })
	}()
	later := l.load(l.daemons[0], 10, end, func(int) call { return proper })
	stocks := <-first
	lastServed := 0
	for _, a := range later {
		if a.err == nil && a.status == 200 && time.Since(a.sent) < 8*time.Second {
			lastServed++
		}
	}
	var status struct{ State, Target string }
	_ = json.Unmarshal(l.store.newest("keyed.status", "rollout/pool"), &status)
	l.note("the status says %s for %s; %d requests on the added route served in the last 8 s", status.State, status.Target, lastServed)
	if float64(served(later))/float64(len(later)) < float64(served(stocks))/float64(len(stocks))/4 {
		l.finish(exitBroken, "CONFIG: %d of %d requests on the route that was added later were served, %d in the last 8 s; %d of %d on the first route", served(later), len(later), lastServed, served(stocks), len(stocks))
	}
	l.finish(exitHeld, "%d of %d requests on the route that was added later were served, %d in the last 8 s; %d of %d on the first route", served(later), len(later), lastServed, served(stocks), len(stocks))
}

// stop ends the worker for good, without draining, and removes its registration.
func (w *worker) stop() {
	w.mu.Lock()
	w.gone, w.down = true, true
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
	w.mu.Unlock()
	w.lab.store.put("keyed.servers", w.id, nil)
}
