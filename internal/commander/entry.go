package commander

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
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
		}, &cli.StringFlag{
			Name:  "cold",
			Usage: "send a cold endpoint at most `FACTOR` times its declared rate, in place of bounds.cold; empty: no change",
		}, &cli.StringFlag{
			Name:  "margin",
			Usage: "and `REQUESTS` more in any second, in place of bounds.margin; empty: no change",
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			memory, err := parseMemory(command.Float("memory"))
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(int64(heapShare * float64(memory)))
			bounds, err := parseColdBounds(command.String("cold"), command.String("margin"))
			if err != nil {
				return err
			}
			load := func() (runner.Settings, error) {
				settings, err := runner.LoadSettings(command.String("settings"))
				bounds.apply(&settings)
				return settings, err
			}
			return runEntry(ctx, load, memory, command.Root().Writer)
		},
	}
}

// coldBounds are bounds of cold endpoints that replace those of the settings. They are nil if they
// are not given: a platform without them leaves their flags empty, whereas a number that is missing
// in a settings file would make it invalid.
type coldBounds struct {
	factor, margin *float64
}

// maxColdFactor bounds the factor, as in the settings.
const maxColdFactor = 10

// parseColdBounds parses the flags of the bounds. Either may be empty.
func parseColdBounds(factor, margin string) (coldBounds, error) {
	var bounds coldBounds
	var err error
	if bounds.factor, err = parseBound("cold", factor, maxColdFactor); err != nil {
		return coldBounds{}, err
	}
	if bounds.margin, err = parseBound("margin", margin, math.MaxFloat64); err != nil {
		return coldBounds{}, err
	}
	return bounds, nil
}

// parseBound parses a number from 0 to the highest that is allowed. It returns nil if the text is
// empty.
func parseBound(name, text string, highest float64) (*float64, error) {
	if text == "" {
		return nil, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= highest) {
		return nil, usageErrorf("--%s %q is out of range: want a number from 0 to %v", name, text, highest)
	}
	return &value, nil
}

// apply replaces the bounds of the settings by those that are given. A factor of 0 counts as missing,
// as in the settings.
func (b coldBounds) apply(settings *runner.Settings) {
	if b.factor != nil && *b.factor > 0 {
		settings.ColdFactor = *b.factor
	}
	if b.margin != nil {
		settings.ColdMargin = *b.margin
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

// runEntry runs an entry daemon with the settings that load returns until ctx ends, and loads them
// again on SIGHUP.
func runEntry(ctx context.Context, load func() (runner.Settings, error), memory int64, logs io.Writer) error {
	settings, err := load()
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
		LoadSettings:  load,
	})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
