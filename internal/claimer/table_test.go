package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/claimer"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

var digest = []byte("digest")

func claim(id, key string) *schema.Record {
	return &schema.Record{Id: id, Body: &schema.Record_Claim{Claim: &schema.Claim{Account: "a", Key: key, Digest: digest, Holder: id, Time: timestamppb.New(time.Unix(1_800_000_000, 0))}}}
}

func release(id, key string) *schema.Record {
	return &schema.Record{Id: "r" + id, Body: &schema.Record_Release{Release: &schema.Release{Claim: id, Account: "a", Key: key}}}
}

func outcome(id, key string) *schema.Record {
	return &schema.Record{Id: "o" + id, Body: &schema.Record_Outcome{Outcome: &schema.Outcome{Claim: id, Account: "a", Key: key, Status: 200}}}
}

// Guards against running a non-idempotent request twice. Each simulated daemon
// dispatches if it reads its own claim as the winner, and otherwise releases the
// claim. A duplicate of any earlier record can follow at any time, because a
// failed append is retried.
func TestAtMostOneClaimIsDispatched(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		table := claimer.NewTable(time.Hour)
		var records []*schema.Record
		dispatched := map[string]string{}
		settled := map[string]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id, key := fmt.Sprintf("c%d", i), fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
			record := claim(id, key)
			records = append(records, record)
			table.Apply(record)
			state := table.Lookup(claimer.Key{Account: "a", Key: key}, id, digest).State
			switch {
			case state == claimer.Owned && rapid.Bool().Draw(t, "dispatch"):
				if previous, already := dispatched[key]; already {
					t.Fatalf("dispatches of key %s got claims %s and %s, want one claim", key, previous, id)
				}
				dispatched[key] = id
				if rapid.Bool().Draw(t, "responds") {
					records = append(records, outcome(id, key))
				}
			default:
				records = append(records, release(id, key))
			}
			settled[id] = true
			table.Apply(records[len(records)-1])
			table.Apply(records[rapid.IntRange(0, len(records)-1).Draw(t, "copy")])
		}
	})
}

// Guards against a wrong state for a claim or a request, which would run a request
// twice or return the response of another request.
func TestLookup(t *testing.T) {
	rows := map[string]struct {
		records []*schema.Record
		claim   string
		digest  []byte
		want    claimer.State
	}{
		"no records":                         {want: claimer.Unclaimed, digest: digest},
		"own claim":                          {records: []*schema.Record{claim("1", "k")}, claim: "1", digest: digest, want: claimer.Owned},
		"another claim first":                {records: []*schema.Record{claim("1", "k"), claim("2", "k")}, claim: "2", digest: digest, want: claimer.Running},
		"released and claimed again":         {records: []*schema.Record{claim("1", "k"), release("1", "k"), claim("2", "k")}, claim: "2", digest: digest, want: claimer.Owned},
		"late duplicate of a released claim": {records: []*schema.Record{claim("1", "k"), release("1", "k"), claim("1", "k")}, claim: "1", digest: digest, want: claimer.Unclaimed},
		"finished":                           {records: []*schema.Record{claim("1", "k"), outcome("1", "k")}, digest: digest, want: claimer.Finished},
		"release after the outcome":          {records: []*schema.Record{claim("1", "k"), outcome("1", "k"), release("1", "k")}, digest: digest, want: claimer.Finished},
		"outcome of a losing claim":          {records: []*schema.Record{claim("1", "k"), claim("2", "k"), outcome("2", "k")}, digest: digest, want: claimer.Running},
		"same key with different content":    {records: []*schema.Record{claim("1", "k"), outcome("1", "k")}, digest: []byte("other"), want: claimer.Reused},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			table := claimer.NewTable(time.Hour)
			for _, record := range row.records {
				table.Apply(record)
			}
			if got := table.Lookup(claimer.Key{Account: "a", Key: "k"}, row.claim, row.digest).State; got != row.want {
				t.Errorf("Lookup() got state %v, want %v", got, row.want)
			}
		})
	}
}
