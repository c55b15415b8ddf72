package forwarder

import (
	"bytes"
	"strings"
	"testing"
)

// completeEvents returns the part of a stream up to its last empty line.
func completeEvents(stream string) string {
	end, at := 0, 0
	for line := range strings.Lines(stream) {
		at += len(line)
		if strings.HasSuffix(line, "\n") && strings.Trim(line, "\r\n") == "" {
			end = at
		}
	}
	return stream[:end]
}

// FuzzEventBuffer guards against events that are lost, changed or forwarded in part,
// wherever the reads of a stream split it, and against an id that goes back and is found
// only with some splits.
func FuzzEventBuffer(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"), uint8(1))
	f.Add([]byte("\n\n\n\n\n"), uint8(2))
	f.Add([]byte("id: 99999999999999999999\n\nid:\n\n"), uint8(7))
	f.Add([]byte("id: 2\r\ndata: a\r\n\r\nid: 1\r\n\r\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, chunk uint8) {
		whole := newEventBuffer("")
		want, wantErr := whole.add(stream)
		events := newEventBuffer("")
		var got []byte
		var err error
		for rest := stream; len(rest) > 0 && err == nil; {
			n := min(len(rest), int(chunk)+1)
			var complete []byte
			complete, err = events.add(rest[:n])
			got = append(got, complete...)
			rest = rest[n:]
		}
		if !bytes.Equal(got, want) || (err == nil) != (wantErr == nil) || events.last != whole.last || events.count != whole.count {
			t.Errorf("add() in parts got %q, last %q, %d events, %v, want %q, last %q, %d events, %v",
				got, events.last, events.count, err, want, whole.last, whole.count, wantErr)
		}
		complete := completeEvents(string(stream))
		if err == nil && string(got) != complete || !strings.HasPrefix(complete, string(got)) {
			t.Errorf("add() got %q and error %v, want %q", got, err, complete)
		}
		if err == nil && events.incomplete() != len(stream)-len(got) {
			t.Errorf("incomplete() got %d, want %d", events.incomplete(), len(stream)-len(got))
		}
	})
}

// TestEventIDs guards against events that reach the client twice or out of order, because
// an id is misread or an endpoint begins again at an earlier event, and against a stream
// that is resumed after an event whose id does not say where.
func TestEventIDs(t *testing.T) {
	const huge = "123456789012345678901234567890"
	rows := map[string]struct {
		after  EventID
		stream string
		// want is the number of complete events, last the id after which the stream
		// can be resumed.
		want    int
		last    EventID
		wantErr bool
	}{
		"from 1":                        {"", "id: 1\n\nid: 2\n\n", 2, "2", false},
		"from 0":                        {"", "id: 0\n\n", 1, "0", false},
		"no event":                      {"", "", 0, "", false},
		"resumed after 0":               {"0", "id: 1\n\n", 1, "1", false},
		"resumed and begins again at 0": {"0", "id: 0\n\n", 0, "0", true},
		"resumed and begins again at 1": {"7", "id: 1\n\nid: 8\n\n", 0, "7", true},
		"with gaps":                     {"3", "id: 5\n\nid: 10\n\n", 2, "10", false},
		"goes back":                     {"", "id: 9\n\nid: 10\n\nid: 9\n\n", 2, "10", true},
		"comes twice":                   {"", "id: 4\n\nid: 4\n\n", 1, "4", true},
		"over 64 bits":                  {"", "id: 9\n\nid: " + huge + "0\n\n", 2, huge + "0", false},
		"over 64 bits, goes back":       {huge + "1", "id: " + huge + "0\n\n", 0, huge + "1", true},
		"too long to resume after":      {"", "id: " + strings.Repeat("1", maxEventIDBytes+1) + "\n\n", 1, "", false},
		"leading zeros":                 {"7", "id: 008\n\n", 1, "008", false},
		"no number":                     {"", "id: 1\n\nid: b\n\n", 2, "", false},
		"no number, then one that goes back": {
			"", "id: 5\n\nid: b\n\nid: 4\n\n", 2, "", true},
		"a sign":             {"", "id: +1\n\n", 1, "", false},
		"without an id":      {"", "id: 1\n\ndata: a\n\n", 2, "", false},
		"empty id":           {"", "id: 1\n\nid:\n\n", 2, "", false},
		"id after the data":  {"", "data: a\nid: 1\n\n", 1, "1", false},
		"a comment between":  {"", "id: 1\n\n: id: 9\n\nid: 2\n\n", 2, "2", false},
		"other fields first": {"", "weight-versions: 3\nid: 1\ndata: id: 9\n\n", 1, "1", false},
		"lines end with CR LF": {
			"", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", 2, "2", false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			events := newEventBuffer(row.after)
			complete, err := events.add([]byte(row.stream))
			if events.count != row.want || events.last != row.last || (err != nil) != row.wantErr {
				t.Errorf("add() got %d events, last %q, error %v, want %d, %q, an error: %t", events.count, events.last, err, row.want, row.last, row.wantErr)
			}
			if err == nil && string(complete) != row.stream {
				t.Errorf("add() got %q, want all of %q", complete, row.stream)
			}
		})
	}
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
			events := newEventBuffer("")
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
	events := newEventBuffer("")
	for b.Loop() {
		if _, err := events.add(part); err != nil {
			events = newEventBuffer("")
		}
	}
}
