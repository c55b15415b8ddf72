// Command standin runs the script cases of the review. It holds the stand-ins of the platform's
// store and of clients, starts workers as processes of their own, and the project's daemons with
// the command of the deploy file.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
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

	// processes guards started, the processes of the case, and closing.
	processes sync.Mutex
	started   []*exec.Cmd
	closing   bool

	// failed is set once a part of the case could not run.
	failed atomic.Bool

	mu   sync.Mutex
	runs map[string][]workerRun
}

// guard runs a part of the case in a goroutine of its own. A panic means that the case cannot run.
func (c *scenario) guard(run func()) {
	defer func() {
		if problem := recover(); problem != nil {
			c.failed.Store(true)
			c.note("a part of the case cannot run: %v", problem)
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

// startProcess starts a process unless the case is being closed.
func (c *scenario) startProcess(command *exec.Cmd) {
	c.processes.Lock()
	defer c.processes.Unlock()
	if c.closing {
		panic(cannotRun{errors.New("the case is being closed")})
	}
	if err := command.Start(); err != nil {
		panic(cannotRun{err})
	}
	c.started = append(c.started, command)
}

// close ends all processes that the case has started.
func (c *scenario) close() {
	c.processes.Lock()
	c.closing = true
	for _, command := range c.started {
		// A process that has ended and was waited for is not signalled.
		_ = command.Process.Kill()
	}
	c.processes.Unlock()
	_ = os.RemoveAll(c.temp)
}

// timeLimit is the time after which a case that has not ended is closed.
const timeLimit = 110 * time.Second

// closeEarly ends the case and its processes when it is interrupted or takes too long.
func (c *scenario) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		c.note("the case is closed early")
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
	c.closeEarly()
	defer func() {
		if problem := recover(); problem != nil {
			c.note("the case cannot run: %v", problem)
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
