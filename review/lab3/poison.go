package main

import (
	"fmt"
	"sync"
	"time"
)

// playPoison: requests with one part of a prompt crash the workers; the daemons have learned of the
// part, and then all processes of the system are killed at the same moment and start again. The rule
// is BUDGET: no more than three requests with the part reach workers, sent by machines in touch later
// than stableWindowMs after the fifth crash.
func playPoison(l *lab) {
	const (
		stableWindow = 3 * time.Second
		poison       = "dead01"
		workers      = 16
		daemons      = 3
		down         = time.Second
		// interval is the time between two requests with the part after the first ones.
		interval = 3 * time.Second
		// poisoned is how long such requests come, length how long sound ones do.
		poisoned = 20 * time.Second
		length   = 24 * time.Second
	)
	l.store.put("keyed.op", "config", manifest(3, []string{"pool"}, streamRoute()))
	for i := range workers {
		l.startWorker(i, &worker{service: "pool", zone: "a", version: "v1", models: []string{"m-small", "m-large"}, work: 20 * time.Millisecond, poison: poison})
	}
	for i := range daemons {
		l.startDaemon(i, "a")
	}
	l.awaitReady()
	time.Sleep(3 * time.Second)

	request := func(part string, n int) call {
		c := proper
		c.header = map[string]string{"Model": "*", "Token-Counts": "550,12", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%s:200,%x:50", part, 0x100000+n)}
		return c
	}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i, d := range l.daemons {
		group.Go(func() {
			l.load(d, 45, end, func(n int) call { return request("91bd3f06", 100000*(i+1)+n) })
		})
	}
	time.Sleep(2 * time.Second)
	// The requests with the part come at any machine, no two alike. They are a twentieth of all.
	poisonEnd := time.Now().Add(poisoned)
	for n := range 6 {
		group.Go(func() { l.send(l.daemons[n%daemons], request(poison, n)) })
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	restartedAt := time.Time{}
	if l.trouble {
		for _, d := range l.daemons {
			d.kill()
		}
		l.note("all processes of the system are killed")
		time.Sleep(down)
		for _, d := range l.daemons {
			l.restart(d)
		}
		restartedAt = time.Now()
		l.note("all processes start again")
		l.awaitReady()
		time.Sleep(time.Until(restartedAt.Add(stableWindow + 500*time.Millisecond)))
	}
	for n := 0; time.Now().Before(poisonEnd); n++ {
		group.Go(func() { l.send(l.daemons[n%daemons], request(poison, 1000+n)) })
		time.Sleep(interval)
	}
	group.Wait()

	var crashes []time.Time
	for _, w := range l.workers {
		for _, a := range w.seen() {
			if a.status == statusCrashed {
				crashes = append(crashes, a.at)
			}
		}
	}
	sortTimes(crashes)
	if len(crashes) < 5 {
		l.finish(exitHeld, "%d workers crashed in all, so the rule does not apply", len(crashes))
	}
	from := crashes[4].Add(stableWindow)
	if inTouch := restartedAt.Add(stableWindow); l.trouble && inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, at := range crashes {
		if at.After(from) {
			late++
		}
	}
	l.note("crashes at %v; the fifth at %s; judged from %s", seconds(l, crashes), l.at(crashes[4]), l.at(from))
	if late > 3 {
		l.finish(exitBroken, "BUDGET: %d requests with the part reached workers, sent by machines in touch later than %v after the fifth crash", late, stableWindow)
	}
	l.finish(exitHeld, "%d requests with the part reached workers later than %v after the fifth crash", late, stableWindow)
}

func seconds(l *lab, times []time.Time) []string {
	var texts []string
	for _, t := range times {
		texts = append(texts, l.at(t))
	}
	return texts
}
