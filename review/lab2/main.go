// Command lab2 plays one case of the review: it starts daemons of the project as processes, between
// stand-ins of the platform's store, of workers and of clients, and judges what these have seen.
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// errRun is the panic of a case that cannot run.
type errRun struct{ error }

func must(err error) {
	if err != nil {
		panic(errRun{err})
	}
}

// lab holds what a case needs.
type lab struct {
	trouble   bool
	directory string
	program   string
	store     *store
	daemons   []*daemon
	// proxied is set if the daemons reach the store through proxies, one for each of them.
	proxied bool
	proxies []*proxy

	mu      sync.Mutex
	record  *bufio.Writer
	started time.Time
}

// note writes a line to record.txt.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// startDaemons starts daemons, and waits until all of them are ready.
func (l *lab) startDaemons(zones ...string) {
	for i, zone := range zones {
		address := l.store.listen()
		if l.proxied {
			proxy := newProxy(address)
			l.proxies = append(l.proxies, proxy)
			address = proxy.address
		}
		d := newDaemon(fmt.Sprintf("front-%s-%d", zone, i+1), zone, address, l.directory, l.program, 0.9)
		l.mu.Lock()
		l.daemons = append(l.daemons, d)
		l.mu.Unlock()
	}
	for _, d := range l.daemons {
		if !d.awaitReady(15 * time.Second) {
			panic(errRun{fmt.Errorf("%s is not ready", d.name)})
		}
	}
}

// longest is the time after which a case that hangs is ended.
const longest = 100 * time.Second

// endInTime ends the daemons and the case if it hangs or is told to stop.
func (l *lab) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		l.killDaemons()
		os.Exit(2)
	}()
}

func (l *lab) killDaemons() {
	l.mu.Lock()
	daemons := l.daemons
	l.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
}

var cases = map[string]func(*lab) bool{}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/quetzalgrade", "the program under test")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	worker := flag.String("worker", "", "run as the worker process of that id")
	flag.Parse()
	if *worker != "" {
		runStreamWorker(*worker)
		return
	}
	os.Exit(play(*name, *program, *record))
}

func play(name, program, record string) (status int) {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	directory, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return 2
	}
	file, err := os.Create(record)
	if err != nil {
		return 2
	}
	absolute, _ := filepath.Abs(program)
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", directory: directory, program: absolute, store: newStore(), record: bufio.NewWriter(file), started: time.Now()}
	l.endInTime()
	defer func() {
		if problem := recover(); problem != nil {
			l.note("the case could not run: %v", problem)
			status = 2
		}
		l.killDaemons()
		l.note("exit status %d", status)
		_ = l.record.Flush()
		_ = file.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(directory)
		} else {
			fmt.Println(directory)
		}
	}()
	if run(l) {
		return 1
	}
	return 0
}
