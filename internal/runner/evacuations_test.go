package runner

import (
	"maps"
	"slices"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// evacuationRow is a test of changes, one after the other, and of the zones that are evacuated then.
type evacuationRow struct {
	changes []evacuationChange
	want    map[string]int64
}

// testEvacuations runs the tests by their names.
func testEvacuations(t *testing.T, rows map[string]evacuationRow) {
	t.Helper()
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			state := newEvacuations()
			for _, change := range row.changes {
				state.apply(change)
			}
			if !maps.Equal(state.zones, row.want) {
				t.Errorf("evacuated zones got %v, want %v", state.zones, row.want)
			}
		})
	}
}

// evacuate and withdraw return records of the operators' topic.
func evacuate(zone string, offset int64) evacuationRecord {
	return evacuationRecord{zone, true, offset}
}

func withdraw(zone string, offset int64) evacuationRecord {
	return evacuationRecord{zone, false, offset}
}

// TestEvacuationsInAnyOrder guards against an evacuation that is lost, or comes back after its
// withdrawal, because records and snapshots of the topic repeat, overlap or arrive late.
func TestEvacuationsInAnyOrder(t *testing.T) {
	snapshot := func(next int64, records ...evacuationRecord) evacuationChange {
		return evacuationChange{complete: true, records: records, next: next}
	}
	page := func(next int64, records ...evacuationRecord) evacuationChange {
		return evacuationChange{records: records, next: next}
	}
	rows := map[string]evacuationRow{
		"evacuated":                   {[]evacuationChange{snapshot(2), page(3, evacuate("a", 2))}, map[string]int64{"a": 2}},
		"two zones":                   {[]evacuationChange{page(4, evacuate("a", 2), evacuate("b", 3))}, map[string]int64{"a": 2, "b": 3}},
		"withdrawn":                   {[]evacuationChange{page(3, evacuate("a", 2)), page(4, withdraw("a", 3))}, nil},
		"withdrawn in one page":       {[]evacuationChange{page(4, evacuate("a", 2), withdraw("a", 3))}, nil},
		"withdrawn and evacuated":     {[]evacuationChange{page(5, evacuate("a", 2), withdraw("a", 3), evacuate("a", 4))}, map[string]int64{"a": 4}},
		"absent from a snapshot":      {[]evacuationChange{page(3, evacuate("a", 2)), snapshot(9, evacuate("b", 5))}, map[string]int64{"b": 5}},
		"in a snapshot":               {[]evacuationChange{page(3, evacuate("a", 2)), snapshot(9, evacuate("a", 2))}, map[string]int64{"a": 2}},
		"read twice":                  {[]evacuationChange{page(3, evacuate("a", 2)), page(3, evacuate("a", 2))}, map[string]int64{"a": 2}},
		"read again once withdrawn":   {[]evacuationChange{page(4, evacuate("a", 2), withdraw("a", 3)), page(3, evacuate("a", 2))}, nil},
		"older snapshot without it":   {[]evacuationChange{page(6, evacuate("a", 5)), snapshot(4)}, map[string]int64{"a": 5}},
		"older snapshot with another": {[]evacuationChange{page(6, evacuate("a", 2), withdraw("a", 5)), snapshot(4, evacuate("a", 2))}, nil},
		"records after an older snapshot": {[]evacuationChange{
			page(6, evacuate("a", 2), withdraw("a", 3), evacuate("b", 5)), snapshot(3, evacuate("a", 2)), page(7, withdraw("a", 3), evacuate("b", 5), withdraw("b", 6)),
		}, nil},
		// The pages of a snapshot are read one after the other.
		"snapshot with a later record":         {[]evacuationChange{snapshot(5, evacuate("a", 7)), page(8, withdraw("a", 6), evacuate("a", 7))}, map[string]int64{"a": 7}},
		"snapshot that ends before the record": {[]evacuationChange{snapshot(5, evacuate("a", 7)), snapshot(6)}, map[string]int64{"a": 7}},
	}
	testEvacuations(t, rows)
}

