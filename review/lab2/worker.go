package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker. It speaks the wire protocol byte by byte, so that it can also
// break it.
type worker struct {
	id, service, zone, version string
	address                    string
	slots                      int
	born                       int64
	store                      *store
	sequence                   atomic.Int64
	draining                   atomic.Bool
	listener                   net.Listener
	// serve answers one request. It returns false if the channel is to be closed.
	serve func(w *worker, request *workerRequest, connection net.Conn) bool

	left     atomic.Bool
	stopOnce sync.Once
}

// allWorkers are the workers of the case.
var allWorkers struct {
	sync.Mutex
	list []*worker
}

// leave ends the worker and removes its entry.
func (w *worker) leave() {
	w.left.Store(true)
	w.stopOnce.Do(func() {
		_ = w.listener.Close()
		w.store.put("keyed.servers", w.id, nil)
	})
}

// workerRequest is a request as the worker has read it.
type workerRequest struct {
	*http.Request
	id   string
	body []byte
}

func newWorker(s *store, id, service, zone, version string, slots int, serve func(*worker, *workerRequest, net.Conn) bool) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w := &worker{id: id, service: service, zone: zone, version: version, slots: slots, store: s, serve: serve,
		listener: listener, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	allWorkers.Lock()
	allWorkers.list = append(allWorkers.list, w)
	allWorkers.Unlock()
	w.register()
	go w.accept()
	return w
}

// register writes the worker's entry. Its pings do not change the entry, since only the sequence
// would change.
func (w *worker) register() {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version,
		"slots": w.slots, "state": state, "coldRemainingMs": 0, "sequence": w.sequence.Add(1), "born": w.born})
	must(err)
	w.store.put("keyed.servers", w.id, value)
}

func (w *worker) accept() {
	for {
		connection, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.run(connection)
	}
}

func (w *worker) run(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || w.left.Load() {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r := &workerRequest{Request: request, id: request.Header.Get("Attempt-Id"), body: body}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if !w.serve(w, r, connection) {
			return
		}
	}
}

// answerBody returns the bytes that a worker answers a request with: 800 of them, which differ
// from request to request.
func answerBody(id string) []byte {
	random := rand.New(rand.NewPCG(uint64(crc32.ChecksumIEEE([]byte(id))), 1))
	var body bytes.Buffer
	for body.Len() < 800 {
		body.WriteString(strconv.FormatUint(random.Uint64(), 36))
	}
	return body.Bytes()[:800]
}

// signature returns the worker's digest of a body.
func signature(body []byte) string {
	return fmt.Sprintf("%x.%x", len(body), crc32.ChecksumIEEE(body))
}

// head returns the head of an answer with a body.
func (w *worker) head(status int, id string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: application/octet-stream\r\nServer-Load: 1,0,%d\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, signature(body), w.slots, len(body))
}
