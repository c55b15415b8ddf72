// Package commander is the command line: it turns flags into calls and results
// into text, or into JSON for programs.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

// usageError is a wrong use of the command line.
type usageError struct{ message string }

// Error implements error.
func (u *usageError) Error() string { return u.message }

func usage(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "quetzalgrade: "+strings.TrimSpace(err.Error()))
	if _, wrongUse := errors.Into[*usageError](err); wrongUse {
		return exitUsage
	}
	return exitFault
}

func root(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "quetzalgrade",
		Usage:          "model-aware router for versions and cascades",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usage("%s", err) },
		CommandNotFound: func(_ context.Context, _ *cli.Command, name string) {
			_, _ = fmt.Fprintf(errOut, "quetzalgrade: there is no command %q\n", name)
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return usage("there is no command %q; see `quetzalgrade --help`", command.Args().First())
			}
			return cli.ShowAppHelp(command)
		},
		Commands: []*cli.Command{
			serveCommand(),
			entryCommand(),
			checkCommand(),
			planCommand(),
			applyCommand(),
			rolloutCommand(),
			statusCommand(),
			auditCommand(),
			billCommand(),
			loadCommand(),
			demoCommand(),
			standinCommand(),
			keyCommand(),
		},
	}
}

// example formats the example of a command's help.
func example(lines ...string) string {
	return "Example:\n   " + strings.Join(lines, "\n   ")
}

func wrongUse(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usage("%s", err)
}
