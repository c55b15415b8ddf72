package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client keeps a channel to a daemon and sends one request after the other.
type client struct {
	address    string
	connection net.Conn
	reader     *bufio.Reader
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request and reads its answer.
func (c *client) send(method, host, path, id string, budget time.Duration, body []byte, extra string) answer {
	if c.connection == nil {
		connection, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.connection, c.reader = connection, bufio.NewReader(connection)
	}
	_ = c.connection.SetDeadline(time.Now().Add(budget))
	request := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%sContent-Length: %d\r\n\r\n",
		method, path, host, id, budget.Milliseconds(), extra, len(body))
	if _, err := c.connection.Write(append(request, body...)); err != nil {
		c.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	got := answer{status: response.StatusCode, header: response.Header}
	got.body, got.err = io.ReadAll(response.Body)
	if got.err != nil || response.Close {
		c.close()
	}
	return got
}

func (c *client) close() {
	if c.connection != nil {
		_ = c.connection.Close()
	}
	c.connection = nil
}
