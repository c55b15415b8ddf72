package commander

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/runner"
	"quetzalgrade.example/quetzalgrade/platform"
)

// unacknowledgedTimeout is how long the log or an endpoint may leave sent bytes
// unacknowledged before the connection is closed. It is long enough for one lost
// packet to be retransmitted.
const unacknowledgedTimeout = 700 * time.Millisecond

// entryCommand returns the command that runs an entry daemon.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name:         "entry",
		Usage:        "run the daemon of an entry instance on the operators' platform",
		Description:  example("quetzalgrade entry --settings /etc/quetzalgrade/settings.toml"),
		OnUsageError: onUsageError,
		Flags: []cli.Flag{&cli.StringFlag{
			Name:     "settings",
			Usage:    "read the settings from `FILE`",
			Sources:  cli.EnvVars(platform.SettingsVariable),
			Required: true,
		}, &cli.FloatFlag{
			Name:  "memory",
			Usage: "keep the process within `MEGABYTES` of memory",
			Value: runner.DefaultMemory >> 20,
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			memory, err := parseMemory(command.Float("memory"))
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(int64(heapShare * float64(memory)))
			return runEntry(ctx, command.String("settings"), memory, command.Root().Writer)
		},
	}
}

const (
	// minMemory is the least memory that a daemon runs with, heapShare the share of the memory
	// that the runtime keeps its heap within. The rest is for the program itself and for what
	// the kernel holds of its connections.
	minMemory = 64 << 20
	heapShare = 0.75
	// maxMemory bounds a number that would not fit an integer.
	maxMemory = 1 << 40
)

// parseMemory returns a number of megabytes in bytes. It may have a fraction.
func parseMemory(megabytes float64) (int64, error) {
	bytes := megabytes * (1 << 20)
	if !(bytes >= minMemory && bytes <= maxMemory) {
		return 0, usageErrorf("memory of %v megabytes is out of range: want %d to %d", megabytes, minMemory>>20, maxMemory>>20)
	}
	return int64(bytes), nil
}

// runEntry runs an entry daemon until ctx ends and reloads its settings on
// SIGHUP.
func runEntry(ctx context.Context, file string, memory int64, logs io.Writer) error {
	settings, err := runner.LoadSettings(file)
	if err != nil {
		return err
	}
	network := connector.TCP{UserTimeout: unacknowledgedTimeout}
	log := platform.NewLog(&http.Client{Transport: connector.NewTransport(network)}, settings.LogAddress)
	reload := make(chan struct{}, 1)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	daemon, err := runner.New(settings, runner.Dependencies{
		Network:       network,
		Translator:    platform.Translator{},
		OperatorTopic: log.Operator(),
		EndpointTopic: log.Endpoints(),
		StatusTopic:   log.Status(),
		ResultsTopic:  log.Results(),
		ReaderTopic:   log.Readers(settings.Zone),
		ContactTopic:  log.Contacts(),
		Clock:         runner.SinceBoot,
		LogOutput:     logs,
		Memory:        memory,
		ReloadSignal:  reload,
		LoadSettings:  func() (runner.Settings, error) { return runner.LoadSettings(file) },
	})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
