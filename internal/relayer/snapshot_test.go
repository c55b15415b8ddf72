package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// restoredSource is a topic without records of a log that is restored after a second.
type restoredSource struct{ start time.Time }

func (s restoredSource) epoch() subscriber.Epoch {
	if time.Since(s.start) < time.Second {
		return 1
	}
	return 2
}

func (s restoredSource) Newest(context.Context) (subscriber.Snapshot, error) {
	return subscriber.Snapshot{Next: subscriber.Position{Epoch: s.epoch()}}, nil
}

func (s restoredSource) Read(_ context.Context, _ int64, wait time.Duration) (subscriber.Page, error) {
	time.Sleep(wait)
	return subscriber.Page{Epoch: s.epoch()}, nil
}

// TestSinceRestoreOfSnapshot guards against the time since the log's restore standing still in an
// encoded snapshot that serves many requests, and against a restore that the log did not have.
func TestSinceRestoreOfSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		timing := subscriber.ReadTiming{Wait: 100 * time.Millisecond}
		topic := subscriber.New("t", restoredSource{start}, timing, clock, func(subscriber.Change) {}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = topic.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		cache := newSnapshotCache()
		// The restore is noticed at 1 s; snapshots are encoded at 0.55, 1.55 and 4.55 s.
		for _, row := range []struct{ at, want time.Duration }{
			{550 * time.Millisecond, 0},
			{1550 * time.Millisecond, 550 * time.Millisecond},
			{3050 * time.Millisecond, 2050 * time.Millisecond},
			{4550 * time.Millisecond, 3550 * time.Millisecond},
		} {
			time.Sleep(row.at - clock())
			response, err := cache.response(t.Context(), topic, clock)
			if err != nil {
				t.Fatal(err)
			}
			if got := response.GetSinceRestore().AsDuration(); got != row.want || (row.want == 0) != (response.SinceRestore == nil) {
				t.Errorf("time since the restore at %v got %v, want %v", row.at, got, row.want)
			}
		}
	})
}

// snapshotFunc is a zone reader's SnapshotService.
type snapshotFunc func() *schema.SnapshotResponse

func (f snapshotFunc) Newest(context.Context, *connect.Request[schema.SnapshotRequest]) (*connect.Response[schema.SnapshotResponse], error) {
	return connect.NewResponse(f()), nil
}

// TestSinceRestoreOfResponse guards against a follower that does not learn when its zone reader
// noticed a restore, or takes a wrong time from it.
func TestSinceRestoreOfResponse(t *testing.T) {
	rows := map[string]struct {
		sent *durationpb.Duration
		want time.Duration
	}{
		"named":                            {durationpb.New(7 * time.Second), 7 * time.Second},
		"daemon of an earlier version":     {nil, 0},
		"negative, from a broken response": {durationpb.New(-time.Second), 0},
	}
	records, err := packRecords(nil, 2)
	if err != nil {
		t.Fatal(err)
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			relayer := New(Options{Logger: hclog.NewNullLogger()})
			close(relayer.decided)
			relayer.readerClients = &readerClients{dropped: make(chan struct{}), snapshot: snapshotFunc(func() *schema.SnapshotResponse {
				return &schema.SnapshotResponse{Records: records, Epoch: 2, SinceRestore: row.sent}
			})}
			snapshot, _, err := relayer.Newest(t.Context(), "t")
			if err != nil || snapshot.SinceRestore != row.want {
				t.Errorf("Newest() got %v since the restore, %v, want %v", snapshot.SinceRestore, err, row.want)
			}
		})
	}
}
