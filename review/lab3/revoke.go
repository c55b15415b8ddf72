package main

import (
	"net/http"
	"time"
)

// playRevoke: a version of the manifest takes away the last tenant with its key. The rule is CONFIG:
// no request with the key runs that was sent later than revokeMs after the ack. ROUTE is noted too:
// no request runs whose key no manifest ever held.
func playRevoke(l *lab) {
	const revokeTime = 5 * time.Second
	desk := []string{"desk"}
	stock := route("stock", "/stock/", "idempotent", "desk", nil)
	book := route("book", "/book/", "non_idempotent", "desk", map[string]any{"maxAttempts": 1})
	withTenants := func(version int, tenants ...map[string]any) map[string]any {
		m := manifest(version, desk, stock, book)
		// An empty list stays a list.
		m["tenants"] = append([]map[string]any{}, tenants...)
		return m
	}
	tenant := map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}, "priority": 1}
	l.store.put("keyed.op", "config", withTenants(3, tenant))
	for i := range 3 {
		l.startWorker(i, &worker{service: "desk", zone: "a", version: "v1", work: 5 * time.Millisecond})
	}
	for i := range 3 {
		l.startDaemon(i, "a")
	}
	l.awaitReady()
	time.Sleep(2 * time.Second)
	stockCall := call{"GET", "/stock/1", "key-a", nil, 1500 * time.Millisecond}
	bookCall := call{"POST", "/book/1", "key-a", nil, 1500 * time.Millisecond}
	unknown := call{"GET", "/stock/1", "key-never-held", nil, 1500 * time.Millisecond}
	for _, d := range l.daemons {
		if a, b, c := l.send(d, stockCall), l.send(d, bookCall), l.send(d, unknown); a.status != http.StatusOK || b.status != http.StatusOK || c.status != http.StatusUnauthorized {
			l.finish(exitNoRun, "before the change, the daemon answers %d and %d with the tenant's key and %d with an unknown one", a.status, b.status, c.status)
		}
	}
	var ackAt time.Time
	if l.trouble {
		ackAt = l.store.put("keyed.op", "config", withTenants(5))
		l.note("the operator takes away tenant-a, the last tenant, in version 5; acked")
	} else {
		ackAt = l.store.put("keyed.op", "config", withTenants(5, tenant))
		l.note("the operator writes version 5, which takes away nothing; acked")
	}
	time.Sleep(time.Until(ackAt.Add(revokeTime + time.Second)))
	ids := map[string]string{}
	for range 20 {
		for _, d := range l.daemons {
			ids[l.send(d, stockCall).id] = "key-a"
			ids[l.send(d, bookCall).id] = "key-a"
			ids[l.send(d, unknown).id] = "unknown"
		}
		time.Sleep(50 * time.Millisecond)
	}
	ran := map[string]int{}
	for _, w := range l.workers {
		for _, a := range w.seen() {
			if key := ids[a.id]; key != "" && a.status == http.StatusOK {
				ran[key]++
			}
		}
	}
	l.note("requests that ran: %d with key-a, %d with a key that no manifest held", ran["key-a"], ran["unknown"])
	if l.trouble && ran["key-a"] > 0 {
		l.finish(exitBroken, "CONFIG: %d requests with the key that was taken away ran, all sent later than %v after the ack; ROUTE: %d with a key that no manifest ever held ran", ran["key-a"], revokeTime, ran["unknown"])
	}
	if ran["unknown"] > 0 {
		l.finish(exitBroken, "ROUTE: %d requests with a key that no manifest ever held ran", ran["unknown"])
	}
	l.finish(exitHeld, "no request with a key that was taken away or that no manifest held ran")
}
