package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = playSilent }

const (
	// drainBound is the bound of the rule, as in the settings.
	drainBound = 2 * time.Second
	// inTouchAfter is the time after which machines are in touch again, with a margin.
	inTouchAfter = 3500 * time.Millisecond
	// servesOn is how long a draining worker goes on serving.
	servesOn = 9 * time.Second
	// silentRounds is the number of workers that leave, one after the other.
	silentRounds  = 2
	silentClients = 12
)

// playSilent plays a zone whose daemons follow one of them. One of that daemon's channels to the store
// goes silent; some seconds later a worker reports that it is draining.
func playSilent(l *lab) bool {
	var late atomic.Int64
	var mu sync.Mutex
	drainedAt := map[string]time.Time{}
	serve := func(w *worker, request *workerRequest, connection net.Conn) bool {
		now := time.Now()
		mu.Lock()
		at, draining := drainedAt[w.id]
		mu.Unlock()
		l.note("request %s reached worker %s", request.id, w.id)
		if draining && now.Sub(at) > drainBound {
			late.Add(1)
			l.note("DRAIN: request %s reached worker %s %d ms after the ack of its leaving, through daemon %s", request.id, w.id, now.Sub(at).Milliseconds(), request.Header.Get("Through"))
		}
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
		body := answerBody(request.id)
		_, err := connection.Write(append(w.head(200, request.id, body), body...))
		return err == nil
	}
	l.publish(1, []route{
		{Name: "read", Host: "desk.example", PathPrefix: "/read/", Kind: "idempotent", Service: "desk", TimeoutMs: 3000, TargetLatencyMs: 300, MaxAttempts: 2},
	}, "desk")
	var workers []*worker
	join := func() {
		w := newWorker(l.store, fmt.Sprintf("i-%d", len(workers)), "desk", "a", "v1", 6, serve)
		workers = append(workers, w)
		l.note("worker %s has joined", w.id)
	}
	for range 4 {
		join()
	}
	l.proxied = true
	l.startDaemons("a", "a", "a")
	time.Sleep(2 * time.Second)
	end := make(chan struct{})
	var group sync.WaitGroup
	for i := range silentClients {
		group.Go(func() {
			d := l.daemons[i%len(l.daemons)]
			c := &client{address: d.front}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(60+rand.IntN(60)) * time.Millisecond):
				}
				id := fmt.Sprintf("%02d%06d%08x", i, n, rand.Uint32())
				got := c.send("GET", "desk.example", "/read/1", id, 3*time.Second, nil, "Through: "+d.name+"\r\n")
				l.note("client: GET %s: status %d, %v", id, got.status, got.err)
			}
		})
	}
	for range silentRounds {
		join()
		time.Sleep(2 * time.Second)
		if l.trouble {
			l.silenceEndpointsRead()
		}
		time.Sleep(inTouchAfter)
		leaver := workers[len(workers)-2]
		leaver.draining.Store(true)
		mu.Lock()
		leaver.register()
		drainedAt[leaver.id] = time.Now()
		mu.Unlock()
		l.note("worker %s reports draining; the store has acknowledged it", leaver.id)
		time.Sleep(servesOn)
		leaver.leave()
		l.note("worker %s has left", leaver.id)
		time.Sleep(2 * time.Second)
	}
	close(end)
	group.Wait()
	l.note("DRAIN: %d requests reached a draining worker more than %v after the ack", late.Load(), drainBound)
	fmt.Printf("late requests: %d\n", late.Load())
	return late.Load() > 0
}

// silenceEndpointsRead makes one channel silent: that on which a daemon waits for new entries of workers.
func (l *lab) silenceEndpointsRead() {
	for i, p := range l.proxies {
		if call := p.silence(0, "log-read", "keyed.servers"); call != "" {
			l.note("a channel of %s to the store goes silent; the call that waits on it: %s", l.daemons[i].name, call)
			return
		}
	}
	l.note("no daemon waits for entries of workers")
}
