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

// maxSilence is how long the log or an endpoint may leave bytes unacknowledged;
// it lets one lost packet be sent again.
const maxSilence = 700 * time.Millisecond

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:         "entry",
		Usage:        "run the daemon of an entry instance on the operators' platform",
		Description:  example("quetzalgrade entry --settings /etc/quetzalgrade/settings.toml"),
		OnUsageError: wrongUse,
		Flags: []cli.Flag{&cli.StringFlag{
			Name:     "settings",
			Usage:    "settings `FILE`",
			Sources:  cli.EnvVars(platform.SettingsVariable),
			Required: true,
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return entry(ctx, command.String("settings"), command.Root().Writer)
		},
	}
}

func entry(ctx context.Context, file string, logs io.Writer) error {
	settings, err := runner.Load(file)
	if err != nil {
		return err
	}
	network := connector.TCP{UserTimeout: maxSilence}
	log := platform.NewLog(&http.Client{Transport: connector.NewTransport(network)}, settings.Store)
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
	daemon, err := runner.New(settings, runner.Process{
		Network:    network,
		Translator: platform.Translator{},
		Operator:   log.Operator(),
		Endpoints:  log.Endpoints(),
		Status:     log.Status(),
		Results:    log.Results(),
		Readers:    log.Readers(),
		Clock:      runner.SinceBoot,
		Logs:       logs,
		Reload:     reload,
		Load:       func() (runner.Settings, error) { return runner.Load(file) },
	})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
