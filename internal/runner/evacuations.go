package runner

import (
	"maps"
	"slices"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// evacuationChange is what a change of the operators' topic says about evacuations.
type evacuationChange struct {
	// complete is set if records hold all evacuations, so that any other one is withdrawn.
	complete bool
	records  []evacuationRecord
	// next is the offset up to which the change reaches, epoch that of the offsets.
	next  int64
	epoch subscriber.Epoch
	// lost are the zones whose newest record the log has lost.
	lost []string
}

// evacuationRecord evacuates a zone, or withdraws its evacuation. Its offset is lostOffset if the
// log has lost it.
type evacuationRecord struct {
	zone      string
	evacuated bool
	offset    int64
}

// newEvacuationChange returns what a change of the operators' topic with the records says about
// evacuations. lost are the keys that the log has lost, as records that withdraw them.
func newEvacuationChange(change subscriber.Change, records, lost []operatorRecord) evacuationChange {
	evacuation := evacuationChange{complete: change.Complete, next: change.Next, epoch: change.Epoch}
	for _, record := range lost {
		if record.ReturnedZone != "" {
			evacuation.lost = append(evacuation.lost, record.ReturnedZone)
		}
	}
	for _, record := range records {
		offset := record.offset
		if record.epoch < change.Epoch {
			// A peer still knows it.
			offset = lostOffset
		}
		switch {
		case record.EvacuatedZone != "":
			evacuation.records = append(evacuation.records, evacuationRecord{record.EvacuatedZone, true, offset})
		case record.ReturnedZone != "":
			evacuation.records = append(evacuation.records, evacuationRecord{record.ReturnedZone, false, offset})
		}
	}
	return evacuation
}

// hasRecord reports whether the change holds a record of the zone.
func (c evacuationChange) hasRecord(zone string) bool {
	return slices.ContainsFunc(c.records, func(record evacuationRecord) bool { return record.zone == zone })
}

// evacuations are the evacuated zones according to the newest records, in whatever order the
// changes arrive.
type evacuations struct {
	// zones holds the offset of the record by which each zone is evacuated, or lostOffset.
	zones map[string]int64
	// next is the highest offset up to which a change reached, epoch that of the offsets.
	next  int64
	epoch subscriber.Epoch
}

// lostOffset is the offset of an evacuation whose record the log has lost. Any record of the
// zone is newer.
const lostOffset = -1

func newEvacuations() evacuations { return evacuations{zones: map[string]int64{}} }

// apply applies a change. It ignores what is older than an earlier change.
func (e *evacuations) apply(change evacuationChange) {
	if change.epoch != 0 && change.epoch < e.epoch {
		return
	}
	e.enterEpoch(change)
	applied := e.next
	e.next = max(e.next, change.next)
	if change.complete && change.next >= applied {
		// A record that the change does not reach may be newer than it.
		maps.DeleteFunc(e.zones, func(_ string, offset int64) bool { return offset < change.next })
		applied = 0
	}
	for _, record := range change.records {
		current, found := e.zones[record.zone]
		isLost := record.offset == lostOffset
		switch {
		case !isLost && record.offset < applied || found && record.offset < current:
		case record.evacuated:
			e.zones[record.zone] = record.offset
		default:
			delete(e.zones, record.zone)
		}
	}
}

// enterEpoch begins to compare offsets anew if the change is of a later epoch. The offsets of
// the records that the log still holds are the same in it, and the change does not hold them.
func (e *evacuations) enterEpoch(change evacuationChange) {
	if change.epoch <= e.epoch {
		return
	}
	isRestore := e.epoch != 0
	if isRestore {
		e.next = 0
	}
	for zone := range e.zones {
		isReplaced := isRestore && (change.complete || change.hasRecord(zone))
		if isReplaced || slices.Contains(change.lost, zone) {
			e.zones[zone] = lostOffset
		}
	}
	e.epoch = change.epoch
}

// applyEvacuations applies a change of the evacuated zones to the tracker, and logs it.
func (r *Runner) applyEvacuations(change evacuationChange) {
	if !change.complete && len(change.records) == 0 && len(change.lost) == 0 && change.epoch == r.operatorState.Snapshot().epoch {
		return
	}
	before := r.operatorState.Snapshot().evacuated
	r.updateOperatorState(func(state *operatorState) { state.applyEvacuations(change) })
	after := r.operatorState.Snapshot().evacuated
	if maps.Equal(before, after) {
		return
	}
	zones := map[string]bool{}
	for zone := range after {
		zones[zone] = true
	}
	r.tracker.SetEvacuated(zones)
	for zone, offset := range after {
		if _, found := before[zone]; !found {
			r.logger.Info("zone evacuated", "zone", zone, "endpoints", r.tracker.CountInZone(zone), "offset", offset)
		}
	}
	for zone := range before {
		if !zones[zone] {
			r.logger.Info("evacuation of zone withdrawn", "zone", zone, "endpoints", r.tracker.CountInZone(zone))
		}
	}
}

// checkEvacuations logs and counts, once, each evacuated zone in which no endpoint and no daemon
// is known: its name may be misspelt. It does nothing until the endpoints have been read.
func (r *Runner) checkEvacuations() {
	if _, verified := r.endpointTopic.VerifiedAge(); !verified {
		return
	}
	zones := r.operatorState.Snapshot().evacuated
	for zone := range zones {
		if _, checked := r.checkedZones[zone]; !checked && r.tracker.CountInZone(zone) == 0 && !r.peers.knowsZone(zone) {
			r.ignoredRecords.Inc()
			r.logger.Warn("evacuated zone has no endpoint and no daemon", "zone", zone, "offset", zones[zone])
		}
	}
	r.checkedZones = zones
}
