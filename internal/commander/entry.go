package commander

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
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
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runEntry(ctx, command.String("settings"), command.Root().Writer)
		},
	}
}

// runEntry runs an entry daemon until ctx ends and reloads its settings on
// SIGHUP.
func runEntry(ctx context.Context, file string, logs io.Writer) error {
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
		ReloadSignal:  reload,
		LoadSettings:  func() (runner.Settings, error) { return runner.LoadSettings(file) },
	})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
