package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host = "api.example"
	key  = "key-of-office"
)

// answer is what a client got for a request.
type answer struct {
	status    int
	signature string
	body      string
	// err is set if the channel ended before the answer was complete.
	err  error
	took time.Duration
}

// String describes the answer in one line.
func (a answer) String() string {
	end := "complete"
	if a.err != nil {
		end = "cut: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, %s, after %d ms", a.status, a.signature, len(a.body), end, a.took.Milliseconds())
}

// request is a request of a client.
type request struct {
	path, attempt string
	deadline      time.Duration
	header        string
	body          []byte
	// bytesPerSecond is the rate at which the body is sent; 0 means at once.
	bytesPerSecond float64
	// onEvent is called with the number of events received so far.
	onEvent func(events int)
}

// send sends a request on a new channel and reads the answer.
func send(address string, r request) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(began.Add(r.deadline + time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		r.path, host, r.attempt, r.deadline.Milliseconds(), key, r.header, len(r.body))
	if err := r.write(connection, head); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signature = response.StatusCode, response.Header.Get("Response-Signature")
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		a.body = text.String()
		if r.onEvent != nil {
			r.onEvent(strings.Count(a.body, "\n\n"))
		}
		if errors.Is(err, io.EOF) {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// pieceBytes is the size of the pieces in which a body is sent at a rate.
const pieceBytes = 32 << 10

// write writes the head and the body of the request.
func (r request) write(connection net.Conn, head string) error {
	if r.bytesPerSecond == 0 {
		_, err := connection.Write(append([]byte(head), r.body...))
		return err
	}
	if _, err := io.WriteString(connection, head); err != nil {
		return err
	}
	began := time.Now()
	for sent := 0; sent < len(r.body); sent += pieceBytes {
		due := began.Add(time.Duration(float64(sent) / r.bytesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		if _, err := connection.Write(r.body[sent:min(len(r.body), sent+pieceBytes)]); err != nil {
			return err
		}
	}
	return nil
}

// route returns a route of the manifest.
func route(name, prefix, kind, service string, attempts int, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "priority": 0,
		"maxAttempts": attempts, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 1500,
	}
}

// publish writes a manifest.
func publish(log *platformLog, version int, routes ...map[string]any) {
	log.put(topicOperator, "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "turn-ledger", "maxConnections": 96, "healthPath": "/healthz"},
			map[string]any{"name": "rota-helper", "maxConnections": 610, "healthPath": "/healthz"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []any{map[string]any{"name": "office", "apiKeys": []string{key}, "priority": 0}},
	})
}
