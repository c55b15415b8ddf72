package subscriber

import (
	"bytes"
	"slices"
)

// mergeResult is what is known of a topic after all its keys were read again.
type mergeResult struct {
	// newest holds the newest record of each key. One without a value is a deletion that the
	// log has lost or that a peer has read after the restore; keys of others are left out.
	newest map[string]Record
	// changed holds the records that replace what was known, and deletions.
	changed []Record
	// lost holds the keys of which the log has lost the newest record, in order.
	lost []string
}

// merger merges the newest records of all keys, as the log or a peer shows them after a restore of
// the log, with what was known before.
type merger struct {
	known map[string]Record
	past  *past
	// from is the position up to which what is known has been read, to that of the records that
	// are merged with it.
	from, to Position
	result   mergeResult
}

// merge merges the snapshot with what is known up to a position. It does not change what is known.
// The snapshot's epoch is that of the position or a later one.
func merge(known map[string]Record, past *past, from Position, snapshot Snapshot) mergeResult {
	m := &merger{known: known, past: past, from: from, to: snapshot.Next, result: mergeResult{newest: map[string]Record{}}}
	shown := map[string]bool{}
	for _, record := range snapshot.Records {
		shown[record.Key] = true
		m.addShown(record)
	}
	for key, record := range known {
		if !shown[key] {
			m.addMissing(m.withEpoch(record))
		}
	}
	slices.Sort(m.result.lost)
	return m.result
}

// withEpoch returns a known record with its epoch. One that was read before the log or a peer named
// an epoch has none.
func (m *merger) withEpoch(record Record) Record {
	if record.Epoch == 0 {
		record.Epoch = m.from.Epoch
	}
	return record
}

// addShown adds the record that the snapshot holds of a key, unless what is known stays.
func (m *merger) addShown(record Record) {
	if record.Epoch == 0 {
		record.Epoch = m.to.Epoch
	}
	known, found := m.known[record.Key]
	known = m.withEpoch(known)
	switch {
	case found && known.Offset == record.Offset && bytes.Equal(known.Value, record.Value):
		record.Epoch = max(record.Epoch, known.Epoch)
		m.keep(record)
	case !m.isOutdated(record, known, found):
		m.keep(record)
		m.result.changed = append(m.result.changed, record)
	case found:
		m.keep(known)
	case m.from.Epoch.before(m.to.Epoch) || record.Epoch.before(m.to.Epoch):
		// The deletion is known only by the record that was deleted. It is later than this.
		m.keep(Record{Key: record.Key, Offset: record.Offset + 1, Epoch: min(record.Epoch, m.from.Epoch)})
	}
}

// isOutdated reports whether a record of the snapshot is older than what is known of its key.
func (m *merger) isOutdated(record, known Record, found bool) bool {
	switch {
	case record.Epoch == m.from.Epoch && record.Offset >= m.from.Offset:
		// It has not been read, even if it equals one that was.
		return false
	case found && record.Epoch.before(m.to.Epoch) && isLater(known, record):
		// The peer has kept it, and has read less of the key.
		return true
	default:
		return m.past.has(record)
	}
}

// isLater reports whether the log held a record in a later epoch or, in the same one, at a higher
// offset than another.
func isLater(record, other Record) bool {
	return other.Epoch.before(record.Epoch) || record.Epoch == other.Epoch && record.Offset > other.Offset
}

// addMissing adds the record of a key that the snapshot lacks.
func (m *merger) addMissing(record Record) {
	switch {
	case len(record.Value) == 0:
		// The log agrees with the deletion.
	case record.Epoch.before(m.to.Epoch):
		m.keep(record)
	default:
		// The log held it in this epoch, so it has been deleted since.
		m.result.changed = append(m.result.changed, Record{Key: record.Key, Offset: max(m.from.Offset, m.to.Offset-1), Epoch: m.to.Epoch})
	}
}

// keep makes the record the newest of its key.
func (m *merger) keep(record Record) {
	m.result.newest[record.Key] = record
	if record.Epoch.before(m.to.Epoch) {
		m.result.lost = append(m.result.lost, record.Key)
	}
}

// lostKeys returns the keys of the records that the log has lost.
func lostKeys(records []Record, epoch Epoch) []string {
	var lost []string
	for _, record := range records {
		if record.Epoch.before(epoch) {
			lost = append(lost, record.Key)
		}
	}
	slices.Sort(lost)
	return lost
}
