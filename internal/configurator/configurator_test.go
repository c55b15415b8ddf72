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

func revision(follows uint64) *schema.Revision {
	return &schema.Revision{Number: follows + 1, Follows: follows, Change: &schema.Change{Author: fmt.Sprint(follows)}}
}

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
				t.Fatalf("verdicts of %s got %v and %v, want the same", e.id, decision, secondDecision)
			}
			if decision.Accepted {
				if other, taken := winners[e.revision.GetNumber()]; taken && other != e.id {
					t.Fatalf("revision %d got winners %s and %s, want one", e.revision.GetNumber(), other, e.id)
				}
				winners[e.revision.GetNumber()] = e.id
			}
			if got := first.Current().GetNumber(); got < newest {
				t.Fatalf("revision got %d after %d, want no step back", got, newest)
			}
			newest = first.Current().GetNumber()
		}
	})
}

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
		"a loser of a race is not taken for the winner": {func(f *configurator.State) { f.MarkGap(); f.Apply("a", revision(0)) }, 0},
		"a checkpoint is taken":                         {func(f *configurator.State) { f.MarkGap(); f.Apply("a", checkpoint(7)) }, 7},
		"what follows a checkpoint is taken":            {func(f *configurator.State) { f.MarkGap(); f.Apply("a", checkpoint(7)); f.Apply("b", revision(7)) }, 8},
		"an older checkpoint changes nothing":           {func(f *configurator.State) { f.Apply("a", checkpoint(7)); f.Apply("b", checkpoint(3)) }, 7},
		"a peer's revision is adopted":                  {func(f *configurator.State) { f.AdoptFromPeer(revision(4)) }, 5},
		"an older one of a peer is not":                 {func(f *configurator.State) { f.AdoptFromPeer(revision(4)); f.AdoptFromPeer(revision(2)) }, 5},
		"an old record sent again is refused": {func(f *configurator.State) {
			f.Apply("a", revision(0))
			f.Apply("b", revision(1))
			f.Apply("c", revision(0))
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

func TestCheckpointOnlyWhenNewestCopyIsOld(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	state := configurator.New()
	if got := state.Checkpoint(now, time.Hour); got != nil {
		t.Errorf("Checkpoint() of nothing got %v, want nil", got)
	}
	first := revision(0)
	first.Copied = timestamppb.New(now)
	state.Apply("a", first)
	if got := state.Checkpoint(now.Add(time.Minute), time.Hour); got != nil {
		t.Errorf("Checkpoint() of a young copy got %v, want nil", got)
	}
	if got := state.Checkpoint(now.Add(2*time.Hour), time.Hour); got.GetNumber() != 1 || !got.GetCheckpoint() {
		t.Errorf("Checkpoint() of an old copy got %v, want a checkpoint of revision 1", got)
	}
}
