package sender_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/sender"
)

// lateCopyEndpoint returns the address of an endpoint that sends, before each response, the one
// before it on the connection once more.
func lateCopyEndpoint(t *testing.T, respond func(request *http.Request) string) netip.AddrPort {
	t.Helper()
	server, err := faker.ServeRaw(func(connection *net.TCPConn, _ int) { serveWithCopies(connection, respond) })
	if err != nil {
		t.Fatalf("ServeRaw() got error %v, want nil", err)
	}
	t.Cleanup(server.Close)
	return server.Addr
}

func serveWithCopies(connection net.Conn, respond func(request *http.Request) string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for last := ""; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := respond(request)
		_, _ = io.WriteString(connection, last+response)
		last = response
	}
}

func whole(body, header string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// TestLateCopyOfResponseIsNotForwarded guards against the response to one account's call that
// another account gets: the endpoint sends it once more, late, on a connection that was kept.
func TestLateCopyOfResponseIsNotForwarded(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			endpoint := lateCopyEndpoint(t, func(request *http.Request) string {
				return whole("response to "+request.Header.Get("X-Request-Id"), "")
			})
			s := sender.New(connector.TCP{}, nil)
			for _, id := range []string{"r1", "r2", "r3"} {
				got, failure := s.Send(t.Context(), endpoint, sender.Request{Method: method, Path: "/x", RequestID: id})
				if want := "response to " + id; failure != nil || string(got.Body) != want {
					t.Errorf("Send() of %s got body %q and failure %v, want %q and none", id, got.Body, failure, want)
				}
			}
		})
	}
}

// events returns a response with an event for each text.
func events(header string, complete bool, texts ...string) string {
	body := ""
	for _, text := range texts {
		body += fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	}
	if complete {
		body += "data: " + sender.DoneMarker + "\n\n"
	}
	return whole(body, "Content-Type: text/event-stream\r\n"+header)
}

// chat sends a chat request and returns the text of its response, or the kind of its failure.
func chat(t *testing.T, s *sender.Sender, endpoint netip.AddrPort) (text string, kind classifier.Kind) {
	t.Helper()
	stream, failure := s.OpenStream(t.Context(), endpoint, sender.Fields{})
	if failure != nil {
		return "", failure.Err.Kind
	}
	defer stream.Close()
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, kind
		}
		if err != nil {
			return text, classifier.FromError(err).Kind
		}
		text += part
	}
}

// TestLateCopyOfChatResponse guards against a chat that is believed refused, although it runs, and
// against one that gets the events of another request.
func TestLateCopyOfChatResponse(t *testing.T) {
	type result struct {
		text string
		kind classifier.Kind
	}
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Ran: no\r\nContent-Length: 4\r\n\r\nbusy"
	rows := map[string]struct {
		// responses are those that the endpoint sends to its requests, in their order.
		responses []string
		want      []result
	}{
		"after a refusal":      {[]string{refusal, events("", true, "own")}, []result{{kind: classifier.EndpointRefused}, {text: "own"}}},
		"after another chat":   {[]string{events("", true, "other"), events("", true, "own")}, []result{{text: "other"}, {text: "own"}}},
		"of a resumed stream":  {[]string{events("X-Stream: s1\r\n", false, "one "), events("", true, "two")}, []result{{text: "one two"}}},
		"refusal after a chat": {[]string{events("", true, "own"), refusal}, []result{{text: "own"}, {kind: classifier.EndpointRefused}}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			responses := row.responses
			endpoint := lateCopyEndpoint(t, func(*http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				response := responses[0]
				responses = responses[1:]
				return response
			})
			s := sender.New(connector.TCP{}, nil)
			var got []result
			for range row.want {
				text, kind := chat(t, s, endpoint)
				got = append(got, result{text, kind})
			}
			if !slices.Equal(got, row.want) {
				t.Errorf("results of the chats got %v, want %v", got, row.want)
			}
		})
	}
}
