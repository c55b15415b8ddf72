package commander

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// statusCommand returns the command that shows the state of a daemon.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:         "status",
		Usage:        "show a daemon's view of members, endpoints, versions and rollouts",
		Description:  example("quetzalgrade status --address 127.0.0.1:7003 --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        operatorFlags(),
		Action: withOperator(func(ctx context.Context, _ *cli.Command, o *operatorClient) error {
			response, err := o.service.Inspect(ctx, connect.NewRequest(&schema.InspectRequest{}))
			if err != nil {
				return err
			}
			if o.json {
				return o.printJSON(response.Msg)
			}
			o.printStatus(response.Msg)
			return nil
		}),
	}
}

// printStatus prints the status as aligned tables.
func (o *operatorClient) printStatus(status *schema.InspectResponse) {
	table := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	row("daemon\t%s\trevision %d\tlog %s\tunsaved bills %d", status.GetName(), status.GetRevision(), upOrDown(status.GetConnected()), status.GetUnsaved())
	row("\nmember\tzone\tstatus\trevision")
	for _, member := range status.GetMembers() {
		row("%s\t%s\t%s\t%d", member.GetName(), member.GetZone(), enumText(member.GetStatus().String()), member.GetRevision())
	}
	row("\nversion\trating\tat least\tratings\tstopped")
	for _, version := range status.GetVersions() {
		row("%s\t%.3f\t%.3f\t%d\t%v", version.GetVersion(), version.GetMean(), version.GetLower(), version.GetRatings(), version.GetStopped())
	}
	row("\nendpoint\tservice\tzone\tin flight\tstate")
	for _, endpoint := range status.GetEndpoints() {
		row("%s\t%s\t%s\t%d\t%s", endpoint.GetAddress(), endpoint.GetService(), endpoint.GetZone(), endpoint.GetInflight(), endpointState(endpoint))
	}
	for _, rollout := range status.GetRollouts() {
		row("\nroll-out\tphase\tstage\tratings\tworse\tnot worse\texposed here")
		row("%s\t%s\t%d\t%d\t%.2f\t%.2f\t%d", rollout.GetName(), enumText(rollout.GetRollout().GetPhase().String()), rollout.GetRollout().GetStage(), rollout.GetPairs(), rollout.GetWorse(), rollout.GetBetter(), rollout.GetExposed())
	}
	for _, stop := range status.GetStops() {
		row("\nstopped %s: %s (by %s)", stop.GetVersion(), stop.GetReason(), stop.GetOrigin())
	}
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

// enumText returns the name of an enum value without its prefix and in lower
// case: "alive" for STATUS_ALIVE.
func enumText(name string) string {
	_, text, _ := strings.Cut(name, "_")
	return strings.ToLower(text)
}

// endpointState returns the text of the state column of an endpoint.
func endpointState(endpoint *schema.EndpointStatus) string {
	switch {
	case endpoint.GetLeaving():
		return "leaving"
	case endpoint.GetEjected():
		return "ejected"
	default:
		return "in use"
	}
}

// auditCommand returns the command that shows the audit trail.
func auditCommand() *cli.Command {
	return &cli.Command{
		Name:         "audit",
		Usage:        "show the audit trail: who changed what, when and why",
		Description:  example("quetzalgrade audit --address 127.0.0.1:7003 --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        operatorFlags(),
		Action: withOperator(func(ctx context.Context, _ *cli.Command, o *operatorClient) error {
			response, err := o.service.Audit(ctx, connect.NewRequest(&schema.AuditRequest{}))
			if err != nil {
				return err
			}
			if o.json {
				return o.printJSON(response.Msg)
			}
			for _, entry := range response.Msg.GetEntries() {
				change := entry.GetChange()
				decision := "accepted"
				if !entry.GetAccepted() {
					decision = fmt.Sprintf("refused (planned on %d)", entry.GetFollows())
				}
				o.print("revision %d %s  %s  %s: %s\n", entry.GetRevision(), decision, change.GetTime().AsTime().Format(time.RFC3339), change.GetAuthor(), change.GetReason())
				o.printDifferences(change.GetDifferences())
			}
			return nil
		}),
	}
}

// billCommand returns the command that sums the bills of an account.
func billCommand() *cli.Command {
	return &cli.Command{
		Name:         "bill",
		Usage:        "sum the bills of an account in the log",
		ArgsUsage:    "ACCOUNT",
		Description:  example("quetzalgrade bill rota-office --since 24h --token operators.key"),
		OnUsageError: onUsageError,
		Flags:        operatorFlags(&cli.DurationFlag{Name: "since", Usage: "sum the bills of the last `TIME`", Value: 24 * time.Hour}),
		Action: withOperator(func(ctx context.Context, command *cli.Command, o *operatorClient) error {
			if !command.Args().Present() {
				return usageErrorf("give the name of the account")
			}
			response, err := o.service.Bill(ctx, connect.NewRequest(&schema.BillRequest{
				Account: command.Args().First(),
				Since:   timestamppb.New(time.Now().Add(-command.Duration("since"))),
			}))
			if err != nil {
				return err
			}
			if o.json {
				return o.printJSON(response.Msg)
			}
			bill := response.Msg
			o.print("%s: %s for %d requests", bill.GetAccount(), pricer.Money(bill.GetAmount()), bill.GetRequests())
			if bill.GetUnsaved() > 0 {
				o.print("; %d bills at this daemon are not in the log yet", bill.GetUnsaved())
			}
			o.print("\n")
			return nil
		}),
	}
}
