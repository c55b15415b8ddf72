package forwarder

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzEventBuffer guards against events that are lost, changed or forwarded in part,
// wherever the reads of a stream split it.
func FuzzEventBuffer(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"), uint8(1))
	f.Add([]byte("\n\n\n\n\n"), uint8(2))
	f.Add([]byte("id: 99999999999999999999\n\nid:\n\n"), uint8(7))
	f.Fuzz(func(t *testing.T, stream []byte, chunk uint8) {
		events := &eventBuffer{}
		var got []byte
		for rest := stream; len(rest) > 0; {
			n := min(len(rest), int(chunk)+1)
			complete, err := events.add(rest[:n])
			if err != nil {
				t.Fatalf("add() got error %v, want none for %d bytes", err, len(stream))
			}
			got = append(got, complete...)
			rest = rest[n:]
		}
		// Empty lines before the first event are complete too.
		want := stream[:len(stream)-len(bytes.TrimLeft(stream, "\n"))]
		if end := bytes.LastIndex(stream, eventEnd); end >= 0 {
			want = stream[:max(len(want), end+len(eventEnd))]
		}
		if !bytes.Equal(got, want) || events.incomplete() != len(stream)-len(want) {
			t.Errorf("add() got %q and %d incomplete bytes, want %q and %d", got, events.incomplete(), want, len(stream)-len(want))
		}
	})
}

// TestLongEventIsAnError guards against an event that grows without bound, and
// against one that is rejected although it is within the bound.
func TestLongEventIsAnError(t *testing.T) {
	rows := map[string]struct {
		length  int
		wantErr bool
	}{
		"within the bound": {maxEventBytes - 100, false},
		"over the bound":   {maxEventBytes + 100, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			events := &eventBuffer{}
			if complete, err := events.add([]byte("id: 1\n\n")); err != nil || string(complete) != "id: 1\n\n" {
				t.Fatalf("add() got %q, %v, want the event", complete, err)
			}
			var err error
			for sent := 0; sent < row.length && err == nil; sent += 100 {
				_, err = events.add([]byte(strings.Repeat("x", 100)))
			}
			if (err != nil) != row.wantErr {
				t.Errorf("add() got error %v, want one: %t", err, row.wantErr)
			}
		})
	}
}

// BenchmarkLongEvent shows that the time grows in proportion to the bytes: an
// operation adds 100 bytes of one long event.
func BenchmarkLongEvent(b *testing.B) {
	part := []byte(strings.Repeat("x", 100))
	events := &eventBuffer{}
	for b.Loop() {
		if _, err := events.add(part); err != nil {
			events = &eventBuffer{}
		}
	}
}
