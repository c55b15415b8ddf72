// Package exchanger sends one request at a time over a connection to an
// endpoint and reads its answer. It owns its connections, since a common HTTP
// client repeats some requests by itself and hides whether bytes have left.
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

const (
	// dialTimeout bounds the opening of a connection: it is well above the
	// longest way between zones, and one lost packet is not worth the wait.
	dialTimeout = 300 * time.Millisecond
	// idleMargin is taken off the idle time that an endpoint announces, idleDefault
	// counts when it announces none.
	idleMargin  = 500 * time.Millisecond
	idleDefault = 4 * time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 16
	// inlineBody is the size up to which a body is written before the answer is
	// read. A longer one is written meanwhile: an endpoint may answer before it
	// has read everything.
	inlineBody = 8 << 10
	// maxStray bounds the foreign answers and their bytes that are skipped.
	maxStray      = 4
	maxStrayBytes = 1 << 20
	readerSize    = 4 << 10
)

// Request is a request as it is written.
type Request struct {
	Method string
	// Target is the raw path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Stage tells how far a failed request came.
type Stage int

// The stages.
const (
	// Unsent requests have left no byte.
	Unsent Stage = iota
	// Sent requests may have run.
	Sent
)

// Failure is an exchange without an answer.
type Failure struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unreachable reports whether the endpoint's host or the way to it gave no sign
// of life.
func (f *Failure) Unreachable() bool {
	timeout, ok := errors.Into[net.Error](f.Err)
	return ok && timeout.Timeout()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Exchanger keeps the connections to endpoints. It is safe for concurrent use.
type Exchanger struct {
	network connector.Network
	// owns reports whether an answer belongs to the request with the header.
	owns func(status int, answer, request http.Header) bool

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	opened uint64
	strays uint64
}

// New returns an exchanger that opens connections through the network.
func New(network connector.Network, owns func(status int, answer, request http.Header) bool) *Exchanger {
	return &Exchanger{network: network, owns: owns, idle: map[netip.AddrPort][]*conn{}}
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// Response is the head of an answer. Close must be called; it keeps the connection
// for another request if the answer was read to its end.
type Response struct {
	Status int
	Header http.Header

	owner    *Exchanger
	address  netip.AddrPort
	conn     *conn
	response *http.Response
	stop     func() bool
	// written yields the result of writing the request.
	written <-chan error
	ended   bool
	closed  bool
}

// Do sends a request and returns the head of its answer. When ctx ends the
// connection is closed, which tells the endpoint to stop.
func (e *Exchanger) Do(ctx context.Context, address netip.AddrPort, message *Request) (*Response, *Failure) {
	connection, err := e.connect(ctx, address)
	if err != nil {
		return nil, &Failure{Stage: Unsent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	written, err := connection.write(message)
	if err != nil {
		return nil, abandon(ctx, connection, stop, err)
	}
	response, err := e.read(connection, message) //nolint:bodyclose // Reply.Close ends it
	if err != nil {
		return nil, abandon(ctx, connection, stop, err)
	}
	return &Response{
		Status:   response.StatusCode,
		Header:   response.Header,
		owner:    e,
		address:  address,
		conn:     connection,
		response: response,
		stop:     stop,
		written:  written,
	}, nil
}

// abandon closes a connection on which the request may have run.
func abandon(ctx context.Context, connection *conn, stop func() bool, err error) *Failure {
	stop()
	_ = connection.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &Failure{Stage: Sent, Err: err}
}

// connect returns an idle connection that is still open, or a new one.
func (e *Exchanger) connect(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		connection := e.take(address)
		if connection == nil {
			return e.dial(ctx, address)
		}
		if time.Now().Before(connection.expires) && quiet(connection.Conn) {
			return connection, nil
		}
		_ = connection.Close()
	}
}

func (e *Exchanger) take(address netip.AddrPort) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	connection := list[last]
	list[last] = nil
	e.idle[address] = list[:last]
	return connection
}

func (e *Exchanger) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	opened, err := e.network.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	e.mu.Lock()
	e.opened++
	e.mu.Unlock()
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readerSize)}, nil
}

// write sends the request. The channel yields the result of writing the body.
func (c *conn) write(message *Request) (<-chan error, error) {
	written := make(chan error, 1)
	writer := bufio.NewWriterSize(c.Conn, readerSize)
	writeHead(writer, message)
	if len(message.Body) <= inlineBody {
		_, _ = writer.Write(message.Body)
		err := writer.Flush()
		written <- err
		return written, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	go func() {
		_, err := c.Write(message.Body)
		written <- err
	}()
	return written, nil
}

// writeHead buffers the request line and the header; the writer keeps the
// error.
func writeHead(writer *bufio.Writer, message *Request) {
	_, _ = writer.WriteString(message.Method + " " + message.Target + " HTTP/1.1\r\nHost: " + message.Host + "\r\n")
	_ = message.Header.Write(writer)
	if len(message.Body) > 0 || message.Method != http.MethodGet && message.Method != http.MethodHead {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(message.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
}

// read returns the answer to the request. Answers to others that stand before
// it are skipped.
func (e *Exchanger) read(connection *conn, message *Request) (*http.Response, error) {
	request := &http.Request{Method: message.Method}
	for range maxStray {
		response, err := http.ReadResponse(connection.reader, request)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if e.owns(response.StatusCode, response.Header, message.Header) {
			return response, nil
		}
		e.mu.Lock()
		e.strays++
		e.mu.Unlock()
		if unframed(response) {
			return nil, errors.New("answer of another request fills the connection")
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBytes); !errors.Is(err, io.EOF) {
			return nil, errors.New("answer of another request does not end")
		}
	}
	return nil, errors.New("only answers of other requests came")
}

// unframed reports whether the answer ends with its connection.
func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// Read reads the body. io.EOF is returned only for a body that is complete.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.response.Body.Read(data)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	return n, err
}

// SelfDelimited reports whether the answer says where its body ends. The end of another
// one may as well be that of a broken connection.
func (r *Response) SelfDelimited() bool { return !unframed(r.response) }

// Close ends the exchange. A connection whose answer was not read to its end is
// closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	live := r.stop()
	if !live || !r.ended || unframed(r.response) || r.response.Close || r.conn.reader.Buffered() > 0 || !r.sent() {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = time.Now().Add(idleTime(r.Header))
	r.owner.put(r.address, r.conn)
}

// sent reports whether the whole request has been written.
func (r *Response) sent() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

func (e *Exchanger) put(address netip.AddrPort, connection *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	if len(list) >= maxIdle {
		_ = connection.Close()
		return
	}
	e.idle[address] = append(list, connection)
}

// idleTime returns how long a connection may be idle.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// Sweep closes connections that have been idle for too long.
func (e *Exchanger) Sweep() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, list := range e.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.After(connection.expires) {
				_ = connection.Close()
				continue
			}
			kept = append(kept, connection)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(e.idle, address)
			continue
		}
		e.idle[address] = kept
	}
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.idle {
		for _, connection := range list {
			_ = connection.Close()
		}
	}
	clear(e.idle)
}

// Counts returns the connections that were opened and the foreign answers that
// were skipped.
func (e *Exchanger) Counts() (opened, strays uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened, e.strays
}
