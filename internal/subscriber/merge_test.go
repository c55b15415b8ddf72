package subscriber

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/repeater"
)

// record returns a record of a test. A value of "" is a deletion.
func record(key, value string, offset int64, epoch Epoch) Record {
	result := Record{Key: key, Offset: offset, Epoch: epoch}
	if value != "" {
		result.Value = []byte(value)
	}
	return result
}

// content is what a test compares of a record.
type content struct {
	value  string
	offset int64
	epoch  Epoch
}

func contents(records map[string]Record) map[string]content {
	result := map[string]content{}
	for key, record := range records {
		result[key] = content{string(record.Value), record.Offset, record.Epoch}
	}
	return result
}

// TestMerge guards against knowledge that older records replace after a restore of the log, or that
// is dropped because the log lacks it, and against new records that are taken for old ones.
func TestMerge(t *testing.T) {
	kept := func(value string, offset int64, epoch Epoch) content { return content{value, offset, epoch} }
	rows := map[string]struct {
		known []Record
		past  []Record
		// from is the position up to which the topic was read; 0 means offset 9 of epoch 1.
		from     Position
		snapshot []Record
		// next is the position of the snapshot; 0 means offset 5 of epoch 2.
		next        Position
		want        map[string]content
		wantChanged []string
		wantLost    []string
	}{
		"unchanged record": {
			known: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "a", 3, 2)},
			want: map[string]content{"k": kept("a", 3, 2)},
		},
		"older record": {
			known: []Record{record("k", "b", 7, 1)}, past: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "a", 3, 2)},
			want: map[string]content{"k": kept("b", 7, 1)}, wantLost: []string{"k"},
		},
		"missing record": {
			known: []Record{record("k", "b", 7, 1)},
			want:  map[string]content{"k": kept("b", 7, 1)}, wantLost: []string{"k"},
		},
		"deleted record that shows again": {
			past: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "a", 3, 2)},
			want: map[string]content{"k": kept("", 4, 1)}, wantLost: []string{"k"},
		},
		"record written again at another offset": {
			known: []Record{record("k", "b", 7, 1)}, past: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "b", 4, 2)},
			want: map[string]content{"k": kept("b", 4, 2)}, wantChanged: []string{"k=b"},
		},
		"other record at an offset that was given out before": {
			known: []Record{record("k", "b", 7, 1)}, past: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "c", 7, 2)}, next: Position{2, 8},
			want: map[string]content{"k": kept("c", 7, 2)}, wantChanged: []string{"k=c"},
		},
		"value of a replaced record at another offset": {
			known: []Record{record("k", "b", 7, 1)}, past: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "a", 4, 2)},
			want: map[string]content{"k": kept("a", 4, 2)}, wantChanged: []string{"k=a"},
		},
		"new key": {
			snapshot: []Record{record("k", "a", 4, 2)},
			want:     map[string]content{"k": kept("a", 4, 2)}, wantChanged: []string{"k=a"},
		},
		"known record without an epoch": {
			known: []Record{record("k", "b", 7, 0)},
			want:  map[string]content{"k": kept("b", 7, 1)}, wantLost: []string{"k"},
		},
		"key that was lost before": {
			known: []Record{record("k", "b", 7, 1)}, from: Position{2, 5}, next: Position{3, 4},
			want: map[string]content{"k": kept("b", 7, 1)}, wantLost: []string{"k"},
		},
		"lost key in the same epoch": {
			known: []Record{record("k", "b", 7, 1)}, past: []Record{record("k", "a", 3, 1)}, from: Position{2, 5}, snapshot: []Record{record("k", "a", 3, 2)}, next: Position{2, 9},
			want: map[string]content{"k": kept("b", 7, 1)}, wantLost: []string{"k"},
		},
		"lost key that was written again as before in the same epoch": {
			known: []Record{record("k", "b", 3, 1)}, past: []Record{record("k", "a", 7, 1)}, from: Position{2, 5}, snapshot: []Record{record("k", "a", 7, 2)}, next: Position{2, 9},
			want: map[string]content{"k": kept("a", 7, 2)}, wantChanged: []string{"k=a"},
		},
		"key that was deleted in the same epoch": {
			known: []Record{record("k", "b", 3, 2)}, from: Position{2, 5}, next: Position{2, 9},
			want: map[string]content{}, wantChanged: []string{"k="},
		},
		"lost deletion that the log shows no more": {
			known: []Record{record("k", "", 4, 1)}, from: Position{2, 5}, next: Position{3, 2},
			want: map[string]content{},
		},
		"lost deletion that still shows": {
			known: []Record{record("k", "", 4, 1)}, past: []Record{record("k", "a", 3, 1)}, from: Position{2, 5}, snapshot: []Record{record("k", "a", 3, 3)}, next: Position{3, 5},
			want: map[string]content{"k": kept("", 4, 1)}, wantLost: []string{"k"},
		},
		"peer has kept a record that was not read": {
			known: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "b", 7, 1)},
			want: map[string]content{"k": kept("b", 7, 1)}, wantChanged: []string{"k=b"}, wantLost: []string{"k"},
		},
		"peer has kept an older record": {
			known: []Record{record("k", "b", 7, 1)}, snapshot: []Record{record("k", "a", 3, 1)},
			want: map[string]content{"k": kept("b", 7, 1)}, wantLost: []string{"k"},
		},
		"peer has kept a record whose deletion was read": {
			past: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "a", 3, 1)},
			want: map[string]content{"k": kept("", 4, 1)}, wantLost: []string{"k"},
		},
		"peer has read a deletion after the restore": {
			known: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "", 4, 2)},
			want: map[string]content{"k": kept("", 4, 2)}, wantChanged: []string{"k="},
		},
		"deletion after the restore that the next copy lacks": {
			known: []Record{record("k", "", 4, 2)}, past: []Record{record("k", "a", 3, 1)}, from: Position{2, 5}, snapshot: []Record{record("k", "a", 3, 3)}, next: Position{3, 4},
			want: map[string]content{"k": kept("", 4, 2)}, wantLost: []string{"k"},
		},
		"peer has kept a deletion that was not read": {
			known: []Record{record("k", "a", 3, 1)}, snapshot: []Record{record("k", "", 4, 1)},
			want: map[string]content{"k": kept("", 4, 1)}, wantChanged: []string{"k="}, wantLost: []string{"k"},
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if row.from == (Position{}) {
				row.from = Position{Epoch: 1, Offset: 9}
			}
			if row.next == (Position{}) {
				row.next = Position{Epoch: 2, Offset: 5}
			}
			var past past
			for _, record := range row.past {
				past.add(record)
			}
			known := byKey(row.known)
			got := merge(known, &past, row.from, Snapshot{Records: row.snapshot, Next: row.next})
			if !maps.Equal(contents(got.newest), row.want) {
				t.Errorf("newest records got %v, want %v", contents(got.newest), row.want)
			}
			var changed []string
			for _, record := range got.changed {
				changed = append(changed, record.Key+"="+string(record.Value))
			}
			if !slices.Equal(changed, row.wantChanged) {
				t.Errorf("changed records got %q, want %q", changed, row.wantChanged)
			}
			if !slices.Equal(got.lost, row.wantLost) {
				t.Errorf("lost keys got %q, want %q", got.lost, row.wantLost)
			}
			if !maps.Equal(contents(known), contents(byKey(row.known))) {
				t.Errorf("known records after the merge got %v, want them unchanged", contents(known))
			}
		})
	}
}