// TestEvacuationsAfterRestoreOfLog guards against an evacuation, or a withdrawal, that is ignored
// because it is written again at a lower offset after the log has lost it, even before the first
// read of the epoch, and against an evacuation that ends because the log has lost its record.
func TestEvacuationsAfterRestoreOfLog(t *testing.T) {
	page := func(epoch subscriber.Epoch, next int64, records ...evacuationRecord) evacuationChange {
		return evacuationChange{records: records, next: next, epoch: epoch}
	}
	complete := func(epoch subscriber.Epoch, next int64, records ...evacuationRecord) evacuationChange {
		return evacuationChange{complete: true, records: records, next: next, epoch: epoch}
	}
	merged := func(epoch subscriber.Epoch, next int64, lost ...string) evacuationChange {
		return evacuationChange{next: next, epoch: epoch, lost: lost}
	}
	rows := map[string]evacuationRow{
		"lost":                               {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a")}, map[string]int64{"a": lostOffset}},
		"lost and written again below":       {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), page(2, 5, evacuate("a", 4))}, map[string]int64{"a": 4}},
		"lost and written again above":       {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), page(2, 21, evacuate("a", 20))}, map[string]int64{"a": 20}},
		"lost and withdrawn":                 {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), page(2, 5, withdraw("a", 4))}, nil},
		"lost and never written again":       {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), complete(2, 4)}, nil},
		"lost, a complete change of before":  {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), complete(1, 9)}, map[string]int64{"a": lostOffset}},
		"lost, another zone is evacuated":    {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), page(2, 5, evacuate("b", 4))}, map[string]int64{"a": lostOffset, "b": 4}},
		"lost twice":                         {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), merged(3, 3, "a"), page(3, 4, withdraw("a", 3))}, nil},
		"kept by the log and withdrawn":      {[]evacuationChange{page(1, 30, evacuate("a", 2)), merged(2, 4), page(2, 5, withdraw("a", 4))}, nil},
		"kept by the log":                    {[]evacuationChange{page(1, 30, evacuate("a", 2)), merged(2, 4), complete(2, 4, evacuate("a", 2))}, map[string]int64{"a": 2}},
		"known to a peer alone":              {[]evacuationChange{complete(2, 4, evacuate("a", lostOffset))}, map[string]int64{"a": lostOffset}},
		"known to a peer, then withdrawn":    {[]evacuationChange{complete(2, 4, evacuate("a", lostOffset)), page(2, 5, withdraw("a", 4))}, nil},
		"known to a peer, then not":          {[]evacuationChange{complete(2, 4, evacuate("a", lostOffset)), complete(2, 4)}, nil},
		"known to a peer later":              {[]evacuationChange{complete(2, 4), page(2, 4, evacuate("a", lostOffset))}, map[string]int64{"a": lostOffset}},
		"written again, a peer knows before": {[]evacuationChange{page(2, 5, evacuate("a", 4)), page(2, 5, withdraw("a", lostOffset))}, map[string]int64{"a": 4}},
		"withdrawn, then the restore":        {[]evacuationChange{page(1, 9, evacuate("a", 7), withdraw("a", 8)), merged(2, 8)}, nil},
		"withdrawn, then evacuated below":    {[]evacuationChange{page(1, 9, evacuate("a", 7), withdraw("a", 8)), merged(2, 4), page(2, 5, evacuate("a", 4))}, map[string]int64{"a": 4}},
		"a page of before the restore":       {[]evacuationChange{page(1, 9, evacuate("a", 8)), merged(2, 4, "a"), page(1, 10, withdraw("a", 9))}, map[string]int64{"a": lostOffset}},
		"a page of the log without an epoch": {[]evacuationChange{page(2, 9, evacuate("a", 8)), page(0, 10, withdraw("a", 9))}, nil},
		"the log begins to name its epoch":   {[]evacuationChange{page(0, 9, evacuate("a", 7), withdraw("a", 8)), page(1, 9, evacuate("a", 7))}, nil},
		"found lower, withdrawn":             {[]evacuationChange{page(1, 9, evacuate("a", 8)), page(2, 6, evacuate("a", 5)), page(2, 7, withdraw("a", 6))}, nil},
		"found lower, then not":              {[]evacuationChange{page(1, 9, evacuate("a", 8)), page(2, 6, evacuate("a", 5)), complete(2, 7)}, nil},
		"found lower":                        {[]evacuationChange{page(1, 9, evacuate("a", 8)), page(2, 6, evacuate("a", 5))}, map[string]int64{"a": 5}},
		"found lower as withdrawn":           {[]evacuationChange{page(1, 9, evacuate("a", 8)), page(2, 6, withdraw("a", 5))}, nil},
		"lower when the log names its epoch": {[]evacuationChange{page(0, 9, evacuate("a", 8)), page(1, 9, withdraw("a", 5))}, map[string]int64{"a": 8}},
		"complete change of the new epoch":   {[]evacuationChange{page(1, 9, evacuate("a", 8)), complete(2, 5, evacuate("b", 4))}, map[string]int64{"b": 4}},
	}
	testEvacuations(t, rows)
}

// TestEvacuationOfFormerEpoch guards against an evacuation that a withdrawal at a lower offset does
// not end, because a peer passed on its record with the offset of a former epoch.
func TestEvacuationOfFormerEpoch(t *testing.T) {
	rows := map[string]struct {
		epoch, recordEpoch subscriber.Epoch
		want               int64
	}{
		"of the epoch":         {2, 2, 8},
		"of a former epoch":    {2, 1, lostOffset},
		"the log has no epoch": {0, 0, 8},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			records := []operatorRecord{
				{OperatorRecord{EvacuatedZone: "a"}, 8, row.recordEpoch},
				{OperatorRecord{ReturnedZone: "b"}, 8, row.recordEpoch},
			}
			got := newEvacuationChange(subscriber.Change{Epoch: row.epoch}, records, nil).records
			if want := []evacuationRecord{{"a", true, row.want}, {"b", false, row.want}}; !slices.Equal(got, want) {
				t.Errorf("records got %v, want %v", got, want)
			}
		})
	}
}
