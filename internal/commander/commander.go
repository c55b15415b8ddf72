// Package commander implements the command line. It parses flags, runs the
// commands and prints their results as text, or as JSON for programs.
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

// Exit codes of the process.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// usageError reports an incorrect use of the command line; it leads to exitUsage.
type usageError struct{ message string }

// Error implements error.
func (u *usageError) Error() string { return u.message }

// usageErrorf returns a usageError with a formatted message.
func usageErrorf(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// Main runs the program with the given arguments, the first of which is the
// program name, and returns its exit code. SIGINT and SIGTERM cancel the context
// of the command.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, out, errOut)
}

// Run is Main with the context of the command.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := newRootCommand(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "quetzalgrade: "+strings.TrimSpace(err.Error()))
	if _, isUsageError := errors.Into[*usageError](err); isUsageError {
		return exitUsage
	}
	return exitError
}

// newRootCommand returns the root command with all subcommands.
func newRootCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "quetzalgrade",
		Usage:          "model-aware router for versions and cascades",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageErrorf("%s", err) },
		CommandNotFound: func(_ context.Context, _ *cli.Command, name string) {
			_, _ = fmt.Fprintf(errOut, "quetzalgrade: there is no command %q\n", name)
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return usageErrorf("there is no command %q; see `quetzalgrade --help`", command.Args().First())
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

// example formats the example lines in the help of a command.
func example(lines ...string) string {
	return "Example:\n   " + strings.Join(lines, "\n   ")
}

// onUsageError turns the usage errors of the cli package into usageErrors.
func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageErrorf("%s", err)
}
