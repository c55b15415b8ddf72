// Package exchanger sends one HTTP/1.1 request at a time over a connection to an
// endpoint and reads its response. It manages its own connections, because the
// client of net/http retries some requests by itself and does not report whether
// any bytes were sent.
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read. A longer body is written concurrently, because an endpoint
	// may respond before it has read all of it.
	maxInlineBodyBytes = 8 << 10
	// maxResponses bounds the responses that are read for one request. It counts the
	// skipped ones: interim responses and responses to other requests.
	// maxHeadBytes bounds the head of each of them, maxSkippedBytes the body of each
	// response to another request.
	maxResponses    = 4
	maxHeadBytes    = 32 << 10
	maxSkippedBytes = 1 << 20
	bufferBytes     = 4 << 10
)

// Request is a request as it is written to the connection.
type Request struct {
	// ID identifies the request in its response; the header must hold the same one. No
	// connection carries an id twice, because the response to the earlier request may come
	// again.
	ID     string
	Method string
	// Target is the raw path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once is set if the request must not run twice. It is then sent on a new connection
	// to an endpoint that sends responses without an id.
	Once bool
	// Permitted reports whether the request may still be sent. It is called when the
	// connection is open, which may take a while, and before the first byte is written. A
	// nil function permits all.
	Permitted func() bool
	// Connected is called, unless it is nil, when the connection is open and the request is
	// permitted, before the first byte is written.
	Connected func()
}

// ErrNotPermitted is the error of an exchange whose request was not sent because its function
// Permitted returned false. It says nothing against the endpoint.
var ErrNotPermitted = errors.New("the request may not be sent to the endpoint any more")

// Match is what a response says of the request that it belongs to.
type Match int

// Values of Match.
const (
	// Own is a response to the request in progress.
	Own Match = iota
	// Foreign is a response to another request.
	Foreign
	// Anonymous is a response that does not say. It belongs to the request in progress
	// if that is the first one on its connection.
	Anonymous
)

// Stage is how far a failed request got.
type Stage int

// Stages of a failed request.
const (
	// Unsent means that no byte of the request was sent.
	Unsent Stage = iota
	// Sent means that the request may have run.
	Sent
)

