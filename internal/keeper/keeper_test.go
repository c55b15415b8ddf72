package keeper_test

import (
	"testing"
	"testing/synctest"

	"github.com/asynkron/protoactor-go/actor"

	"quetzalgrade.example/quetzalgrade/internal/keeper"
)

// Guards against a caller that reads a snapshot from before its own command,
// because Do returned before the actor had published the new one.
func TestDoPublishesTheSnapshotBeforeItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := actor.NewActorSystem()
		defer system.Shutdown()
		count := 0
		k := keeper.New(system, &count, func(s *int) *int { copied := *s; return &copied })
		defer k.Stop()
		for want := 1; want <= 100; want++ {
			if err := k.Do(t.Context(), func(s *int) { *s++ }); err != nil {
				t.Fatalf("Do() got error %v, want nil", err)
			}
			if got := *k.Snapshot(); got != want {
				t.Fatalf("Snapshot() got %d, want %d", got, want)
			}
		}
	})
}
