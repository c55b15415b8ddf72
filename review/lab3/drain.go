package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// playDrain: the daemon that reads the log for its zone freezes just after a worker has reported
// draining. The rule is DRAIN, judged on what the other daemons send.
func playDrain(l *lab) {
	const (
		daemons = 10
		freeze  = 4 * time.Second
		// lead is how long after the reader's last read of the registrations it freezes.
		lead = 965 * time.Millisecond
	)
	var mu sync.Mutex
	readerName := ""
	l.store.onAppend = func(topic string, r record) {
		if !strings.HasPrefix(topic, "keyed.readers") {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, d := range l.daemons {
			if strings.Contains(string(r.value), d.name) {
				readerName = d.name
			}
		}
	}
	reads := make(chan time.Time, 1)
	l.store.onRead = func(topic string, at time.Time) {
		if topic == "keyed.servers" {
			select {
			case reads <- at:
			default:
			}
		}
	}
	l.store.put("keyed.op", "config", manifest(3, []string{"desk"}, route("stock", "/stock/", "idempotent", "desk", nil)))
	var workers []*worker
	for i := range 3 {
		workers = append(workers, l.startWorker(i, &worker{service: "desk", zone: "a", version: "v1", work: 5 * time.Millisecond}))
		time.Sleep(400 * time.Millisecond)
	}
	for i := range daemons {
		l.startDaemon(i, "a")
		// Machines start within 0.3 s of each other.
		time.Sleep(30 * time.Millisecond)
	}
	l.awaitReady()
	time.Sleep(6 * time.Second)
	mu.Lock()
	var reader *daemon
	for _, d := range l.daemons {
		if d.name == readerName {
			reader = d
		}
	}
	mu.Unlock()
	if reader == nil {
		l.finish(exitNoRun, "no daemon has named itself in the log")
	}
	l.note("%s reads the log for the zone", reader.name)

	from := map[string]string{}
	var group sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	for _, d := range l.daemons {
		if d == reader {
			continue
		}
		group.Go(func() {
			answers := l.load(d, 80, end, func(int) call { return call{"GET", "/stock/1", "key-a", nil, 1500 * time.Millisecond} })
			mu.Lock()
			defer mu.Unlock()
			for _, a := range answers {
				from[a.id] = d.name
			}
		})
	}
	time.Sleep(3 * time.Second)
	select {
	case <-reads:
	default:
	}
	readAt := <-reads
	leaving := workers[0]
	ackAt := leaving.drain()
	l.note("the reader has read registrations at %s; worker %s reports draining, acked at %s", l.at(readAt), leaving.id, l.at(ackAt))
	if l.trouble {
		time.Sleep(time.Until(readAt.Add(lead)))
		reader.signal(syscall.SIGSTOP)
		l.note("%s freezes", reader.name)
		time.Sleep(freeze)
		reader.signal(syscall.SIGCONT)
		l.note("%s wakes", reader.name)
	}
	group.Wait()
	late, last := 0, time.Duration(0)
	for _, a := range leaving.seen() {
		if after := a.at.Sub(ackAt); after > drainTime && from[a.id] != "" && a.status != 421 {
			late++
			last = max(last, after)
			l.note("late: request %s from %s reached the draining worker %.3f s after the ack", a.id, from[a.id], after.Seconds())
		}
	}
	if late > 0 {
		l.finish(exitBroken, "DRAIN: %d requests of daemons that were never frozen reached the draining worker later than %v after the ack, the last one %.3f s after it", late, drainTime, last.Seconds())
	}
	l.finish(exitHeld, "no request reached the draining worker later than %v after the ack", drainTime)
}
