package commander

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/declarer"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/loader"
)

// demoCommand returns the command that runs a demonstration in one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:         "demo",
		Usage:        "run the daemons and stand-in workers of a deployment in this process and send requests",
		Description:  example("quetzalgrade demo"),
		OnUsageError: onUsageError,
		Flags:        []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "show the daemons' logs"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			level := hclog.Error
			if command.Bool("verbose") {
				level = hclog.Info
			}
			logger := hclog.New(&hclog.LoggerOptions{Name: "quetzalgrade", Level: level, Output: command.Root().ErrWriter})
			return demonstrator.Demo(ctx, command.Root().Writer, logger)
		},
	}
}

// standinCommand returns the command that runs stand-ins of the platform and of
// the workers.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:        "standin",
		Usage:       "run stand-ins of the platform and the declared workers, for trials on loopback",
		ArgsUsage:   "DIR",
		Description: example("quetzalgrade standin deploy/derwent --platform 127.0.0.1:7900"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`IP:PORT` on which to serve the log, the rating service and the instance list", Value: "127.0.0.1:7900"},
		},
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, command *cli.Command) error {
			addr, err := netip.ParseAddrPort(command.String("platform"))
			if err != nil {
				return usageErrorf("--platform %q is not IP:PORT", command.String("platform"))
			}
			declaration, err := declarer.Load(command.Args().First())
			if err != nil {
				return err
			}
			standins, err := demonstrator.StartStandins(connector.TCP{}, addr, declaration)
			if err != nil {
				return err
			}
			defer standins.Close()
			_, _ = fmt.Fprintf(command.Root().Writer, "platform on %s, %d workers\n", addr, standins.Workers())
			<-ctx.Done()
			return nil
		},
	}
}

// loadCommand returns the command that generates load.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a limited open-loop load to daemons on loopback",
		Description: example(
			"quetzalgrade load --target 127.0.0.1:7001 --key api.key --rate 20 --duration 30s --stream",
			"quetzalgrade load --target 127.0.0.1:7001 --key api.key --rate 5 --duration 10s --call 'turn-ledger POST /turns'",
		),
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "client-facing `IP:PORT` of a daemon; may be repeated", Value: []string{"127.0.0.1:7001"}},
			&cli.StringFlag{Name: "key", Usage: "`FILE` that holds the API key", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 10},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send requests", Value: 10 * time.Second},
			&cli.BoolFlag{Name: "stream", Usage: "request streamed responses"},
			&cli.StringFlag{Name: "call", Usage: "send `'SERVICE METHOD /path'` calls to a plain service instead of chat requests"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the prompts and send times", Value: 1},
		},
		Action: runLoad,
	}
}

// runLoad sends the load that the flags describe and prints its report.
func runLoad(ctx context.Context, command *cli.Command) error {
	key, err := os.ReadFile(command.String("key"))
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	plan := loader.Plan{
		APIKey:   strings.TrimSpace(string(key)),
		Rate:     command.Float("rate"),
		Duration: command.Duration("duration"),
		Stream:   command.Bool("stream"),
		Seed:     command.Uint64("seed"),
	}
	if call := strings.Fields(command.String("call")); len(call) == 3 {
		plan.Service, plan.Method, plan.Path = call[0], call[1], call[2]
	} else if len(call) != 0 {
		return usageErrorf("--call %q is not 'SERVICE METHOD /path'", command.String("call"))
	}
	for _, target := range command.StringSlice("target") {
		addr, err := netip.ParseAddrPort(target)
		if err != nil {
			return usageErrorf("--target %q is not IP:PORT", target)
		}
		plan.Targets = append(plan.Targets, addr)
	}
	if err := plan.Validate(); err != nil {
		return usageErrorf("%s", err)
	}
	report, err := loader.Run(ctx, plan, command.Root().ErrWriter)
	if err != nil {
		return err
	}
	printReport(command, report)
	return nil
}

// printReport prints the throughput, the latency percentiles and the error counts.
func printReport(command *cli.Command, report loader.Report) {
	out := command.Root().Writer
	seconds := report.Duration.Seconds()
	_, _ = fmt.Fprintf(out, "sent %d, answered %d (%.1f a second), skipped %d, %.0f tokens a second\n",
		report.Sent, report.Succeeded, float64(report.Succeeded)/seconds, report.Skipped, float64(report.OutputTokens)/seconds)
	for _, percent := range []float64{50, 95, 99, 99.9} {
		_, _ = fmt.Fprintf(out, "p%-5g first %-10s end %s\n", percent, loader.Quantile(report.FirstToken, percent), loader.Quantile(report.Total, percent))
	}
	var kinds []string
	for kind := range report.Errors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		_, _ = fmt.Fprintf(out, "error %s: %d\n", kind, report.Errors[kind])
	}
}
