package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int
	body   string
	err    error
}

// call is a request of a client.
type call struct {
	method, path, key string
	header            map[string]string
	deadline          time.Duration
}

// client keeps channels open for further requests, as the pages say that clients may.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

// send sends one client attempt to a daemon.
func (l *lab) send(d *daemon, c call) answer {
	got := answer{id: l.nextID(), sent: time.Now()}
	request, err := http.NewRequest(c.method, "http://"+d.address+c.path, nil)
	must(err)
	request.Host = "api.example"
	request.Header.Set("Attempt-Id", got.id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(int(c.deadline.Milliseconds())))
	request.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		got.err = err
		l.note("client sent %s %s id %s to %s at %s: error %v", c.method, c.path, got.id, d.name, l.at(got.sent), err)
		return got
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	got.status, got.body, got.err = response.StatusCode, string(body), err
	text := ""
	if response.StatusCode >= http.StatusBadRequest {
		text = ": " + firstLine(got.body)
	}
	l.note("client sent %s %s id %s to %s at %s: %d error %v%s", c.method, c.path, got.id, d.name, l.at(got.sent), got.status, err, text)
	return got
}

func firstLine(text string) string {
	for i := range text {
		if text[i] == '\n' {
			return text[:i]
		}
	}
	return text
}

// load sends requests at a rate until the end, and returns the answers.
func (l *lab) load(d *daemon, perSecond float64, end time.Time, make func(n int) call) []answer {
	var mu sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		c := make(n)
		group.Go(func() {
			got := l.send(d, c)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got)
		})
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	group.Wait()
	return answers
}

// served returns how many of the answers are successes.
func served(answers []answer) int {
	count := 0
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK {
			count++
		}
	}
	return count
}

// route returns a route of a manifest.
func route(name, prefix, kind, service string, changes map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": "api.example", "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 3000,
		"targetLatencyMs": 300, "priority": 0, "maxAttempts": 3, "allowAnonymous": false}
	for key, value := range changes {
		if value == nil {
			delete(r, key)
			continue
		}
		r[key] = value
	}
	return r
}

// manifest returns a manifest.
func manifest(version int, services []string, routes ...map[string]any) map[string]any {
	var declared []map[string]any
	for _, service := range services {
		s := map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 500, "protocol": "h1", "tls": false}
		if service == "pool" {
			s["engine"] = map[string]any{"slots": 64, "kvCapacityTokens": 565484, "stride": 4, "models": []map[string]any{{"name": "m-small", "cost": 0.02}, {"name": "m-large", "cost": 0.2}}}
		}
		declared = append(declared, s)
	}
	return map[string]any{"version": version, "routes": routes, "services": declared,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-a", "apiKeys": []string{"key-a"}, "priority": 1}, {"name": "tenant-b", "apiKeys": []string{"key-b"}, "priority": 1}}}
}