// TestPastIsBounded guards against memory that grows with the records of a topic, and against a
// record that is forgotten because it was replaced before.
func TestPastIsBounded(t *testing.T) {
	var past past
	again := record("k", "again", 1, 1)
	past.add(again)
	for offset := range int64(maxPast) {
		if offset == maxPast/2 {
			past.add(again)
		}
		past.add(record("k", "v", 2+offset, 1))
	}
	if len(past.rounds) > maxPast || len(past.order) > maxPast {
		t.Errorf("remembered records got %d of %d, want at most %d", len(past.rounds), len(past.order), maxPast)
	}
	if !past.has(again) || !past.has(record("k", "v", 1+maxPast, 1)) {
		t.Error("has() got false for a record that was replaced lately, want true")
	}
	if past.has(record("k", "v", 2, 1)) {
		t.Error("has() got true for the oldest record, want false")
	}
}

// TestLostDeletionsStay guards against a deletion that the log has lost being dropped with those that
// were only kept for followers.
func TestLostDeletionsStay(t *testing.T) {
	window := newWindow()
	window.load(byKey([]Record{record("lost", "", 3, 1), record("read", "", 4, 2), record("k", "a", 5, 2)}), Position{2, 6}, 0)
	want := map[string]content{"lost": {"", 3, 1}, "k": {"a", 5, 2}}
	if got := contents(window.newest); !maps.Equal(got, want) {
		t.Errorf("newest records got %v, want %v", got, want)
	}
}

