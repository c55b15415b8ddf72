package runner

import (
	"maps"
	"testing"
)

// TestEvacuationsInAnyOrder guards against an evacuation that is lost, or comes back after its
// withdrawal, because records and snapshots of the topic repeat, overlap or arrive late.
func TestEvacuationsInAnyOrder(t *testing.T) {
	snapshot := func(next int64, records ...evacuationRecord) evacuationChange {
		return evacuationChange{complete: true, records: records, next: next}
	}
	page := func(next int64, records ...evacuationRecord) evacuationChange {
		return evacuationChange{records: records, next: next}
	}
	evacuate := func(zone string, offset int64) evacuationRecord { return evacuationRecord{zone, true, offset} }
	withdraw := func(zone string, offset int64) evacuationRecord { return evacuationRecord{zone, false, offset} }
	rows := map[string]struct {
		changes []evacuationChange
		want    map[string]int64
	}{
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
