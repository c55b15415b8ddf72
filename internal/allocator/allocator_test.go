package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/allocator"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const limit = 1000

// daemon is a holder whose clock may differ from the true time.
type daemon struct {
	name       string
	allocation allocator.Allocation
	clockSkew  time.Duration
}

// The test guards against daemons that together hold more than the limit. This
// could happen when daemons request, renew, release and transfer allocations and
// crash, while records are lost or duplicated and clocks are off by up to ten
// seconds.
func TestHeldSharesNeverExceedTheLimit(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		ledger := allocator.NewLedger()
		daemons := make([]*daemon, 4)
		for i := range daemons {
			daemons[i] = &daemon{name: fmt.Sprint("d", i), clockSkew: time.Duration(rapid.IntRange(-10, 10).Draw(t, "skew")) * time.Second}
		}
		recordID := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
			d := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			localTime := now.Add(d.clockSkew)
			amount := int64(rapid.IntRange(300, 1000).Draw(t, "amount"))
			recordID++
			grant := &schema.Grant{Resource: "r", Holder: d.name, Limit: limit, Time: timestamppb.New(localTime), Life: durationpb.New(time.Minute)}
			switch rapid.SampledFrom([]string{"request", "request", "request", "renew", "release", "move", "crash", "use"}).Draw(t, "step") {
			case "request":
				grant.Amount = amount
				granted, expiresAt := ledger.Apply(fmt.Sprint(recordID), grant)
				if regranted, _ := ledger.Apply(fmt.Sprint(recordID), grant); regranted != 0 {
					t.Fatalf("amount granted by a duplicate record got %d, want 0", regranted)
				}
				if rapid.Bool().Draw(t, "received") {
					d.allocation.Add(granted, expiresAt)
				}
			case "renew":
				grant.Amount, grant.Renew = d.allocation.ExpiringBefore(localTime.Add(time.Hour)), true
				if grant.GetAmount() > 0 {
					granted, expiresAt := ledger.Apply(fmt.Sprint(recordID), grant)
					d.allocation.Renew(granted, expiresAt)
				}
			case "release":
				released, _ := d.allocation.Release(amount, localTime)
				grant.Amount = -released
				if released > 0 && rapid.Bool().Draw(t, "delivered") {
					ledger.Apply(fmt.Sprint(recordID), grant)
				}
			case "move":
				released, expiresAt := d.allocation.Release(amount, localTime)
				if rapid.Bool().Draw(t, "delivered") {
					daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "to")].allocation.Add(released, expiresAt)
				}
			case "crash":
				d.allocation = allocator.Allocation{}
			case "use":
				if d.allocation.Reserve(amount, localTime) {
					d.allocation.Settle(amount, amount/2)
				}
			}
			var total int64
			for _, holder := range daemons {
				total += holder.allocation.Total(now.Add(holder.clockSkew))
			}
			if total > limit {
				t.Fatalf("sum of allocations got %d, want at most %d", total, limit)
			}
		}
	})
}
