package exchanger_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/connector"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/faker"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 16 << 20

// uploadOnce sends a long request to an endpoint, and returns the body of the response.
func uploadOnce(t *testing.T, endpoint *faker.EarlyResponder, upload []byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	e := exchanger.New(connector.TCP{}, anyResponse)
	defer e.Close()
	response, failure := e.Do(ctx, endpoint.Addr, &exchanger.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: upload})
	if failure != nil {
		return "", failure
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestEarlyResponse guards against a response without a length that is reset while the request is being
// written and counts as complete, and against one of an endpoint that has responded in order to a part of
// the request and counts as broken, or is delivered late.
func TestEarlyResponse(t *testing.T) {
	upload := make([]byte, uploadBytes)
	rows := map[string]struct {
		ending   faker.Ending
		length   int
		announce bool
		want     bool
	}{
		"reset after the head":             {faker.EndWithReset, 0, false, false},
		"reset after a few bytes":          {faker.EndWithReset, 4, false, false},
		"reset after more than a buffer":   {faker.EndWithReset, 100 << 10, false, false},
		"reset after an announced length":  {faker.EndWithReset, 4, true, true},
		"half closed, rest is not read":    {faker.EndHalf, 4, false, true},
		"half closed, rest is read":        {faker.EndHalfAndRead, 100 << 10, false, true},
		"closed after the whole request":   {faker.EndAfterRequest, 4, false, true},
		"announced length, half is closed": {faker.EndHalf, 4, true, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := strings.Repeat("x", row.length)
			head := "HTTP/1.1 200 OK\r\n"
			if row.announce {
				head += "Content-Length: " + strconv.Itoa(row.length) + "\r\n"
			}
			endpoint, err := faker.ServeEarly(row.ending, func(*http.Request) string { return head + "\r\n" + body })
			if err != nil {
				t.Fatalf("ServeEarly() got error %v, want nil", err)
			}
			t.Cleanup(endpoint.Close)
			// Which call gets the error of the operating system depends on the order in which two goroutines wake.
			for range 10 {
				began := time.Now()
				got, err := uploadOnce(t, endpoint, upload)
				if (err == nil) != row.want || row.want && got != body {
					t.Errorf("response got %d bytes with error %v, want %d bytes, complete: %t", len(got), err, row.length, row.want)
				}
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("response took %s, want it at once", took)
				}
			}
		})
	}
}
