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
	// operatorTimeout is the timeout of one call to a daemon.
	operatorTimeout = 15 * time.Second
	// inForceTimeout limits the wait until a revision is in force on all daemons.
	inForceTimeout = 20 * time.Second
	// inForcePollInterval is the time between two checks during this wait.
	inForcePollInterval = 250 * time.Millisecond
)

// operatorClient calls the operator interface of a daemon and prints the results.
type operatorClient struct {
	service schemaconnect.OperatorServiceClient
	out     io.Writer
	json    bool
}

// operatorFlags returns the flags of every command that calls a daemon, followed
// by the extra ones.
func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "`IP:PORT` of a daemon's operator interface", Value: "127.0.0.1:7003", Sources: cli.EnvVars("QUETZALGRADE_ADDRESS")},
		&cli.StringFlag{Name: "token", Usage: "`FILE` that contains the operators' token", Sources: cli.EnvVars("QUETZALGRADE_TOKEN")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, extra...)
}

// connectOperator returns a client for the address and token of the flags. It
// does not open a connection yet.
func connectOperator(command *cli.Command) (*operatorClient, error) {
	addr, err := netip.ParseAddrPort(command.String("address"))
	if err != nil {
		return nil, usageErrorf("--address %q is not IP:PORT", command.String("address"))
	}
	if command.String("token") == "" {
		return nil, usageErrorf("--token is missing: give the file that contains the operators' token")
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
	client := &http.Client{Transport: connector.NewTransport(connector.TCP{}), Timeout: operatorTimeout}
	return &operatorClient{
		service: schemaconnect.NewOperatorServiceClient(client, "http://"+addr.String(), connect.WithInterceptors(authorize)),
		out:     command.Root().Writer,
		json:    command.Bool("json"),
	}, nil
}

// withOperator returns an action that creates an operatorClient and passes it to
// the given action.
func withOperator(action func(context.Context, *cli.Command, *operatorClient) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		o, err := connectOperator(command)
		if err != nil {
			return err
		}
		return action(ctx, command, o)
	}
}

// print writes formatted text to the output.
func (o *operatorClient) print(format string, args ...any) {
	_, _ = fmt.Fprintf(o.out, format, args...)
}

// printJSON writes a message as JSON.
func (o *operatorClient) printJSON(message proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return err
	}
	o.print("%s\n", data)
	return nil
}

// current returns the revision in force at the daemon, or nil if there is none.
func (o *operatorClient) current(ctx context.Context) (*schema.Revision, error) {
	response, err := o.service.Current(ctx, connect.NewRequest(&schema.CurrentRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetRevision(), nil
}

// planCommand returns the command that shows what apply would change.
func planCommand() *cli.Command {
	return &cli.Command{
		Name:         "plan",
		Usage:        "show how declarations differ from the configuration in force",
		ArgsUsage:    "DIR",
		Description:  example("quetzalgrade plan deploy/derwent --address 127.0.0.1:7003 --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        operatorFlags(),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operatorClient) error {
			_, _, err := o.plan(ctx, command.Args().First())
			return err
		}),
	}
}

// plan prints how the declarations in a directory differ from the revision in
// force. It returns that revision and the declaration to publish.
func (o *operatorClient) plan(ctx context.Context, dir string) (current *schema.Revision, next *schema.Declaration, err error) {
	if dir == "" {
		return nil, nil, usageErrorf("give the directory of declarations")
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

// printDifferences prints one line for each added, removed or changed path.
func (o *operatorClient) printDifferences(differences []*schema.Difference) {
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

// changeFlags returns the flags of every command that changes the configuration,
// followed by the extra ones.
func changeFlags(extra ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`WHY` the change is made, for the audit trail", Required: true},
		&cli.StringFlag{Name: "author", Usage: "`WHO` makes the change (default: the user name)"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the change; to retry an apply whose response was lost, give its ID"},
	}, extra...)...)
}

// applyCommand returns the command that publishes declarations.
func applyCommand() *cli.Command {
	return &cli.Command{
		Name:         "apply",
		Usage:        "publish declarations and wait until they are in force on all daemons",
		ArgsUsage:    "DIR",
		Description:  example("quetzalgrade apply deploy/derwent --reason 'more spend for orchards' --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        changeFlags(&cli.Int64Flag{Name: "on", Usage: "`REVISION` that the change was planned on; -1 stands for the one in force", Value: -1}),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operatorClient) error {
			current, next, err := o.plan(ctx, command.Args().First())
			if err != nil {
				return err
			}
			follows := current.GetNumber()
			if base := command.Int64("on"); base >= 0 {
				follows = uint64(base)
			}
			if follows == current.GetNumber() && len(differ.Compare(current.GetDeclaration(), next)) == 0 {
				o.print("nothing to change\n")
				return nil
			}
			return o.publish(ctx, command, next, follows)
		}),
	}
}

// publish sends a change and waits until it is in force on all serving daemons. A
// change that is not based on the revision in force is refused.
func (o *operatorClient) publish(ctx context.Context, command *cli.Command, next *schema.Declaration, follows uint64) error {
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
	return o.awaitInForce(ctx, response.Msg.GetRevision())
}

// userName returns the name of the user who runs the program, or "unknown".
func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// awaitInForce waits until the revision is in force on every serving daemon.
// After inForceTimeout it returns an error that lists the daemons behind it.
func (o *operatorClient) awaitInForce(ctx context.Context, revision uint64) error {
	start := time.Now()
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
			o.print("in force on %d daemons after %s\n", len(response.Msg.GetMembers()), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) > inForceTimeout {
			return errors.Errorf("revision %d is accepted but not yet in force on %s", revision, strings.Join(behind, ", "))
		}
		time.Sleep(inForcePollInterval)
	}
}
