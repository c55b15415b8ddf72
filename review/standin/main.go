// Command standin runs the script cases of the review. It holds the stand-ins of the platform's
// store and of clients, starts workers as processes of their own, and the project's daemons with
// the command of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cannotRun is the panic of a case that cannot run.
type cannotRun struct{ error }

// scenario is the state of one case.
type scenario struct {
	root, temp string
	trouble    bool
	record     *os.File
	began      time.Time
	log        *platformLog
	workers    []*worker
	daemons    []*daemon

	// failed is set once a part of the case could not run.
	failed atomic.Bool

	mu   sync.Mutex
	runs map[string][]workerRun
}

// guard runs a part of the case in a goroutine of its own.
func (c *scenario) guard(run func()) {
	defer func() {
		if problem, ok := recover().(cannotRun); ok {
			c.failed.Store(true)
			c.note("a part of the case cannot run: %v", problem.error)
		}
	}()
	run()
}

// note writes a line to the record.
func (c *scenario) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(c.record, line)
	fmt.Println(line)
}

func (c *scenario) addRun(run workerRun) {
	if run.Note != "" {
		c.note("worker %s, %s: %s", run.Worker, run.Attempt, run.Note)
		return
	}
	c.note("worker %s runs %s of %s, Last-Event-Id %q, %d bytes of body", run.Worker, run.Attempt, run.Path, run.LastEventID, run.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[run.Attempt] = append(c.runs[run.Attempt], run)
}

// runsOf returns the runs of a request so far.
func (c *scenario) runsOf(attempt string) []workerRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.runs[attempt])
}

func (c *scenario) startDaemon(number int) *daemon {
	d := newDaemon(c, number)
	c.daemons = append(c.daemons, d)
	return d
}

// close ends all processes that the case has started.
func (c *scenario) close() {
	for _, d := range c.daemons {
		d.kill()
	}
	for _, w := range c.workers {
		w.kill()
	}
	_ = c.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.temp)
	}
}

// closeOnSignal ends the case and its processes when it is interrupted.
func (c *scenario) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		c.close()
		os.Exit(exitCannotRun)
	}()
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*scenario) bool{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2]))
		os.Exit(exitCannotRun)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(run func(*scenario) bool, root, folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	c := &scenario{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), log: startLog(), runs: map[string][]workerRun{}}
	defer c.close()
	c.closeOnSignal()
	defer func() {
		if problem, ok := recover().(cannotRun); ok {
			c.note("the case cannot run: %v", problem.error)
			status = exitCannotRun
		}
	}()
	c.note("trouble: %t", c.trouble)
	broken := run(c)
	if c.failed.Load() {
		return exitCannotRun
	}
	if broken {
		c.note("RESULT: the rule was broken")
		return exitBroken
	}
	c.note("RESULT: the rule held")
	return exitHeld
}
