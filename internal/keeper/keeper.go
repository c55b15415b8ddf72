// Package keeper runs a state inside an actor, so that one goroutine at a time
// changes it, and publishes immutable snapshots that readers take without
// waiting.
package keeper

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
)

// ErrStopped is returned for a command to a stopped keeper.
var ErrStopped = errors.New("keeper is stopped")

// command changes the state of type S.
type command[S any] struct {
	apply func(*S)
	done  chan struct{}
}

// Keeper owns a state of type S and publishes snapshots of type V.
type Keeper[S, V any] struct {
	system       *actor.ActorSystem
	pid          *actor.PID
	makeSnapshot func(*S) *V
	snapshot     atomic.Pointer[V]
	stopped      atomic.Bool
}

// New starts an actor that owns the state. After each command it publishes
// view(state); view returns nil when nothing changed.
func New[S, V any](system *actor.ActorSystem, state *S, makeSnapshot func(*S) *V) *Keeper[S, V] {
	k := &Keeper[S, V]{system: system, makeSnapshot: makeSnapshot}
	if initial := makeSnapshot(state); initial != nil {
		k.snapshot.Store(initial)
	}
	k.pid = system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) {
		queued, ok := ctx.Message().(command[S])
		if !ok {
			return
		}
		queued.apply(state)
		if next := makeSnapshot(state); next != nil {
			k.snapshot.Store(next)
		}
		close(queued.done)
	}))
	return k
}

// Snapshot returns what was last published; it may be nil.
func (k *Keeper[S, V]) Snapshot() *V { return k.snapshot.Load() }

// Tell queues a command and does not wait for it.
func (k *Keeper[S, V]) Enqueue(apply func(*S)) {
	if !k.stopped.Load() {
		k.system.Root.Send(k.pid, command[S]{apply: apply, done: make(chan struct{})})
	}
}

// Do runs a command and waits until its snapshot is published.
func (k *Keeper[S, V]) Do(ctx context.Context, apply func(*S)) error {
	if k.stopped.Load() {
		return ErrStopped
	}
	queued := command[S]{apply: apply, done: make(chan struct{})}
	k.system.Root.Send(k.pid, queued)
	select {
	case <-queued.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends the actor after the queued commands.
func (k *Keeper[S, V]) Stop() {
	if k.stopped.CompareAndSwap(false, true) {
		k.system.Root.Poison(k.pid)
	}
}

// NewSystem returns an actor system that logs nothing: daemons log through
// hclog.
func NewSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
}

// quietLogger silences the actor library; the daemon logs through hclog.
func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}
