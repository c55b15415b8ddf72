package connector_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// TestCheckHead guards against a status that HTTP/1.1 doesn't have and that is believed, and against one
// that it has and that is not.
func TestCheckHead(t *testing.T) {
	rows := map[string]struct {
		status int
		want   bool
	}{
		"none":                {0, false},
		"below the lowest":    {99, false},
		"interim":             {100, true},
		"another protocol":    {101, false},
		"another interim one": {199, true},
		"success":             {200, true},
		"without a name":      {299, true},
		"failure":             {500, true},
		"the highest":         {599, true},
		"above the highest":   {600, false},
		"three nines":         {999, false},
		"negative":            {-1, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if err := connector.CheckHead(row.status, http.Header{}); (err == nil) != row.want {
				t.Errorf("CheckHead() of status %d got %v, want none: %t", row.status, err, row.want)
			}
		})
	}
}

// respond sends the responses to the requests on a connection, one each, and leaves it open.
func respond(connection net.Conn, responses ...string) {
	reader := bufio.NewReader(connection)
	for _, response := range responses {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, response)
	}
}

// get returns the body of a response.
func get(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestTransport guards against a client of net/http that returns a response whose head, or that of an
// interim one before it, cannot be trusted, and against one that sends another request on its connection.
func TestTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"
	rows := map[string]struct {
		first string
		// want is the body of the first response, or empty if there must be none.
		want string
	}{
		"sound":                       {strings.Replace(sound, "next", "good", 1), "good"},
		"sound after interim ones":    {"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + strings.Replace(sound, "next", "good", 1), "good"},
		"status 000":                  {"HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody", ""},
		"status 000 without a body":   {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", ""},
		"status 000, a sound one":     {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n" + sound, ""},
		"status 999":                  {"HTTP/1.1 999 None\r\nContent-Length: 4\r\n\r\nbody", ""},
		"another protocol, sound one": {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound, ""},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(connection *net.TCPConn, number int) {
				if number == 1 {
					respond(connection, row.first, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreused")
				} else {
					respond(connection, sound)
				}
			})
			client := &http.Client{Transport: connector.NewTransport(connector.TCP{}), Timeout: 5 * time.Second}
			t.Cleanup(client.CloseIdleConnections)
			second := "next"
			if row.want != "" {
				second = "reused"
			}
			for i, want := range []string{row.want, second} {
				got, err := get(client, "http://"+address.String())
				if (err == nil) != (want != "") || got != want {
					t.Errorf("response %d got %q with error %v, want %q", i, got, err, want)
				}
			}
		})
	}
}