// Failure is the error of an exchange that got no response.
type Failure struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unreachable reports whether the exchange timed out, so that the host or the
// network path to it may be down.
func (f *Failure) Unreachable() bool {
	timeout, ok := errors.Into[net.Error](f.Err)
	return ok && timeout.Timeout()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Exchanger sends requests and keeps idle connections to endpoints. It is safe
// for concurrent use.
type Exchanger struct {
	network connector.Network
	match   Matcher

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// anonymous holds the addresses that have sent responses without an id, with the
	// time of the last one.
	anonymous map[netip.AddrPort]time.Time
	counts    Counts
}

// Matcher says whether a response belongs to the request with the id.
type Matcher func(status int, response http.Header, id string) Match

// New returns an exchanger that opens connections through the network.
func New(network connector.Network, match Matcher) *Exchanger {
	return &Exchanger{network: network, match: match, idle: map[netip.AddrPort][]*conn{}, anonymous: map[netip.AddrPort]time.Time{}}
}

// Response is the head of a response, and a reader of its body. Close must be
// called. It keeps the connection for another request if the body was read to its
// end.
type Response struct {
	Status int
	Header http.Header
	// Anonymous is set if the response does not say which request it belongs to, and
	// Ambiguous if it may also belong to another one on the same connection. An ambiguous
	// response proves nothing about the request.
	Anonymous bool
	Ambiguous bool

	exchanger    *Exchanger
	address      netip.AddrPort
	conn         *conn
	httpResponse *http.Response
	// stopWatch stops the closing of the connection when the context ends.
	stopWatch func() bool
	// written yields the result of writing the request.
	written <-chan error
	// id is that of the request. scanner looks for another response in the body, of which received
	// bytes have been read.
	id       string
	scanner  spliceScanner
	received int64
	// complete is set when the body was read to its end.
	complete bool
	closed   bool
}

// Do sends a request and returns the head of its response. When ctx ends, the
// connection is closed, which tells the endpoint to stop.
func (e *Exchanger) Do(ctx context.Context, address netip.AddrPort, request *Request) (*Response, *Failure) {
	connection, err := e.connect(ctx, address, request)
	if err != nil {
		return nil, &Failure{Stage: Unsent, Err: err}
	}
	if request.Permitted != nil && !request.Permitted() {
		_ = connection.Close()
		return nil, &Failure{Stage: Unsent, Err: ErrNotPermitted}
	}
	if request.Connected != nil {
		request.Connected()
	}
	connection.carried.add(hashID(request.ID))
	stopWatch := context.AfterFunc(ctx, func() { _ = connection.Close() })
	written, err := connection.write(request)
	if err != nil {
		return nil, abort(ctx, connection, stopWatch, err)
	}
	response, match, err := e.readHead(connection, request) //nolint:bodyclose // Response.Close ends the exchange
	if err != nil {
		return nil, abort(ctx, connection, stopWatch, err)
	}
	if match == Anonymous {
		e.recordAnonymous(address)
	}
	return &Response{
		Status:       response.StatusCode,
		Header:       response.Header,
		Anonymous:    match == Anonymous,
		Ambiguous:    match == Anonymous && connection.shared,
		exchanger:    e,
		address:      address,
		conn:         connection,
		id:           request.ID,
		httpResponse: response,
		stopWatch:    stopWatch,
		written:      written,
	}, nil
}

// abort closes a connection on which the request may have run.
func abort(ctx context.Context, connection *conn, stopWatch func() bool, err error) *Failure {
	stopWatch()
	_ = connection.Close()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &Failure{Stage: Sent, Err: err}
}

// write sends the request. The channel yields the result of writing the body.
func (c *conn) write(request *Request) (<-chan error, error) {
	written := make(chan error, 1)
	writer := bufio.NewWriterSize(c.Conn, bufferBytes)
	writeHead(writer, request)
	if len(request.Body) <= maxInlineBodyBytes {
		_, _ = writer.Write(request.Body)
		err := writer.Flush()
		written <- err
		return written, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	go func() {
		_, err := c.Write(request.Body)
		written <- err
	}()
	return written, nil
}

// writeHead writes the request line and the header. The writer keeps any error
// until it is flushed.
func writeHead(writer *bufio.Writer, request *Request) {
	_, _ = writer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(writer)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
}

// readHead returns the response to the request, or one that does not say which request it
// belongs to. It skips interim responses and responses to other requests that arrive first.
func (e *Exchanger) readHead(connection *conn, request *Request) (*http.Response, Match, error) {
	httpRequest := &http.Request{Method: request.Method}
	for range maxResponses {
		connection.limiter.begin()
		response, err := http.ReadResponse(connection.reader, httpRequest)
		connection.limiter.end()
		if err == nil {
			err = checkHead(response)
		}
		if err != nil {
			return nil, Foreign, errors.Wrap(err, "read response")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if match := e.match(response.StatusCode, response.Header, request.ID); match != Foreign {
			return response, match, nil
		}
		connection.shared = true
		if err := e.skip(response); err != nil {
			return nil, Foreign, err
		}
	}
	return nil, Foreign, errors.New("no response to the request among those received")
}

// skip reads the body of a response to another request.
func (e *Exchanger) skip(response *http.Response) error {
	e.mu.Lock()
	e.counts.Skipped++
	e.mu.Unlock()
	if closeDelimited(response) {
		return errors.New("response to another request ends only with the connection")
	}
	if response.Request.Method == http.MethodHead {
		return errors.New("response to another request may have a body, which cannot be told from the next response")
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
		return errors.New("response to another request exceeds the size limit or is truncated")
	}
	return nil
}

// closeDelimited reports whether the body ends with the connection.
func closeDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// Read reads the body. It returns io.EOF only for a complete body, or for one that ends with a connection
// that was closed, not reset; see SelfDelimited. It returns an error in place of the last part of a body in
// which another response begins.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.httpResponse.Body.Read(data)
	r.scanner.add(data[:n])
	r.received += int64(n)
	atEnd := errors.Is(err, io.EOF) || n > 0 && r.received == r.ContentLength()
	if atEnd && r.isSpliced() {
		return 0, errSpliced
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// ContentLength returns the length of the body that the header announces, or -1 if
// it announces none.
func (r *Response) ContentLength() int64 { return r.httpResponse.ContentLength }

// SelfDelimited reports whether the header says where the body ends. The end of any other body cannot be told
// from that of a process that was killed; see CheckEnd.
func (r *Response) SelfDelimited() bool { return !closeDelimited(r.httpResponse) }

// CheckEnd returns an error if the body, which has been read to its end, may have been broken off:
// it ended only with the connection, and no process listens at the endpoint's address any more.
// The connections of a process that is killed end in the same way.
func (r *Response) CheckEnd(ctx context.Context) error {
	if r.SelfDelimited() || !r.exchanger.hasExited(ctx, r.address) {
		return nil
	}
	return errors.New("connection ended together with the endpoint")
}

// Abort closes the connection, which ends a read in another goroutine. Close must be called too.
func (r *Response) Abort() { _ = r.conn.Close() }

// Close ends the exchange. The connection is closed if the body was not read to its end, if it
// cannot remember further ids, or if the response has no id: a second copy of it could not be
// told from the response to the next request.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	active := r.stopWatch()
	if !active || !r.complete || r.Anonymous || closeDelimited(r.httpResponse) || r.httpResponse.Close || r.conn.reader.Buffered() > 0 || r.conn.carried.full() || !r.requestWritten() {
		_ = r.conn.Close()
		return
	}
	r.conn.shared = true
	r.conn.idleDeadline = time.Now().Add(idleTimeout(r.Header))
	r.exchanger.putIdle(r.address, r.conn)
}

// requestWritten reports whether the whole request has been written.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// Counts are the numbers of events since the exchanger was created.
type Counts struct {
	// Opened is the number of connections opened, Skipped that of responses to other requests
	// that were skipped.
	Opened  uint64
	Skipped uint64
	// PassedOver is the number of times that an idle connection was not used for a request
	// because it had carried the id.
	PassedOver uint64
}

// Counts returns the numbers of events so far.
func (e *Exchanger) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}
