package orderer_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/orderer"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const leaseDuration = 15 * time.Second

// daemon is a daemon that has applied the first records of the log.
type daemon struct {
	name           string
	leases         *orderer.LeaseTable
	appliedRecords int
}

// Daemons with synchronised clocks request the lease at random times and lag
// behind the log by random amounts, and the log contains duplicate records. The
// test guards against two daemons that send orders at the same time.
func TestAtMostOneHolderSendsOrders(t *testing.T) {
	type entry struct {
		id    string
		lease *schema.Lease
	}
	repeater.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		daemons := make([]*daemon, 3)
		for i := range daemons {
			daemons[i] = &daemon{name: fmt.Sprint("d", i), leases: orderer.NewLeaseTable()}
		}
		var log []entry
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6_000).Draw(t, "wait")) * time.Millisecond)
			holder := daemons[rapid.IntRange(0, 2).Draw(t, "asks")].name
			log = append(log, entry{fmt.Sprint(i), &schema.Lease{Zone: "z", Holder: holder, Time: timestamppb.New(now), Life: durationpb.New(leaseDuration)}})
			if rapid.IntRange(0, 4).Draw(t, "copies") == 0 {
				log = append(log, log[rapid.IntRange(0, len(log)-1).Draw(t, "copy")])
			}
			sending := map[string]uint64{}
			for _, d := range daemons {
				for until := rapid.IntRange(d.appliedRecords, len(log)).Draw(t, "reads"); d.appliedRecords < until; d.appliedRecords++ {
					d.leases.Apply(log[d.appliedRecords].id, uint64(d.appliedRecords), log[d.appliedRecords].lease)
				}
				lease, hasLease := d.leases.Lease("z")
				input := orderer.DecisionInput{DaemonID: d.name, Lease: lease, HasLease: hasLease, LastRequested: now.Add(-time.Second), Now: now}
				if orderer.Decide(input) == orderer.SendOrders {
					sending[d.name] = lease.FencingNumber
				}
			}
			if len(sending) > 1 {
				t.Fatalf("daemons that send orders, with fencing numbers, got %v, want at most one", sending)
			}
		}
	})
}

// The test guards against orders sent with a lease that is expiring, held by
// another daemon or too close to the previous lease, and against lease requests
// that come too early or not at all.
func TestDecide(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ownLease := orderer.Lease{Holder: "me", RequestedAt: now.Add(-time.Second), Expires: now.Add(14 * time.Second)}
	baseInput := orderer.DecisionInput{DaemonID: "me", Lease: ownLease, HasLease: true, LastRequested: now.Add(-time.Second), FreeSince: now.Add(-time.Hour), Now: now}
	tests := map[string]struct {
		change func(*orderer.DecisionInput)
		want   orderer.Action
	}{
		"new lease of this daemon": {func(*orderer.DecisionInput) {}, orderer.SendOrders},
		"lease of this daemon is due for renewal": {func(s *orderer.DecisionInput) {
			s.Lease.RequestedAt, s.LastRequested = now.Add(-6*time.Second), now.Add(-6*time.Second)
		}, orderer.RequestLease},
		"lease of this daemon is about to expire": {func(s *orderer.DecisionInput) { s.Lease.Expires = now.Add(2 * time.Second) }, orderer.Wait},
		"lease of another daemon":                 {func(s *orderer.DecisionInput) { s.Lease.Holder = "you" }, orderer.Wait},
		"expired lease":                           {func(s *orderer.DecisionInput) { s.Lease.Expires, s.LastRequested = now.Add(-time.Second), time.Time{} }, orderer.RequestLease},
		"expired lease before the takeover delay": {func(s *orderer.DecisionInput) {
			s.Lease.Expires, s.Rank, s.FreeSince = now.Add(-time.Second), 1, now.Add(-time.Second)
		}, orderer.Wait},
		"previous lease expired 1 s ago":  {func(s *orderer.DecisionInput) { s.Lease.PreviousExpires = now.Add(-time.Second) }, orderer.Wait},
		"previous lease expired 10 s ago": {func(s *orderer.DecisionInput) { s.Lease.PreviousExpires = now.Add(-10 * time.Second) }, orderer.SendOrders},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			input := baseInput
			test.change(&input)
			if got := orderer.Decide(input); got != test.want {
				t.Errorf("Decide() got %v, want %v", got, test.want)
			}
		})
	}
}
