package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// daemon is a process of the project, started with the command of the deploy file.
type daemon struct {
	name, zone             string
	front, ready           string
	command                *exec.Cmd
	settings, program, log string
	exited                 chan struct{}
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// newDaemon writes the settings of a daemon, as the template of the project has them for a small
// deployment, and starts it.
func newDaemon(name, zone, storeAddress, directory, program string, repeats float64) *daemon {
	d := &daemon{name: name, zone: zone, front: freeAddress(), ready: freeAddress(), program: program}
	d.settings = filepath.Join(directory, name+".toml")
	d.log = filepath.Join(directory, name+".log")
	text := fmt.Sprintf(`name = "%s"
zone = "%s"
log = "info"

[listen]
callers = "%s"
ready = "%s"
metrics = "%s"
relay = "%s"

[store]
address = "%s"
writes = 400
reads = 2000

[bounds]
revoke = "5000ms"
leave = "2000ms"
grace = "8s"
repeats = %v
expose = 0.15
slack = 30
session = "5s"
`, name, zone, d.front, d.ready, freeAddress(), freeAddress(), storeAddress, repeats)
	must(os.WriteFile(d.settings, []byte(text), 0o600))
	d.start()
	return d
}

func (d *daemon) start() {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	d.command = exec.Command(d.program, "entry", "--memory", "284", "--cold=", "--margin=")
	d.command.Env = []string{"QUETZALGRADE_BOOT=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.command.Stdout, d.command.Stderr = out, out
	must(d.command.Start())
	d.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = out.Close()
		close(exited)
	}(d.command, d.exited)
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

// isReady asks the readiness address, as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/quetzalgrade/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready, and reports whether it is.
func (d *daemon) awaitReady(longest time.Duration) bool {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	select {
	case <-d.exited:
	case <-time.After(5 * time.Second):
	}
}
