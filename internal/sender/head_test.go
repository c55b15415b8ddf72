package sender_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/faker"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
)

// sound is a whole response, which may follow another one on its connection.
var sound = whole("next", "X-Load: 1/0\r\n")

// checkHeadNotBelieved sends a call and a chat to an endpoint that responds with raw bytes. Neither may
// get a response, count as refused, or take the load in the head for that of the endpoint.
func checkHeadNotBelieved(t *testing.T, raw string) {
	t.Helper()
	endpoint := serveEarly(t, faker.EndAfterRequest, raw)
	loads := 0
	s := sender.New(connector.TCP{}, func(netip.AddrPort, watcher.LoadReport) { loads++ })
	got, failure := s.Send(t.Context(), endpoint.Addr, sender.Request{Method: http.MethodPost, Path: "/x"})
	if failure == nil || failure.Err.Kind != classifier.EndpointFailed || !failure.BytesSent {
		t.Errorf("Send() got status %d, body %q and failure %v, want one after bytes were sent", got.Status, got.Body, failure)
	}
	if text, kind := chat(t, s, endpoint.Addr); kind != classifier.EndpointFailed {
		t.Errorf("chat got %q and failure %v, want %v", text, kind, classifier.EndpointFailed)
	}
	if loads > 0 {
		t.Errorf("load reports got %d, want none", loads)
	}
}

// TestInvalidStatus guards against a response whose status HTTP/1.1 doesn't have, or doesn't allow in
// response to such a request, and that counts as a response, as a refusal or as a report of the load.
func TestInvalidStatus(t *testing.T) {
	heads := map[string]string{
		"a response": whole("body", "X-Load: 1/0\r\n"),
		"no body":    whole("", "X-Load: 1/0\r\n"),
		"events":     events("", true, "text"),
		"a refusal":  whole("busy", "X-Ran: no\r\n"),
	}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for form, head := range heads {
			for followed, rest := range map[string]string{"alone": "", "then a sound response": sound} {
				t.Run(strings.Join([]string{status, form, followed}, ", "), func(t *testing.T) {
					checkHeadNotBelieved(t, strings.Replace(head, "200", status, 1)+rest)
				})
			}
		}
	}
}

// TestInvalidFieldName guards against a response in whose head the name of a field is no token, and that is
// believed: what the field says, for example the length, is lost.
func TestInvalidFieldName(t *testing.T) {
	names := map[string]string{
		"blank at the end": "Content-Length : 4\r\n",
		"blank inside":     "Content Length: 4\r\n",
		"control byte":     "Content\x01Length: 4\r\n",
		"carriage return":  "Content-Length\r: 4\r\n",
	}
	heads := map[string]string{
		"response":               "HTTP/1.1 200 OK\r\nX-Load: 1/0\r\nNAME\r\nbody",
		"another length":         "HTTP/1.1 200 OK\r\nX-Load: 1/0\r\nContent-Length: 2\r\nNAME\r\nbody",
		"no body, then a sound":  "HTTP/1.1 200 OK\r\nX-Load: 1/0\r\nContent-Length: 0\r\nNAME\r\n" + sound,
		"events":                 strings.Replace(events("", true, "text"), "Content-Type", "NAMEContent-Type", 1),
		"refusal":                "HTTP/1.1 503 Service Unavailable\r\nX-Ran: no\r\nContent-Length: 4\r\nNAME\r\nbusy",
		"interim, then a sound":  "HTTP/1.1 103 Early Hints\r\nNAME\r\n" + sound,
		"interim, then a stream": "HTTP/1.1 103 Early Hints\r\nNAME\r\n" + events("", true, "text"),
	}
	for name, field := range names {
		for form, head := range heads {
			t.Run(name+", "+form, func(t *testing.T) {
				checkHeadNotBelieved(t, strings.Replace(head, "NAME", field, 1))
			})
		}
	}
}
