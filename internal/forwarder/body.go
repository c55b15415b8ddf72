package forwarder

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/reserver"
)

// defaultMaxBodyBytes applies if the declaration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the request body. It returns BodyTooLarge if the body exceeds the
// limit.
func (c *call) readBody() *classifier.Error {
	limit := c.view.Table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.http.ContentLength > limit {
		return classifier.New(classifier.BodyTooLarge, "the body has %d bytes, at most %d are allowed", c.http.ContentLength, limit)
	}
	if !c.memory.Grow(workingBytes) {
		return memoryFull()
	}
	if c.http.Body == nil || c.http.Body == http.NoBody {
		return nil
	}
	// A body that trickles in must not hold the daemon's memory past the deadline.
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return classifier.Wrap(classifier.Internal, err, "failed to bound the time to read the request body")
	}
	body, err := c.receiveBody(limit)
	if errors.Is(err, errNoMemory) {
		// The rest of the body is not read.
		c.writer.Header().Set("Connection", "close")
		return memoryFull()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writer.Header().Set("Connection", "close")
		return classifier.Wrap(classifier.BodyIncomplete, err, "the request body did not arrive before the deadline")
	}
	if err != nil {
		return classifier.Wrap(classifier.ClientDisconnected, err, "failed to read the request body")
	}
	if int64(len(body)) > limit {
		return classifier.New(classifier.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	c.body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return classifier.Wrap(classifier.Internal, err, "failed to lift the bound on the time to read the request body")
	}
	return nil
}

// errNoMemory is the error of a body that does not fit into the memory for bodies.
var errNoMemory = errors.New("no memory is left for the body")

// memoryFull returns the error for a request that does not fit into the memory for bodies.
func memoryFull() *classifier.Error {
	return classifier.Wrap(classifier.MemoryFull, errNoMemory, "other requests and their responses take all the memory for them").WithRetryAfter(notReadyRetryAfter)
}

// workingBytes is the memory that a request takes besides its body: the response that is being
// forwarded, as far as the client and the endpoint keep up with each other. It is reserved before the
// request is sent, because a response that has begun cannot be refused.
const workingBytes = 2 * streamBufferBytes

// held returns the memory that the request and its body take.
func (c *call) held() int64 { return workingBytes + int64(cap(c.body)) }

// minBodyBuffer is the size of the buffer for the beginning of a body of unknown length.
const minBodyBuffer = 4 << 10

// receiveBody reads the body, or one byte more than the limit. It reserves the memory for a body of
// known length before it reads any of it.
func (c *call) receiveBody(limit int64) ([]byte, error) {
	length := c.http.ContentLength
	if length < 0 {
		return c.receiveUnsizedBody(limit)
	}
	if !c.memory.Grow(workingBytes + length) {
		return nil, errNoMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.http.Body, body)
	return body, err
}

// receiveUnsizedBody reads a body of unknown length. When it is no longer small, it reserves what
// the longest one needs while its buffer is copied to a larger one: if all bodies in progress grew
// step by step, none of them might find room for its last step.
func (c *call) receiveUnsizedBody(limit int64) ([]byte, error) {
	reader := io.LimitReader(c.http.Body, limit+1)
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(minBodyBuffer, 2*cap(body))
			reserved := int64(size + cap(body))
			if reserved > reserver.SmallBytes {
				reserved = max(reserved, limit+limit/2)
			}
			if !c.memory.Grow(workingBytes + reserved) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			c.memory.Shrink(workingBytes + int64(cap(body)))
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
