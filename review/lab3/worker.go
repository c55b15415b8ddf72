package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	id      string
	session string
	at      time.Time
	status  int
}

// statusCrashed marks the arrival of a request that crashed the worker.
const statusCrashed = -1

// worker is a stand-in of a worker. It follows the pages: it answers 421 to a request for another
// worker or with a model that is none of its own, and else runs the request.
type worker struct {
	lab     *lab
	id      string
	service string
	zone    string
	version string
	address string
	slots   int
	models  []string
	// work is how long a plain request runs. fails returns whether a run ends with 500.
	work  time.Duration
	fails func() bool
	// poison is the id of a part of prompts that crashes the worker, or empty.
	poison string

	mu       sync.Mutex
	state    string
	sequence int
	born     int64
	gone     bool
	down     bool
	arrivals []arrival
	listener net.Listener
	conns    map[net.Conn]bool
}

// startWorker starts a worker that writes its registration.
func (l *lab) startWorker(index int, w *worker) *worker {
	w.lab, w.address = l, l.address(100+index, 8080)
	w.id = fmt.Sprintf("i-%04x%04x", index, time.Now().UnixNano()&0xffff)
	w.state, w.born = "ready", time.Now().UnixMilli()
	if w.slots == 0 {
		w.slots = 64
	}

	w.listen()
	w.register()
	go w.beat()
	l.workers = append(l.workers, w)
	return w
}

// listen accepts connections.
func (w *worker) listen() {
	listener, err := net.Listen("tcp", w.address)
	must(err)
	w.mu.Lock()
	w.listener, w.conns = listener, map[net.Conn]bool{}
	w.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
}

// crash closes the listener and all channels, as the end of a process does. The worker is back
// after some seconds, under the id that it had.
func (w *worker) crash() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
	w.mu.Unlock()
	w.lab.note("worker %s crashes", w.id)
	time.AfterFunc(crashTime, func() {
		w.listen()
		w.mu.Lock()
		w.down, w.born, w.sequence = false, time.Now().UnixMilli(), 0
		w.mu.Unlock()
		w.register()
		w.lab.note("worker %s is back", w.id)
	})
}

// crashTime is how long a worker is down after a crash.
const crashTime = 3 * time.Second

// register writes the registration, and returns when the store has accepted it.
func (w *worker) register() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	models := []map[string]any{}
	for _, model := range w.models {
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return w.lab.store.put("keyed.servers", w.id, map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version,
		"slots": w.slots, "state": w.state, "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born, "models": models})
}

func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		gone, down := w.gone, w.down
		w.mu.Unlock()
		if gone {
			return
		}
		if !down {
			w.register()
		}
	}
}

// drain reports draining, and returns the time of the ack. The worker serves on.
func (w *worker) drain() time.Time {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	return w.register()
}

func (w *worker) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		at := time.Now()
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Attempt-Id")
		if w.poison != "" && strings.Contains(request.Header.Get("Prompt-Prefix"), w.poison+":") {
			w.mu.Lock()
			w.arrivals = append(w.arrivals, arrival{id, request.Header.Get("Session"), at, statusCrashed})
			w.mu.Unlock()
			w.lab.note("worker %s begins to answer id %s, which has the part %s", w.id, id, w.poison)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\nConfidence: 90\r\nContent-Type: text/event-stream\r\nContent-Length: 600\r\n\r\nid: 1\ndata: piece 1\n\n", id, id)
			time.Sleep(5 * time.Millisecond)
			w.crash()
			return
		}
		status := w.answer(conn, request)
		w.mu.Lock()
		w.arrivals = append(w.arrivals, arrival{id, request.Header.Get("Session"), at, status})
		w.mu.Unlock()
		w.lab.note("worker %s (%s %s) got %s %s id %s model %q, answered %d", w.id, w.service, w.version, request.Method, request.URL.Path, id, request.Header.Get("Model"), status)
	}
}

// answer answers one request and returns its status.
func (w *worker) answer(conn net.Conn, request *http.Request) int {
	id := request.Header.Get("Attempt-Id")
	refuse := func() int {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
		return http.StatusMisdirectedRequest
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		return refuse()
	}
	model := request.Header.Get("Model")
	if len(w.models) > 0 && !slices.Contains(w.models, model) {
		return refuse()
	}
	time.Sleep(w.work)
	if w.fails != nil && w.fails() {
		body := "failed\n"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
		return http.StatusInternalServerError
	}
	if len(w.models) > 0 {
		body := strings.Builder{}
		for i := 1; i <= 3; i++ {
			_, _ = fmt.Fprintf(&body, "id: %d\ndata: piece %d\n\n", i, i)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\nConfidence: 90\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, id, body.Len(), body.String())
		return http.StatusOK
	}
	body := "served " + id + "\n"
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	return http.StatusOK
}
