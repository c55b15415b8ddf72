package main

import (
	"sync"
	"time"
)

// streamRoute is a route with models to choose from.
func streamRoute() map[string]any {
	return route("chat", "/chat/", "stream", "pool", map[string]any{"sizes": []string{"m-small", "m-large"}, "resumable": true, "sessionAffinity": true, "gapAimMs": 600})
}

// playModel: the clients of one tenant name a model that is none of the route's. The rule is CONFIG:
// routes that were added later are served as often as the first ones.
func playModel(l *lab) {
	const (
		daemons  = 3
		baseline = 4 * time.Second
		steady   = 12 * time.Second
	)
	stock := route("stock", "/stock/", "idempotent", "desk", nil)
	l.store.put("keyed.op", "config", manifest(3, []string{"desk", "pool"}, stock))
	for i := range 3 {
		l.startWorker(i, &worker{service: "desk", zone: "a", version: "v1", work: 5 * time.Millisecond})
	}
	for i := range 6 {
		l.startWorker(10+i, &worker{service: "pool", zone: "a", version: "v1", models: []string{"m-small", "m-large"}, work: 5 * time.Millisecond})
	}
	for i := range daemons {
		l.startDaemon(i, "a")
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)
	l.store.put("keyed.op", "config", manifest(5, []string{"desk", "pool"}, stock, streamRoute()))
	l.note("the operator adds the route chat in version 5; acked")
	time.Sleep(4 * time.Second)

	measure := func(length time.Duration) (chat, first []answer) {
		var mu sync.Mutex
		var group sync.WaitGroup
		end := time.Now().Add(length)
		for _, d := range l.daemons {
			for _, onChat := range []bool{true, false} {
				group.Go(func() {
					answers := l.load(d, 10, end, func(int) call {
						if onChat {
							return proper
						}
						return call{"GET", "/stock/1", "key-a", nil, 1500 * time.Millisecond}
					})
					mu.Lock()
					defer mu.Unlock()
					if onChat {
						chat = append(chat, answers...)
					} else {
						first = append(first, answers...)
					}
				})
			}
		}
		group.Wait()
		return chat, first
	}
	chat, first := measure(baseline)
	l.note("before: %d of %d proper requests on the added route served, %d of %d on the first one", served(chat), len(chat), served(first), len(first))
	if served(chat) < len(chat)*9/10 || served(first) < len(first)*9/10 {
		l.finish(exitNoRun, "proper requests are not served before the disruption")
	}
	if l.trouble {
		for _, d := range l.daemons {
			wrong := proper
			wrong.key, wrong.header = "key-b", map[string]string{"Model": "m-other", "Token-Counts": "20,12"}
			got := l.send(d, wrong)
			l.note("tenant-b's request to %s names the model m-other: answered %d", d.name, got.status)
		}
	}
	time.Sleep(3 * time.Second)
	chat, first = measure(steady)
	a, b := float64(served(chat))/float64(len(chat)), float64(served(first))/float64(len(first))
	if len(chat) >= 20 && a < b/4 {
		l.finish(exitBroken, "CONFIG: %d of %d proper requests on the route that was added later were served, %d of %d on the first route", served(chat), len(chat), served(first), len(first))
	}
	l.finish(exitHeld, "%d of %d proper requests on the route that was added later were served, %d of %d on the first route", served(chat), len(chat), served(first), len(first))
}

// proper is a request on the route with models, as the pages have clients send it.
var proper = call{"POST", "/chat/1", "key-a", map[string]string{"Model": "*", "Token-Counts": "20,12"}, 3 * time.Second}
