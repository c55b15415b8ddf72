package main

import (
	"net"
	"strings"
	"sync"
	"time"
)

// proxy passes on the channels of one daemon to the store. A channel can be made silent for good:
// it stays open, and nothing passes any more in either direction.
type proxy struct {
	address string
	target  string

	mu       sync.Mutex
	channels []*channel
}

// channel is one channel through a proxy.
type channel struct {
	mu     sync.Mutex
	silent bool
	// call is the request line of the latest call, begun when it was sent. It is empty once there
	// is an answer.
	call  string
	begun time.Time
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(connection)
		}
	}()
	return p
}

// pass passes on one channel until an end closes it.
func (p *proxy) pass(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &channel{}
	p.mu.Lock()
	p.channels = append(p.channels, c)
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copy(far, near, true) })
	group.Go(func() { c.copy(near, far, false) })
	group.Wait()
}

// copy passes on the bytes of one direction, calls or answers.
func (c *channel) copy(to, from net.Conn, isCall bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if n > 0 && isCall {
			c.call, _, _ = strings.Cut(string(buffer[:n]), "\r\n")
			c.begun = time.Now()
		} else if n > 0 {
			c.call = ""
		}
		c.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes the channel silent on which a call with the texts has waited for an answer for
// the time at least. It returns the call, or an empty string if there is no such channel.
func (p *proxy) silence(waited time.Duration, texts ...string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.channels {
		c.mu.Lock()
		found := c.call != "" && !c.silent && time.Since(c.begun) >= waited
		for _, text := range texts {
			found = found && strings.Contains(c.call, text)
		}
		c.silent = c.silent || found
		call := c.call
		c.mu.Unlock()
		if found {
			return call
		}
	}
	return ""
}
