package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	tornEvents   = 25
	tornInterval = 150 * time.Millisecond
)

// runWorkerProcess is a worker as a process of its own, whose streams have neither a length nor
// chunks and end with their channels. Its arguments are its address and its id.
func runWorkerProcess(args []string) {
	listener, err := net.Listen("tcp", args[0])
	must(err)
	fmt.Println("listening")
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(exitNoRun)
		}
		go serveUnframed(conn, args[1])
	}
}

func serveUnframed(conn net.Conn, self string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Attempt-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != self {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id, self)
		return
	}
	after := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &after)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
	for i := after + 1; i <= tornEvents; i++ {
		// One write an event: the stream never stops inside one.
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %d\n\n", i, i, tornEvents); err != nil {
			return
		}
		time.Sleep(tornInterval)
	}
}

// playTorn: a worker crashes in the middle of its streams, and is back, while the daemon is frozen.
// The rule is ORDER: no stream ends as complete before its last piece.
func playTorn(l *lab) {
	const (
		streams = 6
		freeze  = 4 * time.Second
		down    = 2 * time.Second
	)
	chat := route("chat", "/chat/", "stream", "pool", map[string]any{"resumable": true, "gapAimMs": 600, "timeoutMs": 20000, "targetLatencyMs": 1500})
	l.store.put("keyed.op", "config", manifest(3, []string{"pool"}, chat))
	address := [2]string{l.address(100, 8080), l.address(101, 8080)}
	var mu sync.Mutex
	ids := [2]string{"i-torn0", "i-torn1"}
	born := [2]int64{time.Now().UnixMilli(), time.Now().UnixMilli()}
	alive := [2]bool{true, true}
	sequence := [2]int{}
	register := func(i int) {
		mu.Lock()
		defer mu.Unlock()
		if !alive[i] {
			return
		}
		sequence[i]++
		l.store.put("keyed.servers", ids[i], map[string]any{"service": "pool", "address": address[i], "zone": "a", "version": "v1", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence[i], "born": born[i], "models": []any{}})
	}
	startProcess := func(i int) *syscallProcess {
		command := l.spawn("worker", address[i], ids[i])
		out, err := command.StdoutPipe()
		must(err)
		must(command.Start())
		_, err = bufio.NewReader(out).ReadString('\n')
		must(err)
		return &syscallProcess{command.Process}
	}
	process := [2]*syscallProcess{startProcess(0), startProcess(1)}
	for i := range 2 {
		register(i)
		go func() {
			for {
				time.Sleep(heartbeat)
				register(i)
			}
		}()
	}
	d := l.startDaemon(0, "a")
	l.awaitReady()
	time.Sleep(2 * time.Second)

	var group sync.WaitGroup
	answers := make([]answer, streams)
	for i := range streams {
		group.Go(func() {
			answers[i] = l.send(d, call{"POST", "/chat/1", "key-a", map[string]string{"Token-Counts": "20,100"}, 20 * time.Second})
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if l.trouble {
		d.signal(syscall.SIGSTOP)
		l.note("%s freezes", d.name)
		time.Sleep(300 * time.Millisecond)
		for i := range 2 {
			mu.Lock()
			alive[i] = false
			mu.Unlock()
			_ = process[i].Signal(syscall.SIGKILL)
			_, _ = process[i].Wait()
			l.note("worker %s crashes", ids[i])
		}
		time.Sleep(down)
		for i := range 2 {
			mu.Lock()
			alive[i], born[i], sequence[i] = true, time.Now().UnixMilli(), 0
			mu.Unlock()
			startProcess(i)
			register(i)
			l.note("worker %s is back", ids[i])
		}
		time.Sleep(freeze - down - 300*time.Millisecond)
		d.signal(syscall.SIGCONT)
		l.note("%s wakes", d.name)
	}
	group.Wait()
	torn, whole := 0, 0
	for _, a := range answers {
		last := strings.Contains(a.body, fmt.Sprintf("piece %d of", tornEvents))
		l.note("stream %s: status %d, %d of %d events, ended as complete: %t", a.id, a.status, strings.Count(a.body, "data: "), tornEvents, a.err == nil)
		switch {
		case a.err == nil && a.status == http.StatusOK && !last:
			torn++
		case a.err == nil && a.status == http.StatusOK:
			whole++
		}
	}
	if torn > 0 {
		l.finish(exitBroken, "ORDER: %d of %d streams ended as complete before their last piece", torn, streams)
	}
	l.finish(exitHeld, "%d of %d streams were whole, and none ended as complete before its last piece", whole, streams)
}

// syscallProcess is a process that this program started.
type syscallProcess struct{ *os.Process }
