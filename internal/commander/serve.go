package commander

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pelletier/go-toml/v2"
	"github.com/urfave/cli/v3"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/declarer"
	"quetzalgrade.example/quetzalgrade/internal/runner"
	"quetzalgrade.example/quetzalgrade/internal/server"
)

// serveCommand returns the command that runs a daemon.
func serveCommand() *cli.Command {
	return &cli.Command{
		Name:         "serve",
		Usage:        "run the daemon of an entry instance",
		Description:  example("quetzalgrade serve --settings /etc/quetzalgrade/settings.toml"),
		OnUsageError: onUsageError,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runServe(ctx, command.String("settings"), command.Root().ErrWriter)
		},
	}
}

// runServe runs a daemon until ctx ends.
func runServe(ctx context.Context, settings string, logs io.Writer) error {
	config, err := server.Load(settings)
	if err != nil {
		return err
	}
	setProcessFields(&config, logs)
	daemon, err := server.New(config)
	if err != nil {
		return err
	}
	// The first signal cancels ctx and starts a graceful shutdown; a second one
	// kills the daemon at once.
	secondSignal := make(chan os.Signal, 1)
	go func() {
		<-ctx.Done()
		signal.Notify(secondSignal, os.Interrupt, syscall.SIGTERM)
		<-secondSignal
		daemon.Kill()
	}()
	return daemon.Run(ctx)
}

// setProcessFields sets the fields of the config that come from the process: the
// network, incarnation, random seed and logger.
func setProcessFields(config *server.Config, logs io.Writer) {
	now := uint64(time.Now().UnixNano())
	config.Network = connector.TCP{}
	// The start time orders the incarnations of daemons with the same name.
	config.Incarnation = now
	config.RandomSeed = now
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: "quetzalgrade", Level: config.LogLevel, Output: logs, JSONFormat: true})
}

// checkCommand returns the command that validates files without a daemon.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "validate settings files and declaration directories offline",
		ArgsUsage:    "PATH...",
		Description:  example("quetzalgrade check deploy/derwent settings.toml"),
		OnUsageError: onUsageError,
		Action: func(_ context.Context, command *cli.Command) error {
			if !command.Args().Present() {
				return usageErrorf("check needs at least one settings file or declaration directory")
			}
			for _, path := range command.Args().Slice() {
				if err := checkPath(path); err != nil {
					return err
				}
				_, _ = fmt.Fprintln(command.Root().Writer, path+": ok")
			}
			return nil
		},
	}
}

// checkPath validates a settings file or a directory of declarations.
func checkPath(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return usageErrorf("%s", err)
	}
	if info.IsDir() {
		_, err = declarer.Load(path)
		return err
	}
	if entry, err := isEntrySettings(path); err != nil {
		return err
	} else if entry {
		_, err = runner.LoadSettings(path)
		return err
	}
	_, err = server.Load(path)
	return err
}

// isEntrySettings reports whether a settings file is for `quetzalgrade entry`:
// only those files have a store section. For invalid TOML it returns false, and
// server.Load then reports the error.
func isEntrySettings(path string) (bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	var settings struct {
		Store *struct{} `toml:"store"`
	}
	if err := toml.Unmarshal(data, &settings); err != nil {
		return false, nil //nolint:nilerr // server.Load reports the error with its line number.
	}
	return settings.Store != nil, nil
}

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// keyCommand returns the command that generates keys.
func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate a random key: print an API key with its digest, or write a key file",
		Description: example(
			"quetzalgrade key",
			"quetzalgrade key --out /etc/quetzalgrade/operators.key",
		),
		OnUsageError: onUsageError,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "out", Usage: "write the key to a new `FILE` instead of printing it"}},
		Action: func(_ context.Context, command *cli.Command) error {
			key := newKey()
			if file := command.String("out"); file != "" {
				return writeKey(file, key)
			}
			digest := sha256.Sum256([]byte(key))
			_, _ = fmt.Fprintf(command.Root().Writer, "key    %s\ndigest %s\n", key, hex.EncodeToString(digest[:]))
			return nil
		},
	}
}

// newKey returns a random key with the prefix "qk-".
func newKey() string {
	data := make([]byte, keyBytes)
	_, _ = rand.Read(data)
	return "qk-" + base64.RawURLEncoding.EncodeToString(data)
}

// writeKey writes a key to a new file. It returns an error if the file exists.
func writeKey(file, key string) error {
	out, err := os.OpenFile(filepath.Clean(file), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, key); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
