package commander

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:        "rollout",
		Usage:       "bring versions in and out",
		Description: example("quetzalgrade rollout start wren-v2 --model wren --from v1 --to v2 --people 500 --reason 'new wren' --token operators.key"),
		Commands: []*cli.Command{
			rolloutStart(),
			rolloutStep("advance", "go to the next stage without waiting for evidence", advance),
			rolloutStep("pause", "keep the stage as it is", func(r *schema.Rollout) error {
				return setPhase(r, schema.Phase_PHASE_PAUSED, schema.Phase_PHASE_RUNNING)
			}),
			rolloutStep("resume", "go on after a pause", func(r *schema.Rollout) error {
				return setPhase(r, schema.Phase_PHASE_RUNNING, schema.Phase_PHASE_PAUSED)
			}),
			rolloutStep("abort", "take the new version back", func(r *schema.Rollout) error {
				return setPhase(r, schema.Phase_PHASE_ABORTED, schema.Phase_PHASE_RUNNING, schema.Phase_PHASE_PAUSED)
			}),
			rolloutWithdraw(),
			rolloutRestore(),
		},
	}
}

// edit publishes a change of the declaration in force.
func (o *operator) edit(ctx context.Context, command *cli.Command, change func(*schema.Declaration) error) error {
	current, err := o.current(ctx)
	if err != nil {
		return err
	}
	if current == nil {
		return errors.New("there is no configuration in force; apply one first")
	}
	next := proto.CloneOf(current.GetDeclaration())
	if err := change(next); err != nil {
		return err
	}
	return o.publish(ctx, command, next, current.GetNumber())
}

func rolloutStart() *cli.Command {
	return &cli.Command{
		Name:         "start",
		Usage:        "start a roll-out",
		ArgsUsage:    "NAME",
		Description:  example("quetzalgrade rollout start wren-v2 --model wren --from v1 --to v2 --people 500 --reason 'new wren' --token operators.key"),
		OnUsageError: wrongUse,
		Flags: changeFlags(
			&cli.StringFlag{Name: "model", Usage: "`MODEL`", Required: true},
			&cli.StringFlag{Name: "from", Usage: "`VERSION` in service", Required: true},
			&cli.StringFlag{Name: "to", Usage: "new `VERSION`", Required: true},
			&cli.FloatSliceFlag{Name: "stages", Usage: "rising `SHARES` of people", Value: []float64{0.01, 0.05, 0.25, 0.5}},
			&cli.Uint32Flag{Name: "people", Usage: "largest `NUMBER` of people exposed before the version is accepted", Required: true},
			&cli.BoolFlag{Name: "direct", Usage: "show people the version without evidence from copies of requests first"},
			&cli.FloatFlag{Name: "tolerance", Usage: "`LOSS` of mean rating that counts as worse", Value: 0.02},
		),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operator) error {
			name := command.Args().First()
			if name == "" {
				return usage("name the roll-out")
			}
			return o.edit(ctx, command, func(next *schema.Declaration) error {
				if next.Rollouts == nil {
					next.Rollouts = map[string]*schema.Rollout{}
				}
				if known := next.GetRollouts()[name]; known.GetPhase() == schema.Phase_PHASE_RUNNING || known.GetPhase() == schema.Phase_PHASE_PAUSED {
					return errors.Errorf("roll-out %q is under way; abort it first", name)
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

func rolloutStep(name, help string, step func(*schema.Rollout) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        help,
		ArgsUsage:    "NAME",
		Description:  example("quetzalgrade rollout " + name + " wren-v2 --reason 'seen enough' --token operators.key"),
		OnUsageError: wrongUse,
		Flags:        changeFlags(),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operator) error {
			return o.edit(ctx, command, func(next *schema.Declaration) error {
				rollout := next.GetRollouts()[command.Args().First()]
				if rollout == nil {
					return errors.Errorf("there is no roll-out %q", command.Args().First())
				}
				return step(rollout)
			})
		}),
	}
}

func advance(rollout *schema.Rollout) error {
	if rollout.GetPhase() != schema.Phase_PHASE_RUNNING {
		return errors.New("the roll-out is not running")
	}
	if int(rollout.GetStage()) >= len(rollout.GetStages())-1 {
		rollout.Phase = schema.Phase_PHASE_DONE
		return nil
	}
	rollout.Stage++
	return nil
}

func setPhase(rollout *schema.Rollout, to schema.Phase, from ...schema.Phase) error {
	for _, phase := range from {
		if rollout.GetPhase() == phase {
			rollout.Phase = to
			return nil
		}
	}
	return errors.Errorf("the roll-out is %s", enumText(rollout.GetPhase().String()))
}

// versionIn returns a declared version by "model@version".
func versionIn(next *schema.Declaration, text string) (*schema.Version, error) {
	id, ok := compiler.ParseVersion(text)
	if !ok {
		return nil, usage("name the version as model@version")
	}
	version := next.GetModels()[id.Model].GetVersions()[id.Version]
	if version == nil {
		return nil, errors.Errorf("version %q is not declared", text)
	}
	return version, nil
}

func rolloutWithdraw() *cli.Command {
	return versionCommand("withdraw", "give a version no more work", func(version *schema.Version) error {
		if version.GetWithdrawn() {
			return errors.New("the version is withdrawn already")
		}
		version.Withdrawn = true
		return nil
	})
}

func rolloutRestore() *cli.Command {
	return versionCommand("restore", "bring a withdrawn or stopped version back", func(version *schema.Version) error {
		version.Withdrawn = false
		version.Generation++
		return nil
	})
}

func versionCommand(name, help string, change func(*schema.Version) error) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        help,
		ArgsUsage:    "MODEL@VERSION",
		Description:  example("quetzalgrade rollout " + name + " wren@v2 --reason 'wrong turn times' --token operators.key"),
		OnUsageError: wrongUse,
		Flags:        changeFlags(),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operator) error {
			return o.edit(ctx, command, func(next *schema.Declaration) error {
				version, err := versionIn(next, command.Args().First())
				if err != nil {
					return err
				}
				return change(version)
			})
		}),
	}
}
