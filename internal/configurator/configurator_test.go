package configurator_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/configurator"
	"quetzalgrade.example/quetzalgrade/internal/repeater"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// revision returns the revision that follows the given number.
func revision(follows uint64) *schema.Revision {
	return &schema.Revision{Number: follows + 1, Follows: follows, Change: &schema.Change{Author: fmt.Sprint(follows)}}
}

// TestInstancesReachTheSameDecisions guards against instances that accept different
// revisions when operators race or when records are appended more than once.
func TestInstancesReachTheSameDecisions(t *testing.T) {
	repeater.Check(t, func(t *rapid.T) {
		type entry struct {
			id       string
			revision *schema.Revision
		}
		var log []entry
		for i := range rapid.IntRange(1, 30).Draw(t, "entries") {
			follows := rapid.Uint64Range(0, 8).Draw(t, "follows")
			log = append(log, entry{fmt.Sprintf("id-%d", i), revision(follows)})
			if rapid.Bool().Draw(t, "repeated") {
				log = append(log, log[rapid.IntRange(0, len(log)-1).Draw(t, "copy")])
			}
		}
		first, second := configurator.New(), configurator.New()
		winners := map[uint64]string{}
		newest := uint64(0)
		for _, e := range log {
			decision := first.Apply(e.id, e.revision)
			if secondDecision := second.Apply(e.id, e.revision); secondDecision != decision {
				t.Fatalf("decisions on %s got %v and %v, want equal decisions", e.id, decision, secondDecision)
			}
			if decision.Accepted {
				if other, taken := winners[e.revision.GetNumber()]; taken && other != e.id {
					t.Fatalf("revision %d got accepted records %s and %s, want one", e.revision.GetNumber(), other, e.id)
				}
				winners[e.revision.GetNumber()] = e.id
			}
			if got := first.Current().GetNumber(); got < newest {
				t.Fatalf("revision got %d after %d, want no decrease", got, newest)
			}
			newest = first.Current().GetNumber()
		}
	})
}

// TestStateAfterExpiredRecords guards against accepting a revision that conflicts
// with an expired record, and against a revision number that decreases.
func TestStateAfterExpiredRecords(t *testing.T) {
	checkpoint := func(number uint64) *schema.Revision {
		r := revision(number - 1)
		r.Checkpoint, r.Origin = true, "origin"
		return r
	}
	rows := map[string]struct {
		steps func(*configurator.State)
		want  uint64
	}{
		"revision after a gap is refused":         {func(s *configurator.State) { s.MarkGap(); s.Apply("a", revision(0)) }, 0},
		"checkpoint is applied":                   {func(s *configurator.State) { s.MarkGap(); s.Apply("a", checkpoint(7)) }, 7},
		"revision after a checkpoint is accepted": {func(s *configurator.State) { s.MarkGap(); s.Apply("a", checkpoint(7)); s.Apply("b", revision(7)) }, 8},
		"older checkpoint is ignored":             {func(s *configurator.State) { s.Apply("a", checkpoint(7)); s.Apply("b", checkpoint(3)) }, 7},
		"revision of a peer is adopted":           {func(s *configurator.State) { s.AdoptFromPeer(revision(4)) }, 5},
		"older revision of a peer is ignored":     {func(s *configurator.State) { s.AdoptFromPeer(revision(4)); s.AdoptFromPeer(revision(2)) }, 5},
		"record based on an old revision is refused": {func(s *configurator.State) {
			s.Apply("a", revision(0))
			s.Apply("b", revision(1))
			s.Apply("c", revision(0))
		}, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			state := configurator.New()
			row.steps(state)
			if got := state.Current().GetNumber(); got != row.want {
				t.Errorf("revision got %d, want %d", got, row.want)
			}
		})
	}
}

// TestCheckpointOnlyWhenNewestCopyIsOld guards against checkpoints that every
// instance would append again although the log has a recent copy.
func TestCheckpointOnlyWhenNewestCopyIsOld(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	state := configurator.New()
	if got := state.Checkpoint(now, time.Hour); got != nil {
		t.Errorf("Checkpoint() without a revision got %v, want nil", got)
	}
	first := revision(0)
	first.Copied = timestamppb.New(now)
	state.Apply("a", first)
	if got := state.Checkpoint(now.Add(time.Minute), time.Hour); got != nil {
		t.Errorf("Checkpoint() with a recent copy got %v, want nil", got)
	}
	if got := state.Checkpoint(now.Add(2*time.Hour), time.Hour); got.GetNumber() != 1 || !got.GetCheckpoint() {
		t.Errorf("Checkpoint() with an old copy got %v, want a checkpoint of revision 1", got)
	}
}
