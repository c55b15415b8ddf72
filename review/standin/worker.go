package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// workerSetup is the configuration of a worker's process.
type workerSetup struct {
	ID      string
	Address string
	Service string
	// Work is how long a plain request runs.
	Work time.Duration
	// Events is the number of events of a stream, Interval the time between two.
	Events   int
	Interval time.Duration
	// FirstEventID is the id of the first event.
	FirstEventID int
	// FailShare is the part of its requests that the worker fails, with FailStatus. It has run
	// them then.
	FailShare  float64
	FailStatus int
	// Plain makes the worker a ledgerServer. ExtraShare is the part of its requests to which it
	// sends a second answer.
	Plain      bool
	ExtraShare float64
}

// workerRun is a line that a worker writes when it begins to run a request.
type workerRun struct {
	Worker, Attempt, Path, LastEventID string
	Body                               int
	// Note is set if the line says something else than that the worker runs the request.
	Note string
}

const workerSlots = 16

// runWorker is the main function of a worker's process.
func runWorker(text string) error {
	var setup workerSetup
	if err := json.Unmarshal([]byte(text), &setup); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", setup.Address)
	if err != nil {
		return err
	}
	if setup.Plain {
		return (&ledgerServer{workerSetup: setup}).serve(listener)
	}
	return http.Serve(listener, &workerServer{workerSetup: setup})
}

type workerServer struct {
	workerSetup
	active atomic.Int64
	mu     sync.Mutex
}

func (s *workerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if r.Header.Get("Expect-Instance") != s.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer s.active.Add(-1)
	if s.active.Add(1) > workerSlots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	_ = json.NewEncoder(os.Stdout).Encode(workerRun{Worker: s.ID, Attempt: attempt, Path: r.URL.Path, LastEventID: r.Header.Get("Last-Event-Id"), Body: int(body)})
	s.mu.Unlock()
	w.Header().Set("Response-Signature", s.ID+"."+attempt)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.active.Load(), workerSlots))
	time.Sleep(s.Work)
	if fails(s.ID, attempt, s.FailShare) {
		http.Error(w, "the worker failed", s.FailStatus)
		return
	}
	if s.Events == 0 {
		_, _ = io.WriteString(w, "done "+attempt+"\n")
		return
	}
	resumedAfter, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	first := s.FirstEventID
	if err == nil {
		first = resumedAfter + 1
	}
	s.stream(w, r, attempt, first)
}

// stream writes the events of a request from a first one on.
func (s *workerServer) stream(w http.ResponseWriter, r *http.Request, attempt string, first int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first; id < s.FirstEventID+s.Events; id++ {
		_, _ = io.WriteString(w, eventText(attempt, id))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(s.Interval):
		case <-r.Context().Done():
			return
		}
	}
}

// eventText returns the only correct event with an id in the stream of a request.
func eventText(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", id, attempt, id)
}

// worker is a worker as a process of its own.
type worker struct {
	setup   workerSetup
	command *exec.Cmd
	stop    chan struct{}
}

// newWorker starts a worker and registers it.
func newWorker(c *scenario, setup workerSetup) *worker {
	if setup.Address == "" {
		setup.Address = freePort()
	}
	text, err := json.Marshal(setup)
	if err != nil {
		panic(cannotRun{err})
	}
	w := &worker{setup: setup, command: exec.Command(os.Args[0], "worker", string(text)), stop: make(chan struct{})}
	output, err := w.command.StdoutPipe()
	if err != nil {
		panic(cannotRun{err})
	}
	c.startProcess(w.command)
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			var run workerRun
			if json.Unmarshal(lines.Bytes(), &run) == nil {
				c.addRun(run)
			}
		}
	}()
	awaitListening(setup.Address)
	go w.register(c.log)
	c.workers = append(c.workers, w)
	return w
}

func awaitListening(address string) {
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		if connection, err := net.Dial("tcp", address); err == nil {
			_ = connection.Close()
			return
		}
	}
	panic(cannotRun{fmt.Errorf("nothing listens on %s", address)})
}

const heartbeat = 1200 * time.Millisecond

// register writes the worker's entry every heartbeat until the worker is killed. The entry expires
// after three more.
func (w *worker) register(log *platformLog) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		log.put(topicWorkers, w.setup.ID, map[string]any{
			"service": w.setup.Service, "address": w.setup.Address, "zone": "ouse", "version": "v1", "slots": workerSlots,
			"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
		select {
		case <-time.After(heartbeat):
		case <-w.stop:
			time.Sleep(3 * heartbeat)
			log.remove(topicWorkers, w.setup.ID)
			return
		}
	}
}

// kill ends the worker with SIGKILL: a crash. Its entry stays until it expires.
func (w *worker) kill() {
	select {
	case <-w.stop:
		return
	default:
	}
	close(w.stop)
	_ = w.command.Process.Kill()
	_ = w.command.Wait()
}
