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
	"quetzalgrade.example/quetzalgrade/pkg/caller"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Deployment loads the declaration of an embedded deployment, with keys that
// are known to the demo.
func Deployment(name string) (*schema.Declaration, error) {
	files, err := fs.Sub(deploy.Files, name)
	if err != nil {
		return nil, errors.Wrap(err, "open deployment")
	}
	declaration, err := declarer.LoadFS(files, "deploy/"+name)
	if err != nil {
		return nil, err
	}
	return WithKeys(declaration), nil
}

// DemoQualities are the true mean ratings of the demo's versions.
var DemoQualities = map[string]float64{
	"wren@v1": 0.72, "wren@v2": 0.74, "heron@v3": 0.86, "eagle@v1": 0.94,
	"sparrow@v1": 0.70, "sparrow@v2": 0.73, "egret@v2": 0.84, "crane@v1": 0.93,
}

// demo is one run of the demo.
type demo struct {
	ctx    context.Context //nolint:containedctx // the demo's own lifetime
	fleet  *Fleet
	client *http.Client
	out    io.Writer
}

// Demo runs the Derwent deployment in this process, sends it real requests and
// prints what came back.
func Demo(ctx context.Context, out io.Writer, logger hclog.Logger) error {
	declaration, err := Deployment("derwent")
	if err != nil {
		return err
	}
	fleet, err := Start(Options{
		Declaration: declaration,
		Hosts:       Loopback{},
		PerZone:     1,
		Qualities:   DemoQualities,
		Logger:      logger,
		Drain:       5 * time.Second,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &demo{ctx: ctx, fleet: fleet, client: &http.Client{Transport: connector.NewTransport(connector.TCP{})}, out: out}
	for _, step := range []func() error{d.apply, d.chats, d.conversation, d.bookings, d.refusals, d.bill, d.audit} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) print(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) caller(daemon int, account string) *caller.Client {
	return caller.New(d.client, d.fleet.Daemons()[daemon].Server.Addresses().Clients, Key(account))
}

func (d *demo) apply() error {
	if err := d.fleet.Apply(d.ctx, d.client, d.fleet.options.Declaration, "demo", "first declaration"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(d.ctx, 30*time.Second)
	defer cancel()
	if err := d.fleet.Ready(ctx, d.client); err != nil {
		return err
	}
	d.print("4 daemons, one in each zone, have revision 1 in force\n")
	return nil
}

// Apply publishes a declaration through the first daemon.
func (f *Fleet) Apply(ctx context.Context, client *http.Client, declaration *schema.Declaration, author, reason string) error {
	operator := f.Operator(f.Daemons()[0], client)
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
		return errors.Errorf("apply was refused; revision %d is in force", response.Msg.GetWinner())
	}
	return nil
}

func (d *demo) chats() error {
	questions := []struct{ account, text string }{
		{"valley-growers", "When is my next turn at valve 14?"},
		{"seed-library", "Summarise this week's roster."},
		{"rota-office", "Draft a note to holders who missed a slot on Tuesday."},
	}
	for i, question := range questions {
		answer, err := d.caller(i%4, question.account).Chat(d.ctx, caller.Chat{
			Messages: []caller.Message{{Role: "user", Content: question.text}},
			Stream:   i%2 == 0,
		})
		if err != nil {
			return errors.Wrap(err, "chat")
		}
		d.print("chat     %-16s %s\n         %s, %d tokens, cost %s, first token %s, end %s\n         why: %s\n         bill %s",
			question.account, question.text, answer.Version, answer.Output, answer.Cost,
			answer.First.Round(time.Millisecond), answer.Took.Round(time.Millisecond), answer.Why, answer.Bill)
	}
	return nil
}

func (d *demo) conversation() error {
	first, err := d.caller(0, "valley-growers").Chat(d.ctx, caller.Chat{Messages: []caller.Message{{Role: "user", Content: "I missed my slot."}}})
	if err != nil {
		return errors.Wrap(err, "first turn")
	}
	second, err := d.caller(3, "valley-growers").Chat(d.ctx, caller.Chat{
		Messages:     []caller.Message{{Role: "user", Content: "Can I swap with a neighbour?"}},
		Conversation: first.Conversation,
	})
	if err != nil {
		return errors.Wrap(err, "second turn")
	}
	d.print("\ntalk     first turn on %s at one daemon, second on %s at another", first.Version, second.Version)
	return nil
}

func (d *demo) bookings() error {
	booking := caller.Call{Service: "turn-ledger", Method: http.MethodPost, Path: "/turns", Body: []byte(`{"valve":14,"hour":22}`), Key: "demo-booking-1"}
	for i := range 2 {
		result, err := d.caller(i, "rota-office").Call(d.ctx, booking)
		if err != nil {
			return errors.Wrap(err, "booking")
		}
		d.print("booking  key %s at daemon %d: status %d, %s, %s", booking.Key, i+1, result.Status, string(result.Body[:len(result.Body)-1]), result.Took.Round(time.Millisecond))
	}
	d.print("         the service ran %d booking", len(d.fleet.Ledgers["turn-ledger"].Bookings()))
	return nil
}

func (d *demo) refusals() error {
	_, err := d.caller(0, "rota-office").Chat(d.ctx, caller.Chat{Model: "wren", Messages: []caller.Message{{Role: "user", Content: "hello"}}})
	failure, ok := errors.Into[*caller.Error](err)
	if !ok {
		return errors.Errorf("a model that is not allowed got %v, want an error answer", err)
	}
	d.print("refused  %s: %s (ran: %s)", failure.Kind, failure.Message, failure.Ran)
	return nil
}

// billWait is how long the demo waits for its bills to be in the log.
const billWait = 10 * time.Second

func (d *demo) bill() error {
	operator := d.fleet.Operator(d.fleet.Daemons()[0], d.client)
	for began := time.Now(); ; {
		response, err := operator.Bill(d.ctx, connect.NewRequest(&schema.BillRequest{Account: "rota-office", Since: timestamppb.New(time.Unix(0, 0))}))
		if err != nil {
			return errors.Wrap(err, "bill")
		}
		if response.Msg.GetRequests() >= 2 || time.Since(began) > billWait {
			d.print("\nbill     rota-office: %s for %d requests (one chat, one booking)", pricer.Money(response.Msg.GetAmount()), response.Msg.GetRequests())
			return nil
		}
		wait(d.ctx, 200*time.Millisecond)
	}
}

func (d *demo) audit() error {
	response, err := d.fleet.Operator(d.fleet.Daemons()[2], d.client).Audit(d.ctx, connect.NewRequest(&schema.AuditRequest{}))
	if err != nil {
		return errors.Wrap(err, "audit")
	}
	for _, entry := range response.Msg.GetEntries() {
		d.print("audit    revision %d by %s: %s (%d differences)", entry.GetRevision(), entry.GetChange().GetAuthor(), entry.GetChange().GetReason(), len(entry.GetChange().GetDifferences()))
	}
	return nil
}
