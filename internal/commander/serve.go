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

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:         "serve",
		Usage:        "run the daemon of an entry instance",
		Description:  example("quetzalgrade serve --settings /etc/quetzalgrade/settings.toml"),
		OnUsageError: wrongUse,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String("settings"), command.Root().ErrWriter)
		},
	}
}

func serve(ctx context.Context, settings string, logs io.Writer) error {
	config, err := server.Load(settings)
	if err != nil {
		return err
	}
	fillProcess(&config, logs)
	daemon, err := server.New(config)
	if err != nil {
		return err
	}
	// The first signal ends ctx and starts the graceful stop; another one ends
	// the process at once.
	second := make(chan os.Signal, 1)
	go func() {
		<-ctx.Done()
		signal.Notify(second, os.Interrupt, syscall.SIGTERM)
		<-second
		daemon.Kill()
	}()
	return daemon.Run(ctx)
}

// fillProcess adds what a daemon takes from its process.
func fillProcess(config *server.Config, logs io.Writer) {
	now := uint64(time.Now().UnixNano())
	config.Network = connector.TCP{}
	// Time orders the incarnations of one name.
	config.Incarnation = now
	config.RandomSeed = now
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: "quetzalgrade", Level: config.LogLevel, Output: logs, JSONFormat: true})
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "validate settings files and directories of declarations offline",
		ArgsUsage:    "PATH...",
		Description:  example("quetzalgrade check deploy/derwent settings.toml"),
		OnUsageError: wrongUse,
		Action: func(_ context.Context, command *cli.Command) error {
			if !command.Args().Present() {
				return usage("check needs at least one file of settings or directory of declarations")
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

func checkPath(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return usage("%s", err)
	}
	if info.IsDir() {
		_, err = declarer.Load(path)
		return err
	}
	if entry, err := isEntry(path); err != nil {
		return err
	} else if entry {
		_, err = runner.LoadSettings(path)
		return err
	}
	_, err = server.Load(path)
	return err
}

// isEntry reports whether a settings file is one of `quetzalgrade entry`: only
// these name a store. Text that is not TOML is left to the full check.
func isEntry(path string) (bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	var settings struct {
		Store *struct{} `toml:"store"`
	}
	if err := toml.Unmarshal(data, &settings); err != nil {
		return false, nil //nolint:nilerr // server.Load reports it with its line.
	}
	return settings.Store != nil, nil
}

const keyBytes = 32

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make a random key: an API key with its digest, or a key file",
		Description: example(
			"quetzalgrade key",
			"quetzalgrade key --out /etc/quetzalgrade/operators.key",
		),
		OnUsageError: wrongUse,
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

func newKey() string {
	data := make([]byte, keyBytes)
	_, _ = rand.Read(data)
	return "qk-" + base64.RawURLEncoding.EncodeToString(data)
}

// writeKey writes a key to a file that must not exist yet.
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
