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

// TestCheckHead guards against a head that HTTP/1.1 doesn't allow and that is believed, and against one
// that it allows and that is not.
func TestCheckHead(t *testing.T) {
	rows := map[string]struct {
		status int
		name   string
		want   bool
	}{
		"status none":                {0, "A", false},
		"status below the lowest":    {99, "A", false},
		"interim status":             {100, "A", true},
		"another protocol":           {101, "A", false},
		"another interim status":     {199, "A", true},
		"success":                    {200, "A", true},
		"status without a name":      {299, "A", true},
		"failure":                    {500, "A", true},
		"highest status":             {599, "A", true},
		"status above the highest":   {600, "A", false},
		"three nines":                {999, "A", false},
		"negative status":            {-1, "A", false},
		"name of all kinds of bytes": {200, "aZ09!#$%&'*+-.^_`|~", true},
		"blank in a name":            {200, "Content Length", false},
		"blank after a name":         {200, "Content-Length ", false},
		"tab in a name":              {200, "A\tB", false},
		"control byte in a name":     {200, "A\x01", false},
		"delete in a name":           {200, "A\x7f", false},
		"byte above ASCII in a name": {200, "A\xa0", false},
		"separator in a name":        {200, "A(B)", false},
		"no name":                    {200, "", false},
		"blank in an interim head":   {103, "A ", false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			if err := connector.CheckHead(row.status, http.Header{"B": {"c"}, row.name: {"d"}}); (err == nil) != row.want {
				t.Errorf("CheckHead() of status %d and name %q got %v, want none: %t", row.status, row.name, err, row.want)
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
		"blank in a name":             {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", ""},
		"blank, another length":       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length : 4\r\n\r\nbody", ""},
		"blank in an interim head":    {"HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\n" + sound, ""},
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
