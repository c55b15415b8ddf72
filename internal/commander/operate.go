package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/declarer"
	"quetzalgrade.example/quetzalgrade/internal/differ"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

const (
	// operatorTimeout bounds one call to a daemon.
	operatorTimeout = 15 * time.Second
	// forceTimeout bounds the wait for a revision to be in force everywhere.
	forceTimeout = 20 * time.Second
	forcePoll    = 250 * time.Millisecond
)

// operator is a connection to a daemon's operator interface.
type operator struct {
	service schemaconnect.OperatorServiceClient
	out     io.Writer
	json    bool
}

func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "`IP:PORT` of a daemon's operator interface", Value: "127.0.0.1:7003", Sources: cli.EnvVars("QUETZALGRADE_ADDRESS")},
		&cli.StringFlag{Name: "token", Usage: "`FILE` that holds the operators' token", Sources: cli.EnvVars("QUETZALGRADE_TOKEN")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, more...)
}

func connectOperator(command *cli.Command) (*operator, error) {
	addr, err := netip.ParseAddrPort(command.String("address"))
	if err != nil {
		return nil, usage("--address %q is not IP:PORT", command.String("address"))
	}
	if command.String("token") == "" {
		return nil, usage("--token is missing: name the file that holds the operators' token")
	}
	token, err := os.ReadFile(command.String("token"))
	if err != nil {
		return nil, errors.Wrap(err, "read token")
	}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
			return next(ctx, request)
		}
	})
	client := &http.Client{Transport: connector.Transport(connector.TCP{}), Timeout: operatorTimeout}
	return &operator{
		service: schemaconnect.NewOperatorServiceClient(client, "http://"+addr.String(), connect.WithInterceptors(authorize)),
		out:     command.Root().Writer,
		json:    command.Bool("json"),
	}, nil
}

// withOperator wraps an action that needs a daemon.
func withOperator(action func(context.Context, *cli.Command, *operator) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		o, err := connectOperator(command)
		if err != nil {
			return err
		}
		return action(ctx, command, o)
	}
}

func (o *operator) print(format string, args ...any) {
	_, _ = fmt.Fprintf(o.out, format, args...)
}

// printJSON writes a message as JSON.
func (o *operator) printJSON(message proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return err
	}
	o.print("%s\n", data)
	return nil
}

func (o *operator) current(ctx context.Context) (*schema.Revision, error) {
	response, err := o.service.Current(ctx, connect.NewRequest(&schema.CurrentRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetRevision(), nil
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:         "plan",
		Usage:        "show the difference between declarations and what is in force",
		ArgsUsage:    "DIR",
		Description:  example("quetzalgrade plan deploy/derwent --address 127.0.0.1:7003 --token operators.key"),
		OnUsageError: wrongUse,
		Flags:        operatorFlags(),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operator) error {
			_, _, err := o.plan(ctx, command.Args().First())
			return err
		}),
	}
}

// plan prints the differences and returns what would be published.
func (o *operator) plan(ctx context.Context, dir string) (current *schema.Revision, next *schema.Declaration, err error) {
	if dir == "" {
		return nil, nil, usage("name the directory of declarations")
	}
	planned, err := declarer.Load(dir)
	if err != nil {
		return nil, nil, err
	}
	current, err = o.current(ctx)
	if err != nil {
		return nil, nil, err
	}
	next = declarer.MergeRuntimeState(current.GetDeclaration(), planned)
	differences := differ.Compare(current.GetDeclaration(), next)
	if o.json {
		return current, next, o.printJSON(&schema.Change{Differences: differences})
	}
	o.print("planned on revision %d: %d differences\n", current.GetNumber(), len(differences))
	o.printDifferences(differences)
	return current, next, nil
}

func (o *operator) printDifferences(differences []*schema.Difference) {
	for _, difference := range differences {
		switch {
		case difference.GetFrom() == "":
			o.print("  + %s = %s\n", difference.GetPath(), difference.GetTo())
		case difference.GetTo() == "":
			o.print("  - %s = %s\n", difference.GetPath(), difference.GetFrom())
		default:
			o.print("  ~ %s: %s -> %s\n", difference.GetPath(), difference.GetFrom(), difference.GetTo())
		}
	}
}

func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`WHY` the change is made, for the audit trail", Required: true},
		&cli.StringFlag{Name: "author", Usage: "`WHO` makes the change; the user name when not given"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the change; give that of an apply whose answer was lost"},
	}, more...)...)
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:         "apply",
		Usage:        "publish declarations and wait until they are in force everywhere",
		ArgsUsage:    "DIR",
		Description:  example("quetzalgrade apply deploy/derwent --reason 'more spend for orchards' --token operators.key"),
		OnUsageError: wrongUse,
		Flags:        changeFlags(&cli.Int64Flag{Name: "on", Usage: "`REVISION` that the change was planned on; the one in force when not given", Value: -1}),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operator) error {
			current, next, err := o.plan(ctx, command.Args().First())
			if err != nil {
				return err
			}
			follows := current.GetNumber()
			if on := command.Int64("on"); on >= 0 {
				follows = uint64(on)
			}
			if follows == current.GetNumber() && len(differ.Compare(current.GetDeclaration(), next)) == 0 {
				o.print("nothing to change\n")
				return nil
			}
			return o.publish(ctx, command, next, follows)
		}),
	}
}

// publish sends a change and waits until it is in force everywhere.
func (o *operator) publish(ctx context.Context, command *cli.Command, next *schema.Declaration, follows uint64) error {
	author := command.String("author")
	if author == "" {
		author = userName()
	}
	id := command.String("id")
	if id == "" {
		id = "apply/" + newKey()[:16]
	}
	response, err := o.service.Apply(ctx, connect.NewRequest(&schema.ApplyRequest{
		Declaration: next,
		Follows:     follows,
		Author:      author,
		Reason:      command.String("reason"),
		Id:          id,
	}))
	if err != nil {
		return errors.Wrapf(err, "apply with --id %s", id)
	}
	if !response.Msg.GetAccepted() {
		return errors.Errorf("refused: planned on revision %d, but revision %d is in force; plan again", follows, response.Msg.GetWinner())
	}
	o.print("revision %d accepted\n", response.Msg.GetRevision())
	return o.awaitForce(ctx, response.Msg.GetRevision())
}

func userName() string {
	if known, err := user.Current(); err == nil {
		return known.Username
	}
	return "unknown"
}

// awaitForce waits until every serving daemon has the revision in force, and
// otherwise names those that do not.
func (o *operator) awaitForce(ctx context.Context, revision uint64) error {
	began := time.Now()
	for {
		response, err := o.service.Inspect(ctx, connect.NewRequest(&schema.InspectRequest{}))
		if err != nil {
			return err
		}
		var behind []string
		for _, member := range response.Msg.GetMembers() {
			serving := member.GetStatus() == schema.Status_STATUS_ALIVE || member.GetStatus() == schema.Status_STATUS_SUSPECT
			if serving && member.GetRevision() < revision {
				behind = append(behind, fmt.Sprintf("%s (%d)", member.GetName(), member.GetRevision()))
			}
		}
		if len(behind) == 0 {
			o.print("in force on %d daemons after %s\n", len(response.Msg.GetMembers()), time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) > forceTimeout {
			return errors.Errorf("revision %d is accepted but not yet in force on %s", revision, strings.Join(behind, ", "))
		}
		time.Sleep(forcePoll)
	}
}
