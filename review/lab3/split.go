package main

import "time"

// playSplit: a version of the manifest adds a route that is split over two services. The rule is
// CONFIG: routes that were added later are served as often as the first ones.
func playSplit(l *lab) {
	stock := route("stock", "/stock/", "idempotent", "desk", nil)
	added := route("offer", "/offer/", "idempotent", "desk", nil)
	if l.trouble {
		added = route("offer", "/offer/", "idempotent", "desk", map[string]any{"service": nil, "backends": []map[string]any{{"service": "desk", "weight": 90}, {"service": "office", "weight": 10}}})
	}
	services := []string{"desk", "office"}
	l.store.put("keyed.op", "config", manifest(3, services, stock))
	for i := range 3 {
		l.startWorker(i, &worker{service: "desk", zone: "a", version: "v1", work: 5 * time.Millisecond})
		l.startWorker(10+i, &worker{service: "office", zone: "a", version: "v1", work: 5 * time.Millisecond})
	}
	for i := range 2 {
		l.startDaemon(i, "a")
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)
	l.store.put("keyed.op", "config", manifest(5, services, stock, added))
	l.note("the operator adds the route offer in version 5; acked")
	time.Sleep(5 * time.Second)
	var later, first []answer
	for _, d := range l.daemons {
		end := time.Now().Add(5 * time.Second)
		later = append(later, l.load(d, 20, end, func(int) call { return call{"GET", "/offer/1", "key-a", nil, 1500 * time.Millisecond} })...)
		end = time.Now().Add(5 * time.Second)
		first = append(first, l.load(d, 20, end, func(int) call { return call{"GET", "/stock/1", "key-a", nil, 1500 * time.Millisecond} })...)
	}
	a, b := float64(served(later))/float64(len(later)), float64(served(first))/float64(len(first))
	if len(later) >= 20 && a < b/4 {
		l.finish(exitBroken, "CONFIG: %d of %d requests on the route that was added later were served, %d of %d on the first route", served(later), len(later), served(first), len(first))
	}
	l.finish(exitHeld, "%d of %d requests on the route that was added later were served, %d of %d on the first route", served(later), len(later), served(first), len(first))
}
