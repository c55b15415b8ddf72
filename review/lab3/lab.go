// Command lab3 plays the cases of the third review: it starts the daemons of the deploy file as
// processes, with stand-ins of the platform, of workers and of clients, and judges one rule.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// Bounds of the deployment, as in the settings of a small one.
const (
	drainTime = 2 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// lab is a deployment on loopback addresses.
type lab struct {
	start   time.Time
	trouble bool
	dir     string
	prefix  string
	store   *store

	finished atomic.Bool

	mu      sync.Mutex
	lines   []string
	daemons []*daemon
	others  []*exec.Cmd
	workers []*worker
	lastID  int
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// note adds a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%9.4f ", time.Since(l.start).Seconds())+fmt.Sprintf(format, args...))
}

func (l *lab) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(l.start).Seconds()) }

// newLab chooses a free loopback prefix.
func newLab() *lab {
	l := &lab{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	for range 100 {
		l.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.Intn(200), 1+rand.Intn(250))
		listener, err := net.Listen("tcp", l.address(2, 8223))
		if err == nil {
			_ = listener.Close()
			break
		}
	}
	l.dir = os.Getenv(directoryVariable)
	l.store.listen(l.address(2, 8223))
	return l
}

func (l *lab) address(host, port int) string { return fmt.Sprintf("%s%d:%d", l.prefix, host, port) }

// daemon is a running entry daemon.
type daemon struct {
	name    string
	address string
	ready   string
	command *exec.Cmd
}

// daemonBinary is the program that the build line of the deploy file builds.
func daemonBinary() string {
	root := os.Getenv("LAB_ROOT")
	if root == "" {
		root = "."
	}
	path, err := filepath.Abs(filepath.Join(root, "target", "quetzalgrade"))
	must(err)
	return path
}

// startDaemon starts a daemon with settings as the platform renders them.
func (l *lab) startDaemon(index int, zone string) *daemon {
	host := 10 + index
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, index), address: l.address(host, 8227), ready: l.address(host, 8220)}
	settings := fmt.Sprintf(`name = %q
zone = %q
log = "info"

[listen]
callers = %q
ready = %q
metrics = %q
relay = %q

[store]
address = %q
writes = 400
reads = 2000

[bounds]
revoke = "5000ms"
leave = "2000ms"
grace = "8s"
repeats = 0.9
expose = 0.15
slack = 30
session = "5s"
`, d.name, zone, d.address, d.ready, l.address(host, 9464), l.address(host, 7340), l.address(2, 8223))
	file := filepath.Join(l.dir, d.name+".toml")
	must(os.WriteFile(file, []byte(settings), 0o600))
	logs, err := os.Create(filepath.Join(l.dir, d.name+".log"))
	must(err)
	d.command = exec.Command(daemonBinary(), "entry", "--memory", "284", "--cold=", "--margin=")
	d.command.Env = append(os.Environ(), "QUETZALGRADE_BOOT="+file)
	d.command.Stdout, d.command.Stderr = logs, logs
	must(d.command.Start())
	l.mu.Lock()
	l.daemons = append(l.daemons, d)
	l.mu.Unlock()
	return d
}

// awaitReady waits until the daemons are ready.
func (l *lab) awaitReady() {
	deadline := time.Now().Add(25 * time.Second)
	for _, d := range l.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				l.finish(exitNoRun, "daemon %s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.note("%d daemons are ready", len(l.daemons))
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/quetzalgrade/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the daemon's process at once, restart starts it again with the same settings.
func (d *daemon) kill() {
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
}

func (l *lab) restart(d *daemon) {
	old := d.command
	d.command = exec.Command(old.Path, old.Args[1:]...)
	d.command.Env, d.command.Stdout, d.command.Stderr = old.Env, old.Stdout, old.Stderr
	must(d.command.Start())
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// spawn starts another process of this program.
func (l *lab) spawn(args ...string) *exec.Cmd {
	self, err := os.Executable()
	must(err)
	command := exec.Command(self, args...)
	command.Stderr = os.Stderr
	l.mu.Lock()
	l.others = append(l.others, command)
	l.mu.Unlock()
	return command
}

// nextID returns the id of a new client attempt.
func (l *lab) nextID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), l.lastID)
}

// finish ends all processes, writes the record and exits. Only the first call does.
func (l *lab) finish(code int, format string, args ...any) {
	if !l.finished.CompareAndSwap(false, true) {
		select {}
	}
	verdict := map[int]string{exitHeld: "HELD", exitBroken: "BROKEN", exitNoRun: "COULD NOT RUN"}[code] + ": " + fmt.Sprintf(format, args...)
	l.note("%s", verdict)
	for _, d := range l.daemons {
		d.signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
		_ = d.command.Wait()
	}
	for _, command := range l.others {
		if command.Process != nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	}
	l.mu.Lock()
	lines := append([]string{}, l.lines...)
	l.mu.Unlock()
	sort.Strings(lines)
	if folder := os.Getenv("LAB_FOLDER"); folder != "" {
		_ = os.WriteFile(filepath.Join(folder, "record.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
	}
	fmt.Println(verdict)
	os.Exit(code)
}

// maxTime is how long a case may take, with the end of its processes.
const maxTime = 110 * time.Second

func main() {
	switch {
	case len(os.Args) < 2:
		fmt.Println("usage: lab3 CASE")
		os.Exit(exitNoRun)
	case os.Args[1] == "worker":
		runWorkerProcess(os.Args[2:])
	case os.Getenv(childVariable) == "":
		os.Exit(supervise(os.Args[1]))
	default:
		runCase(os.Args[1])
	}
}

const (
	// childVariable is set for the process that plays the case, directoryVariable is the directory
	// of its temporary files.
	childVariable     = "LAB_CHILD"
	directoryVariable = "LAB_DIRECTORY"
)

// supervise plays a case in a process of its own, and ends all that was started with it, however the
// case ends: the processes of a case are a group, which is that of the first one.
func supervise(name string) int {
	directory, err := os.MkdirTemp("", "lab3-")
	must(err)
	defer func() { _ = os.RemoveAll(directory) }()
	self, err := os.Executable()
	must(err)
	child := exec.Command(self, name)
	child.Env = append(os.Environ(), childVariable+"=1", directoryVariable+"="+directory)
	child.Stdout, child.Stderr = os.Stdout, os.Stderr
	child.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	must(child.Start())
	group := child.Process.Pid
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	code := exitNoRun
	select {
	case <-ended:
		if got := child.ProcessState.ExitCode(); got == exitHeld || got == exitBroken {
			code = got
		}
	case got := <-signals:
		fmt.Println("COULD NOT RUN: ended by signal:", got)
	case <-time.After(maxTime):
		fmt.Println("COULD NOT RUN: the case took too long")
	}
	_ = syscall.Kill(-group, syscall.SIGKILL)
	return code
}

// runCase plays a case and exits.
func runCase(name string) {
	runtime.GOMAXPROCS(max(2, runtime.NumCPU()/2))
	plays := map[string]func(*lab){"model": playModel, "drain": playDrain, "torn": playTorn, "revoke": playRevoke, "poison": playPoison, "again": playAgain}
	play := plays[name]
	if play == nil {
		fmt.Println("unknown case", name)
		os.Exit(exitNoRun)
	}
	l := newLab()
	defer func() {
		if problem := recover(); problem != nil {
			l.finish(exitNoRun, "%v", problem)
		}
	}()
	l.note("trouble=%t", l.trouble)
	play(l)
}

// sortTimes sorts times.
func sortTimes(times []time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
}
