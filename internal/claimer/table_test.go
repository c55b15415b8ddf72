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

// TestAtMostOneClaimDispatches plays daemons that dispatch when they read
// their own claim as the winner, or else release, with copies of every record
// landing at any later time.
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
					t.Fatalf("key %s got dispatched by %s and %s, want one", key, previous, id)
				}
				dispatched[key] = id
				if rapid.Bool().Draw(t, "answers") {
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

func TestLookup(t *testing.T) {
	rows := map[string]struct {
		records []*schema.Record
		claim   string
		digest  []byte
		want    claimer.State
	}{
		"nothing known":                     {want: claimer.Unclaimed, digest: digest},
		"own claim":                         {records: []*schema.Record{claim("1", "k")}, claim: "1", digest: digest, want: claimer.Owned},
		"another's claim":                   {records: []*schema.Record{claim("1", "k"), claim("2", "k")}, claim: "2", digest: digest, want: claimer.Running},
		"released and claimed":              {records: []*schema.Record{claim("1", "k"), release("1", "k"), claim("2", "k")}, claim: "2", digest: digest, want: claimer.Owned},
		"a late copy of a released claim":   {records: []*schema.Record{claim("1", "k"), release("1", "k"), claim("1", "k")}, claim: "1", digest: digest, want: claimer.Unclaimed},
		"finished":                          {records: []*schema.Record{claim("1", "k"), outcome("1", "k")}, digest: digest, want: claimer.Finished},
		"a release after the outcome":       {records: []*schema.Record{claim("1", "k"), outcome("1", "k"), release("1", "k")}, digest: digest, want: claimer.Finished},
		"an outcome of a claim that lost":   {records: []*schema.Record{claim("1", "k"), claim("2", "k"), outcome("2", "k")}, digest: digest, want: claimer.Running},
		"the key of a request that differs": {records: []*schema.Record{claim("1", "k"), outcome("1", "k")}, digest: []byte("other"), want: claimer.Reused},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			table := claimer.NewTable(time.Hour)
			for _, record := range row.records {
				table.Apply(record)
			}
			if got := table.Lookup(claimer.Key{Account: "a", Key: "k"}, row.claim, row.digest).State; got != row.want {
				t.Errorf("state got %v, want %v", got, row.want)
			}
		})
	}
}
