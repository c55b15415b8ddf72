package sender_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/sender"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 16 << 20

// serveEarly starts an endpoint that responds before it has read the request.
func serveEarly(t *testing.T, ending faker.Ending, response string) *faker.EarlyResponder {
	t.Helper()
	endpoint, err := faker.ServeEarly(ending, func(*http.Request) string { return response })
	if err != nil {
		t.Fatalf("ServeEarly() got error %v, want nil", err)
	}
	t.Cleanup(endpoint.Close)
	return endpoint
}

// TestEarlyResponse guards against a response without a length that is reset while the call is being
// written and counts as complete, and against one that counts as broken although its endpoint has only
// closed its half of the connection.
func TestEarlyResponse(t *testing.T) {
	upload := make([]byte, uploadBytes)
	rows := map[string]struct {
		ending faker.Ending
		want   bool
	}{
		"reset":                          {faker.EndWithReset, false},
		"half closed, rest is not read":  {faker.EndHalf, true},
		"half closed, rest is read":      {faker.EndHalfAndRead, true},
		"closed after the whole request": {faker.EndAfterRequest, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := serveEarly(t, row.ending, "HTTP/1.1 200 OK\r\n\r\npart")
			s := sender.New(connector.TCP{}, nil)
			for range 10 {
				got, failure := s.Send(t.Context(), endpoint.Addr, sender.Request{Method: http.MethodPost, Path: "/x", Body: upload})
				switch {
				case row.want && (failure != nil || string(got.Body) != "part"):
					t.Errorf("Send() got body %q and failure %v, want a response", got.Body, failure)
				case !row.want && (failure == nil || failure.Err.Kind != classifier.EndpointFailed || !failure.BytesSent):
					t.Errorf("Send() got body %q and failure %v, want one after bytes were sent", got.Body, failure)
				}
			}
		})
	}
}

// TestEarlyChatResponse guards against a chat whose stream is reset while the request is being written and
// counts as complete.
func TestEarlyChatResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	prompt, err := json.Marshal(strings.Repeat("x", uploadBytes))
	if err != nil {
		t.Fatalf("Marshal() got error %v, want nil", err)
	}
	endpoint := serveEarly(t, faker.EndWithReset, head+"data: {\"choices\":[{\"delta\":{\"content\":\"part\"}}]}\n\n")
	s := sender.New(connector.TCP{}, nil)
	for range 10 {
		stream, failure := s.OpenStream(t.Context(), endpoint.Addr, sender.Fields{"messages": prompt})
		if failure != nil {
			continue
		}
		for err = nil; err == nil; {
			_, err = stream.Next()
		}
		if errors.Is(err, io.EOF) {
			t.Error("Next() got EOF, want a failure")
		}
		stream.Close()
	}
}
