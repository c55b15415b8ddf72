package demonstrator

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/deploy"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/declarer"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
	"quetzalgrade.example/quetzalgrade/internal/sleeper"
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// LoadDeployment loads the declaration of an embedded deployment and replaces the
// API keys of its accounts by those that APIKey returns.
func LoadDeployment(name string) (*schema.Declaration, error) {
	files, err := fs.Sub(deploy.Files, name)
	if err != nil {
		return nil, errors.Wrap(err, "open deployment")
	}
	declaration, err := declarer.LoadFS(files, "deploy/"+name)
	if err != nil {
		return nil, err
	}
	return WithDemoKeys(declaration), nil
}

// DemoQualities holds the true mean rating of each version in the deployments.
var DemoQualities = map[string]float64{
	"wren@v1": 0.72, "wren@v2": 0.74, "heron@v3": 0.86, "eagle@v1": 0.94,
	"sparrow@v1": 0.70, "sparrow@v2": 0.73, "egret@v2": 0.84, "crane@v1": 0.93,
}

// demo holds the state of one run of Demo.
type demo struct {
	ctx        context.Context //nolint:containedctx // the context of the Demo call
	fleet      *Fleet
	httpClient *http.Client
	out        io.Writer
}

// Demo runs the Derwent deployment in this process, sends it requests over
// loopback and prints the results to out.
func Demo(ctx context.Context, out io.Writer, logger hclog.Logger) error {
	declaration, err := LoadDeployment("derwent")
	if err != nil {
		return err
	}
	fleet, err := Start(Options{
		Declaration:    declaration,
		Hosts:          LoopbackHosts{},
		DaemonsPerZone: 1,
		Qualities:      DemoQualities,
		Logger:         logger,
		DrainTimeout:   5 * time.Second,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &demo{ctx: ctx, fleet: fleet, httpClient: &http.Client{Transport: connector.NewTransport(connector.TCP{})}, out: out}
	for _, step := range []func() error{d.applyDeclaration, d.showChats, d.showConversation, d.showBookings, d.showRefusal, d.showBill, d.showAudit} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) print(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) clientAt(daemon int, account string) *caller.Client {
	return caller.New(d.httpClient, d.fleet.Daemons()[daemon].Server.Addresses().Clients, APIKey(account))
}

func (d *demo) applyDeclaration() error {
	if err := d.fleet.Apply(d.ctx, d.httpClient, d.fleet.options.Declaration, "demo", "first declaration"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(d.ctx, 30*time.Second)
	defer cancel()
	if err := d.fleet.WaitReady(ctx, d.httpClient); err != nil {
		return err
	}
	d.print("4 daemons, one in each zone, have revision 1 in force\n")
	return nil
}

// Apply publishes a declaration through the first daemon. It returns an error if
// the change is not accepted.
func (f *Fleet) Apply(ctx context.Context, client *http.Client, declaration *schema.Declaration, author, reason string) error {
	operator := f.OperatorClient(f.Daemons()[0], client)
	current, err := operator.Current(ctx, connect.NewRequest(&schema.CurrentRequest{}))
	if err != nil {
		return errors.Wrap(err, "read revision")
	}
	response, err := operator.Apply(ctx, connect.NewRequest(&schema.ApplyRequest{
		Declaration: declaration,
		Follows:     current.Msg.GetRevision().GetNumber(),
		Author:      author,
		Reason:      reason,
	}))
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	if !response.Msg.GetAccepted() {
		return errors.Errorf("change was not accepted: revision %d is in force", response.Msg.GetWinner())
	}
	return nil
}

func (d *demo) showChats() error {
	questions := []struct{ account, text string }{
		{"valley-growers", "When is my next turn at valve 14?"},
		{"seed-library", "Summarise this week's roster."},
		{"rota-office", "Draft a note to holders who missed a slot on Tuesday."},
	}
	for i, question := range questions {
		response, err := d.clientAt(i%4, question.account).Chat(d.ctx, caller.Chat{
			Messages: []caller.Message{{Role: "user", Content: question.text}},
			Stream:   i%2 == 0,
		})
		if err != nil {
			return errors.Wrap(err, "chat")
		}
		d.print("chat     %-16s %s\n         %s, %d tokens, cost %s, first token %s, end %s\n         why: %s\n         bill %s",
			question.account, question.text, response.Version, response.Output, response.Cost,
			response.First.Round(time.Millisecond), response.Took.Round(time.Millisecond), response.Why, response.Bill)
	}
	return nil
}

func (d *demo) showConversation() error {
	first, err := d.clientAt(0, "valley-growers").Chat(d.ctx, caller.Chat{Messages: []caller.Message{{Role: "user", Content: "I missed my slot."}}})
	if err != nil {
		return errors.Wrap(err, "first turn")
	}
	second, err := d.clientAt(3, "valley-growers").Chat(d.ctx, caller.Chat{
		Messages:     []caller.Message{{Role: "user", Content: "Can I swap with a neighbour?"}},
		Conversation: first.Conversation,
	})
	if err != nil {
		return errors.Wrap(err, "second turn")
	}
	d.print("\ntalk     first turn on %s at one daemon, second on %s at another", first.Version, second.Version)
	return nil
}

func (d *demo) showBookings() error {
	booking := caller.Call{Service: "turn-ledger", Method: http.MethodPost, Path: "/turns", Body: []byte(`{"valve":14,"hour":22}`), Key: "demo-booking-1"}
	for i := range 2 {
		result, err := d.clientAt(i, "rota-office").Call(d.ctx, booking)
		if err != nil {
			return errors.Wrap(err, "booking")
		}
		d.print("booking  key %s at daemon %d: status %d, %s, %s", booking.Key, i+1, result.Status, string(result.Body[:len(result.Body)-1]), result.Took.Round(time.Millisecond))
	}
	d.print("         the service ran %d booking", len(d.fleet.Ledgers["turn-ledger"].ExecutedCalls()))
	return nil
}

func (d *demo) showRefusal() error {
	_, err := d.clientAt(0, "rota-office").Chat(d.ctx, caller.Chat{Model: "wren", Messages: []caller.Message{{Role: "user", Content: "hello"}}})
	callerErr, ok := errors.Into[*caller.Error](err)
	if !ok {
		return errors.Errorf("request for a model that is not allowed got %v, want an error response", err)
	}
	d.print("refused  %s: %s (ran: %s)", callerErr.Kind, callerErr.Message, callerErr.Ran)
	return nil
}

// billTimeout is how long the demo waits for its bills to reach the log.
const billTimeout = 10 * time.Second

func (d *demo) showBill() error {
	operator := d.fleet.OperatorClient(d.fleet.Daemons()[0], d.httpClient)
	for start := time.Now(); ; {
		response, err := operator.Bill(d.ctx, connect.NewRequest(&schema.BillRequest{Account: "rota-office", Since: timestamppb.New(time.Unix(0, 0))}))
		if err != nil {
			return errors.Wrap(err, "bill")
		}
		if response.Msg.GetRequests() >= 2 || time.Since(start) > billTimeout {
			d.print("\nbill     rota-office: %s for %d requests (one chat, one booking)", pricer.Money(response.Msg.GetAmount()), response.Msg.GetRequests())
			return nil
		}
		sleeper.Sleep(d.ctx, 200*time.Millisecond)
	}
}

func (d *demo) showAudit() error {
	response, err := d.fleet.OperatorClient(d.fleet.Daemons()[2], d.httpClient).Audit(d.ctx, connect.NewRequest(&schema.AuditRequest{}))
	if err != nil {
		return errors.Wrap(err, "audit")
	}
	for _, entry := range response.Msg.GetEntries() {
		d.print("audit    revision %d by %s: %s (%d differences)", entry.GetRevision(), entry.GetChange().GetAuthor(), entry.GetChange().GetReason(), len(entry.GetChange().GetDifferences()))
	}
	return nil
}
