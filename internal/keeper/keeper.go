// Package keeper runs a mutable state inside an actor, so that only one goroutine
// at a time changes it, and publishes immutable snapshots of the state that
// readers load without locking.
package keeper

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-faster/errors"
)

// ErrStopped is returned by Keeper.Do after Keeper.Stop.
var ErrStopped = errors.New("keeper is stopped")

// command is a message to the actor that changes the state of type S. The actor
// closes done after it has published the snapshot.
type command[S any] struct {
	apply func(*S)
	done  chan struct{}
}

// Keeper owns a state of type S and publishes snapshots of type V. It is safe for
// concurrent use.
type Keeper[S, V any] struct {
	system       *actor.ActorSystem
	pid          *actor.PID
	makeSnapshot func(*S) *V
	snapshot     atomic.Pointer[V]
	stopped      atomic.Bool
}

// New starts an actor that owns the state. It publishes the result of
// makeSnapshot at the start and after each command, unless the result is nil,
// which means that nothing has changed. The caller must not use the state after
// the call.
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

// Snapshot returns the snapshot that was published last, or nil if none was.
func (k *Keeper[S, V]) Snapshot() *V { return k.snapshot.Load() }

// Enqueue queues a command and does not wait for it. It drops the command if the
// keeper is stopped.
func (k *Keeper[S, V]) Enqueue(apply func(*S)) {
	if !k.stopped.Load() {
		k.system.Root.Send(k.pid, command[S]{apply: apply, done: make(chan struct{})})
	}
}

// Do runs a command and waits until the actor has published the resulting
// snapshot. It returns ErrStopped if the keeper is stopped, and the error of ctx
// if ctx ends first; the command may still run in that case.
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

// Stop ends the actor after it has run the queued commands.
func (k *Keeper[S, V]) Stop() {
	if k.stopped.CompareAndSwap(false, true) {
		k.system.Root.Poison(k.pid)
	}
}

// NewSystem returns an actor system whose library logs nothing, because the
// daemons log through hclog.
func NewSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
}

// discardLogger returns a logger that discards the messages of the actor library.
func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}
