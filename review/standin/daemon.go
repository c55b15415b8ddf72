package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Figures of the deployment's sheet that the settings carry.
var sheet = map[string]string{
	"platform.writesPerS":     "400",
	"platform.readsPerS":      "2000",
	"bounds.revokeMs":         "5000",
	"bounds.drainMs":          "2000",
	"bounds.graceS":           "8",
	"bounds.retryBudgetRatio": "0.9",
	"bounds.exposeShare":      "0.15",
	"bounds.exposeSlack":      "30",
	"bounds.sessionS":         "5",
}

// daemon is an entry daemon as a process of its own.
type daemon struct {
	name, client, ready string
	settings            string
	dir                 string
	command             *exec.Cmd
	done                chan struct{}
}

// freePort returns a loopback address that is free now.
func freePort() string {
	listener := listenLoopback()
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newDaemon renders the deploy file's template of the settings and starts the daemon with the
// deploy file's command. Each daemon has a loopback address of its own.
func newDaemon(c *scenario, number int) *daemon {
	ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()%250, number)
	d := &daemon{name: fmt.Sprintf("front-%d", number), dir: c.temp}
	port := func() string {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(cannotRun{err})
		}
		defer func() { _ = listener.Close() }()
		return strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)
	}
	d.client, d.ready = ip+":"+port(), ip+":"+port()
	values := map[string]string{
		"nodeName": d.name, "zone": "ouse", "ip": ip, "listen.front": d.client, "listen.ready": d.ready,
		"internalPorts.0": port(), "platform.address": c.log.address,
	}
	template, err := os.ReadFile(filepath.Join(c.root, "platform", "settings.toml"))
	if err != nil {
		panic(cannotRun{err})
	}
	text := string(template)
	for _, fields := range []map[string]string{sheet, values} {
		for name, value := range fields {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
	}
	d.settings = filepath.Join(c.temp, d.name+".toml")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		panic(cannotRun{err})
	}
	d.start(c)
	return d
}

// start starts the process and waits until it is ready.
func (d *daemon) start(c *scenario) {
	output, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(cannotRun{err})
	}
	d.command = exec.Command(filepath.Join(c.root, "target", "quetzalgrade"), "entry")
	d.command.Dir = c.root
	d.command.Env = []string{"QUETZALGRADE_BOOT=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.command.Stdout, d.command.Stderr = output, output
	c.startProcess(d.command)
	_ = output.Close()
	command := d.command
	d.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(d.done)
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/quetzalgrade/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(began) > 10*time.Second {
			panic(cannotRun{fmt.Errorf("%s is not ready", d.name)})
		}
	}
}

func (d *daemon) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// residentMB returns the resident memory of the process, and false once it has ended.
func (d *daemon) residentMB() (float64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024, err == nil
		}
	}
	return 0, false
}

// kill ends the process with SIGKILL and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.done
}
