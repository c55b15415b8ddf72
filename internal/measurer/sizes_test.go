package measurer_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/measurer"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Numbers of workers and versions for which deployments are planned.
const (
	plannedWorkers  = 600
	plannedVersions = 39
)

// plannedDeclaration returns a declaration with plannedWorkers workers and
// plannedVersions versions.
func plannedDeclaration(t *testing.T) *schema.Declaration {
	t.Helper()
	declaration, err := demonstrator.LoadDeployment("mekong")
	if err != nil {
		t.Fatalf("Deployment() got error %v, want nil", err)
	}
	versions := declaration.GetModels()["crane"].GetVersions()
	for i := len(versions); i < plannedVersions; i++ {
		versions[fmt.Sprintf("v%d", i)] = proto.CloneOf(versions["v1"])
	}
	pool := declaration.GetServices()["quetzal-pool"]
	first := pool.GetWorkers()[0]
	for i := len(pool.GetWorkers()); i < plannedWorkers; i++ {
		worker := proto.CloneOf(first)
		worker.Address = fmt.Sprintf("10.1.%d.%d:9000", i>>8, i&0xff)
		pool.Workers = append(pool.Workers, worker)
	}
	return declaration
}

func TestMeasureRecords(t *testing.T) {
	now := timestamppb.New(time.Unix(1_800_000_000, 0))
	id := "can-tho-1/1800000000000000000/123456"
	bill := biller.ID("can-tho-depot", id)
	records := []struct {
		name   string
		record *schema.Record
	}{
		{"bill", &schema.Record{Body: &schema.Record_Bill{Bill: &schema.Bill{Id: bill, Account: "can-tho-depot", Service: "chat", Version: "sparrow@v1", Input: 900, Output: 206, Amount: 12345, Time: now}}}},
		{"claim", &schema.Record{Id: id, Body: &schema.Record_Claim{Claim: &schema.Claim{Account: "booking-staff", Key: "booking-desk/0b6c1c3e-5f3b-4a43", Digest: make([]byte, 32), Holder: id, Time: now}}}},
		{"outcome, 200 bytes of answer", &schema.Record{Id: id, Body: &schema.Record_Outcome{Outcome: &schema.Outcome{Claim: id, Account: "booking-staff", Key: "booking-desk/0b6c1c3e-5f3b-4a43", Status: 200, Type: "application/json", Body: make([]byte, 200), Bill: bill}}}},
		{"grant", &schema.Record{Id: id, Body: &schema.Record_Grant{Grant: &schema.Grant{Resource: "spend/can-tho-depot/2026-12-04", Holder: id, Amount: 1_000_000, Limit: 25_000_000, Time: now, Life: durationpb.New(6 * time.Hour)}}}},
		{"evidence", &schema.Record{Id: id, Body: &schema.Record_Evidence{Evidence: &schema.Evidence{Rollout: "sparrow-v2/sparrow@v2/1", Holder: id, Pairs: 500, Worse: make([]float64, 5), Better: make([]float64, 5), Control: &schema.Control{Count: 1, Sum: 1, Squares: 1}}}}},
		{"lease", &schema.Record{Id: id, Body: &schema.Record_Lease{Lease: &schema.Lease{Zone: "can-tho", Holder: id, Time: now, Life: durationpb.New(15 * time.Second)}}}},
		{"revision, 600 workers, 39 versions", &schema.Record{Id: id, Body: &schema.Record_Revision{Revision: &schema.Revision{Number: 1, Declaration: plannedDeclaration(t), Copied: now, Change: &schema.Change{Author: "operator", Reason: "more spend", Time: now}}}}},
	}
	table := measurer.Table{Title: "Sizes of records", Columns: []string{"record", "bytes"}}
	for _, row := range records {
		size := proto.Size(row.record)
		if size == 0 {
			t.Errorf("size of %s got 0, want more", row.name)
		}
		table.Rows = append(table.Rows, []string{row.name, fmt.Sprint(size)})
	}
	writeTable(t, table)
}
