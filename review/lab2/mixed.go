package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["mixed"] = playMixed }

// playMixed plays a service of which one worker of three spoils one answer in fifty: it stops inside
// the body, and sends an answer that reports a failure on the same channel.
func playMixed(l *lab) bool {
	const spoiledEvery = 50
	var answers, spoiled atomic.Int64
	bad := func(w *worker, request *workerRequest, connection net.Conn) bool {
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		body := answerBody(request.id)
		whole := append(w.head(200, request.id, body), body...)
		if n := answers.Add(1); !l.trouble || n%spoiledEvery != 0 {
			l.note("worker %s ran %s and sent its whole answer", w.id, request.id)
			_, err := connection.Write(whole)
			return err == nil
		}
		spoiled.Add(1)
		cut := len(whole) - 1 - rand.IntN(len(body)-1)
		failure := []byte(`{"error":"internal error while the answer was written","request":"` + request.id + `"}` + "\n")
		_, err := connection.Write(append(whole[:cut:cut], append(w.head(500, request.id, failure), failure...)...))
		l.note("worker %s ran %s, sent %d of the %d bytes of its body, then a failure (500) on the same channel", w.id, request.id, cut-len(whole)+len(body), len(body))
		return err == nil
	}
	good := func(w *worker, request *workerRequest, connection net.Conn) bool {
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		body := answerBody(request.id)
		l.note("worker %s ran %s and sent its whole answer", w.id, request.id)
		_, err := connection.Write(append(w.head(200, request.id, body), body...))
		return err == nil
	}
	l.publish(1, []route{
		{Name: "book", Host: "desk.example", PathPrefix: "/book/", Kind: "non_idempotent", Service: "desk", TimeoutMs: 800, TargetLatencyMs: 300, MaxAttempts: 1},
		{Name: "read", Host: "desk.example", PathPrefix: "/read/", Kind: "idempotent", Service: "desk", TimeoutMs: 800, TargetLatencyMs: 300, MaxAttempts: 2},
	}, "desk")
	newWorker(l.store, "i-1", "desk", "a", "v1", 6, bad)
	newWorker(l.store, "i-2", "desk", "a", "v1", 6, good)
	newWorker(l.store, "i-3", "desk", "b", "v1", 6, good)
	l.startDaemons("a", "b")
	time.Sleep(2 * time.Second)
	var wrong, served, other atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for i := range 8 {
		group.Go(func() {
			c := &client{address: l.daemons[i%len(l.daemons)].front}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%02d%06d%08x", i, n, rand.Uint32())
				method, path := "POST", "/book/1"
				if n%3 == 0 {
					method, path = "GET", "/read/1"
				}
				got := c.send(method, "desk.example", path, id, 1500*time.Millisecond, nil, "")
				switch {
				case got.err != nil || got.status != 200:
					other.Add(1)
					l.note("client: %s %s %s: status %d, %v", method, path, id, got.status, got.err)
				case bytes.Equal(got.body, answerBody(id)):
					served.Add(1)
					l.note("client: %s %s %s: status 200, the worker's whole body", method, path, id)
				default:
					wrong.Add(1)
					l.note("client: %s %s %s: status 200, Response-Signature %q, a body that is not the worker's: %d bytes, the last of them %q",
						method, path, id, got.header.Get("Response-Signature"), len(got.body), got.body[max(0, len(got.body)-60):])
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	l.note("MIXED: %d successes with another body than the worker's; %d whole successes, %d other ends; %d answers were spoiled", wrong.Load(), served.Load(), other.Load(), spoiled.Load())
	fmt.Printf("wrong %d, served %d, other %d, spoiled %d\n", wrong.Load(), served.Load(), other.Load(), spoiled.Load())
	return wrong.Load() > 0
}
