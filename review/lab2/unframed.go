package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unframed"] = playUnframed }

const (
	streamEvents  = 13
	eventPause    = 25 * time.Millisecond
	streamWorkers = 12
	streamClients = 160
	// crashing workers of streamWorkers crash at once, every crashPause.
	crashing   = 3
	crashPause = 2 * time.Second
	// expiry is when the entry of a crashed worker is removed: three ping intervals.
	expiry     = 3600 * time.Millisecond
	streamTime = 80 * time.Second
)

// runStreamWorker is the main function of a worker process: it answers with streams that have no length
// and end with their channel.
func runStreamWorker(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	fmt.Println(listener.Addr())
	go func() {
		// The end of the input is the end of the process that has started this one.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer connection.Close()
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
				fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request.Header.Get("Attempt-Id"))
				return
			}
			after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request.Header.Get("Attempt-Id"), id)
			for n := after + 1; n <= streamEvents; n++ {
				time.Sleep(eventPause)
				if _, err := fmt.Fprintf(connection, "id: %d\ndata: piece %d of %s\n\n", n, n, request.Header.Get("Attempt-Id")); err != nil {
					return
				}
			}
		}()
	}
}

// streamWorker is a worker process and its entry.
type streamWorker struct {
	id      string
	command *exec.Cmd
}

func (l *lab) startStreamWorker(id string) *streamWorker {
	program, err := os.Executable()
	must(err)
	w := &streamWorker{id: id, command: exec.Command(program, "-worker", id)}
	out, err := w.command.StdoutPipe()
	must(err)
	_, err = w.command.StdinPipe()
	must(err)
	must(w.command.Start())
	address, err := bufio.NewReader(out).ReadString('\n')
	must(err)
	value, err := json.Marshal(map[string]any{"service": "helper", "address": strings.TrimSpace(address), "zone": "a", "version": "v1",
		"slots": 128, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	must(err)
	l.store.put("keyed.servers", id, value)
	l.note("worker %s starts at %s", id, strings.TrimSpace(address))
	return w
}

func (w *streamWorker) kill() {
	_ = w.command.Process.Kill()
	_ = w.command.Wait()
}

// playUnframed plays workers whose streams have no length, and of which a quarter crash again and again.
func playUnframed(l *lab) bool {
	l.publish(1, []route{
		{Name: "chat", Host: "helper.example", PathPrefix: "/chat/", Kind: "stream", Service: "helper", TimeoutMs: 8000, TargetLatencyMs: 1500, GapAimMs: 600, MaxAttempts: 3, Resumable: true},
	}, "helper")
	var workers []*streamWorker
	for i := range streamWorkers {
		workers = append(workers, l.startStreamWorker(fmt.Sprintf("i-%d-0", i)))
	}
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	l.startDaemons("a", "a", "a")
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), streamTime)
	defer cancel()
	var short, whole, broken atomic.Int64
	var group sync.WaitGroup
	for i := range streamClients {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c := &client{address: l.daemons[i%len(l.daemons)].front}
				id := fmt.Sprintf("%03d%06d%08x", i, n, rand.Uint32())
				got := c.send("POST", "helper.example", "/chat/1", id, 8*time.Second, []byte("x"), "")
				events := strings.Count(string(got.body), "\n\n")
				switch {
				case got.err != nil || got.status != 200:
					broken.Add(1)
					l.note("client: %s status %d, %d pieces, then broken off or refused: %v", id, got.status, events, got.err)
				case events < streamEvents:
					short.Add(1)
					l.note("ORDER: stream %s is complete after %d of %d pieces", id, events, streamEvents)
				default:
					whole.Add(1)
					l.note("client: %s whole", id)
				}
				c.close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for round := 1; l.trouble && ctx.Err() == nil; round++ {
		time.Sleep(crashPause)
		for _, i := range rand.Perm(len(workers))[:crashing] {
			old := workers[i]
			l.note("worker %s crashes", old.id)
			old.kill()
			time.AfterFunc(expiry, func() { l.store.put("keyed.servers", old.id, nil) })
			workers[i] = l.startStreamWorker(fmt.Sprintf("i-%d-%d", i, round))
		}
	}
	group.Wait()
	l.note("ORDER: %d streams complete and short; %d whole, %d broken off", short.Load(), whole.Load(), broken.Load())
	fmt.Printf("short %d, whole %d, broken %d\n", short.Load(), whole.Load(), broken.Load())
	return short.Load() > 0
}
