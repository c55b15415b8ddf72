package commander

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// rolloutCommand returns the command whose subcommands manage rollouts and
// versions.
func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:        "rollout",
		Usage:       "roll out, withdraw and restore versions",
		Description: example("quetzalgrade rollout start wren-v2 --model wren --from v1 --to v2 --people 500 --reason 'new wren' --token operators.key"),
		Commands: []*cli.Command{
			rolloutStartCommand(),
			rolloutChangeCommand("advance", "advance to the next stage without waiting for evidence", advanceStage),
			rolloutChangeCommand("pause", "stay at the current stage", func(r *schema.Rollout) error {
				return setPhase(r, schema.Phase_PHASE_PAUSED, schema.Phase_PHASE_RUNNING)
			}),
			rolloutChangeCommand("resume", "resume a paused rollout", func(r *schema.Rollout) error {
				return setPhase(r, schema.Phase_PHASE_RUNNING, schema.Phase_PHASE_PAUSED)
			}),
			rolloutChangeCommand("abort", "abort the rollout and go back to the old version", func(r *schema.Rollout) error {
				return setPhase(r, schema.Phase_PHASE_ABORTED, schema.Phase_PHASE_RUNNING, schema.Phase_PHASE_PAUSED)
			}),
			withdrawCommand(),
			restoreCommand(),
		},
	}
}

// editDeclaration applies a change to a copy of the declaration in force and
// publishes the result.
func (o *operatorClient) editDeclaration(ctx context.Context, command *cli.Command, change func(*schema.Declaration) error) error {
	current, err := o.current(ctx)
	if err != nil {
		return err
	}
	if current == nil {
		return errors.New("no configuration is in force; apply one first")
	}
	next := proto.CloneOf(current.GetDeclaration())
	if err := change(next); err != nil {
		return err
	}
	return o.publish(ctx, command, next, current.GetNumber())
}

// rolloutStartCommand returns the command that starts a rollout.
func rolloutStartCommand() *cli.Command {
	return &cli.Command{
		Name:         "start",
		Usage:        "start a rollout",
		ArgsUsage:    "NAME",
		Description:  example("quetzalgrade rollout start wren-v2 --model wren --from v1 --to v2 --people 500 --reason 'new wren' --token operators.key"),
		OnUsageError: onUsageError,
		Flags: changeFlags(
			&cli.StringFlag{Name: "model", Usage: "`MODEL` to roll out", Required: true},
			&cli.StringFlag{Name: "from", Usage: "current `VERSION`", Required: true},
			&cli.StringFlag{Name: "to", Usage: "new `VERSION`", Required: true},
			&cli.FloatSliceFlag{Name: "stages", Usage: "increasing `SHARES` of people, one for each stage", Value: []float64{0.01, 0.05, 0.25, 0.5}},
			&cli.Uint32Flag{Name: "people", Usage: "maximum `NUMBER` of people exposed before the version is accepted", Required: true},
			&cli.BoolFlag{Name: "direct", Usage: "expose people without first collecting evidence from copies of requests"},
			&cli.FloatFlag{Name: "tolerance", Usage: "`LOSS` of mean rating above which the new version counts as worse", Value: 0.02},
		),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operatorClient) error {
			name := command.Args().First()
			if name == "" {
				return usageErrorf("give the name of the rollout")
			}
			return o.editDeclaration(ctx, command, func(next *schema.Declaration) error {
				if next.Rollouts == nil {
					next.Rollouts = map[string]*schema.Rollout{}
				}
				if existing := next.GetRollouts()[name]; existing.GetPhase() == schema.Phase_PHASE_RUNNING || existing.GetPhase() == schema.Phase_PHASE_PAUSED {
					return errors.Errorf("rollout %q is under way; abort it first", name)
				}
				next.Rollouts[name] = &schema.Rollout{
					Model:     command.String("model"),
					From:      command.String("from"),
					To:        command.String("to"),
					Stages:    command.FloatSlice("stages"),
					People:    command.Uint32("people"),
					Tolerance: command.Float("tolerance"),
					Direct:    command.Bool("direct"),
					Phase:     schema.Phase_PHASE_RUNNING,
				}
				return nil
			})
		}),
	}
}

// rolloutChangeCommand returns a command that publishes a change of one rollout.
func rolloutChangeCommand(name, help string, change func(*schema.Rollout) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        help,
		ArgsUsage:    "NAME",
		Description:  example("quetzalgrade rollout " + name + " wren-v2 --reason 'seen enough' --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        changeFlags(),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operatorClient) error {
			return o.editDeclaration(ctx, command, func(next *schema.Declaration) error {
				rollout := next.GetRollouts()[command.Args().First()]
				if rollout == nil {
					return errors.Errorf("rollout %q does not exist", command.Args().First())
				}
				return change(rollout)
			})
		}),
	}
}

// advanceStage moves a running rollout to its next stage, or to done after the
// last one.
func advanceStage(rollout *schema.Rollout) error {
	if rollout.GetPhase() != schema.Phase_PHASE_RUNNING {
		return errors.New("the rollout is not running")
	}
	if int(rollout.GetStage()) >= len(rollout.GetStages())-1 {
		rollout.Phase = schema.Phase_PHASE_DONE
		return nil
	}
	rollout.Stage++
	return nil
}

// setPhase changes the phase of a rollout that is in one of the phases in from.
// Otherwise it returns an error.
func setPhase(rollout *schema.Rollout, to schema.Phase, from ...schema.Phase) error {
	for _, phase := range from {
		if rollout.GetPhase() == phase {
			rollout.Phase = to
			return nil
		}
	}
	return errors.Errorf("the roll-out is %s", enumText(rollout.GetPhase().String()))
}

// findVersion returns the declared version named by "model@version".
func findVersion(next *schema.Declaration, text string) (*schema.Version, error) {
	id, ok := compiler.ParseVersion(text)
	if !ok {
		return nil, usageErrorf("give the version as MODEL@VERSION")
	}
	version := next.GetModels()[id.Model].GetVersions()[id.Version]
	if version == nil {
		return nil, errors.Errorf("version %q is not declared", text)
	}
	return version, nil
}

// withdrawCommand returns the command that withdraws a version.
func withdrawCommand() *cli.Command {
	return versionChangeCommand("withdraw", "send no new requests to a version", func(version *schema.Version) error {
		if version.GetWithdrawn() {
			return errors.New("the version is already withdrawn")
		}
		version.Withdrawn = true
		return nil
	})
}

// restoreCommand returns the command that restores a version. It increments the
// generation, because a stop applies to one generation only.
func restoreCommand() *cli.Command {
	return versionChangeCommand("restore", "restore a withdrawn or stopped version", func(version *schema.Version) error {
		version.Withdrawn = false
		version.Generation++
		return nil
	})
}

// versionChangeCommand returns a command that publishes a change of one version.
func versionChangeCommand(name, help string, change func(*schema.Version) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        help,
		ArgsUsage:    "MODEL@VERSION",
		Description:  example("quetzalgrade rollout " + name + " wren@v2 --reason 'wrong turn times' --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        changeFlags(),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operatorClient) error {
			return o.editDeclaration(ctx, command, func(next *schema.Declaration) error {
				version, err := findVersion(next, command.Args().First())
				if err != nil {
					return err
				}
				return change(version)
			})
		}),
	}
}