// mergedTopic is a model of a log that is restored and of a daemon that reads it.
type mergedTopic struct {
	epoch   Epoch
	records []Record
	window  *window
	// superseded holds the records that the daemon has read and that were replaced or deleted in
	// what it has read.
	superseded map[identity]bool
}

// write appends a record, and returns it with its offset.
func (m *mergedTopic) write(key, value string) {
	m.records = append(slices.Clip(m.records), record(key, value, int64(len(m.records)), 0))
}

// end returns the position at which the log ends.
func (m *mergedTopic) end() Position { return Position{m.epoch, int64(len(m.records))} }

// newest returns what the log shows of all keys.
func (m *mergedTopic) newest() Snapshot {
	newest := map[string]Record{}
	for _, record := range m.records {
		record.Epoch = m.epoch
		newest[record.Key] = record
		if len(record.Value) == 0 {
			delete(newest, record.Key)
		}
	}
	return Snapshot{Records: slices.Collect(maps.Values(newest)), Next: m.end()}
}

// read reads the log on, or all keys if it was restored. It returns what is wrong with the result.
func (m *mergedTopic) read() string {
	if m.window.next.Epoch != m.epoch {
		return m.readAll()
	}
	for _, record := range m.records[m.window.next.Offset:] {
		record.Epoch = m.epoch
		m.supersede(record.Key)
		delete(m.superseded, identify(record))
		m.window.appendRecords([]Record{record}, Position{m.epoch, record.Offset + 1}, 0)
	}
	return ""
}

// supersede remembers the newest record of a key that is about to be replaced.
func (m *mergedTopic) supersede(key string) {
	if replaced, found := m.window.newest[key]; found && len(replaced.Value) > 0 {
		m.superseded[identify(replaced)] = true
	}
}

// readAll merges what the log shows of all keys with what is known.
func (m *mergedTopic) readAll() string {
	snapshot := m.newest()
	before := m.window.newest
	merged := m.window.merge(snapshot)
	for key, record := range merged.newest {
		if known, found := before[key]; found && identify(known) != identify(record) {
			m.supersede(key)
		}
		if len(record.Value) > 0 && m.superseded[identify(record)] {
			return "merged record of key " + key + " got " + string(record.Value) + ", which was replaced before"
		}
	}
	for key, known := range before {
		if _, found := merged.newest[key]; !found && len(known.Value) > 0 {
			return "key " + key + " got lost by the merge"
		}
	}
	m.window.load(merged.newest, snapshot.Next, 0)
	return ""
}

// TestMergeNeverGoesBack guards against any sequence of writes, restores and reads after which a
// daemon takes a record that it knows to be replaced, drops a key that it knows, or differs from
// the log although all was written again.
func TestMergeNeverGoesBack(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		m := &mergedTopic{epoch: 1, window: newWindow(), superseded: map[identity]bool{}}
		m.window.load(map[string]Record{}, Position{1, 0}, 0)
		keys := []string{"i", "j", "k"}
		// wanted is what the operator wants of each key.
		wanted := map[string]string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				key, value := rapid.SampledFrom(keys).Draw(t, "key"), rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "value")
				wanted[key] = value
				m.write(key, value)
			case 2:
				m.epoch++
				m.records = slices.Clip(m.records[:rapid.IntRange(0, len(m.records)).Draw(t, "kept")])
			case 3:
				key := rapid.SampledFrom(keys).Draw(t, "rewritten")
				m.write(key, wanted[key])
			default:
				if wrong := m.read(); wrong != "" {
					t.Fatal(wrong)
				}
			}
		}
		if wrong := m.read(); wrong != "" {
			t.Fatal(wrong)
		}
		for _, key := range keys {
			m.write(key, wanted[key])
		}
		if wrong := m.read(); wrong != "" {
			t.Fatal(wrong)
		}
		if lost := lostKeys(slices.Collect(maps.Values(m.window.newest)), m.epoch); len(lost) > 0 {
			t.Fatalf("lost keys after all was written again got %q, want none", lost)
		}
		if got, want := contents(m.window.newest), contents(byKey(m.newest().Records)); !maps.Equal(got, want) {
			t.Fatalf("newest records after all was written again got %v, want %v", got, want)
		}
	})
}
