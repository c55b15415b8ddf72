package forwarder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/reserver"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// chunkBytes is the unit in which memory is reserved for a response that the client is slow
	// to read.
	chunkBytes = 16 << 10
	// maxAheadBytes bounds what is held of one such response.
	maxAheadBytes = 8 << 20
)

// aheadReader reads the body of a response. After start it reads on while the caller is busy with
// what it has read, as far as there is memory: an endpoint gives its slot away when the whole
// response is read, and cuts off one that is not.
type aheadReader struct {
	response *exchanger.Response
	// checkEnd returns an error if the response, which has been read to its end, was broken off.
	checkEnd func() error
	// onEnd is called when the last read of the response has ended, possibly in another
	// goroutine. endedAt is when that was.
	onEnd   func()
	endedAt time.Time

	mu     sync.Mutex
	memory *reserver.Reservation
	queue  chunkQueue
	// err is the result of the last read.
	err     error
	started bool
	// arrived and taken have an item when something was added to the queue, or taken from it.
	arrived chan struct{}
	taken   chan struct{}
	// stopped is closed when the goroutine must end, ended when it has.
	stopped chan struct{}
	ended   chan struct{}
}

// readAhead returns a reader of the response and a writer to the client. If the client is slow to
// read, the reader reads on.
func (c *call) readAhead(ctx context.Context, choice *tracker.Choice, response *exchanger.Response) (*aheadReader, *clientWriter) {
	ahead := &aheadReader{
		response: response,
		checkEnd: func() error { return response.CheckEnd(ctx) },
		onEnd:    choice.ResponseEnded,
		memory:   c.Bodies.NewOptionalReservation(),
	}
	client := newClientWriter(c.writer, c.deadline, func() {
		if ahead.start() {
			c.Counters.SlowClients.Inc()
			c.log("client reads slowly; reading the response on for it")
		}
	})
	return ahead, client
}

// start begins to read on, unless there is no memory for that. It reports whether it did.
func (a *aheadReader) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || !a.memory.Grow(aheadBytes(a.queue.count()+1)) {
		return false
	}
	a.started = true
	a.arrived, a.taken = make(chan struct{}, 1), make(chan struct{}, 1)
	a.stopped, a.ended = make(chan struct{}), make(chan struct{})
	go a.run()
	return true
}

// aheadBytes returns the memory for a number of chunks and for the latest read.
func aheadBytes(chunks int) int64 { return int64(chunks*chunkBytes + streamBufferBytes) }

// run reads until the end of the response.
func (a *aheadReader) run() {
	defer close(a.ended)
	buffer := make([]byte, streamBufferBytes)
	for {
		for !a.hasRoom() {
			select {
			case <-a.taken:
			case <-a.stopped:
				return
			}
		}
		n, err := a.readResponse(buffer)
		a.mu.Lock()
		a.queue.add(buffer[:n])
		a.err = err
		a.mu.Unlock()
		notify(a.arrived)
		if err != nil {
			return
		}
	}
}

// hasRoom reports whether the queue has room for another read, and reserves it.
func (a *aheadReader) hasRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.spare() >= streamBufferBytes {
		return true
	}
	chunks := a.queue.count() + 1
	return chunks*chunkBytes <= maxAheadBytes && a.memory.Grow(aheadBytes(chunks))
}

// readResponse reads from the endpoint. It returns io.EOF only at the end of a response that has not
// been broken off. That is checked at once: the endpoint may have started again, and the deadline may
// have passed, by the time a slow client has read what came before.
func (a *aheadReader) readResponse(data []byte) (int, error) {
	n, err := a.response.Read(data)
	if errors.Is(err, io.EOF) {
		if endErr := a.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	if err != nil {
		a.endedAt = time.Now()
		a.onEnd()
	}
	return n, err
}

// Read implements io.Reader.
func (a *aheadReader) Read(data []byte) (int, error) {
	a.mu.Lock()
	started := a.started
	a.mu.Unlock()
	if !started {
		return a.readResponse(data)
	}
	for {
		if n, err := a.take(data); n > 0 || err != nil {
			return n, err
		}
		<-a.arrived
	}
}

// take takes bytes from the queue, or the error that follows them.
func (a *aheadReader) take(data []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.queue.take(data)
	if n == 0 {
		return 0, a.err
	}
	a.memory.Shrink(aheadBytes(a.queue.count() + 1))
	notify(a.taken)
	return n, nil
}

// stop ends the reading and gives the memory back. If the response has not been read to its end, its
// connection is closed.
func (a *aheadReader) stop() {
	a.mu.Lock()
	started, complete := a.started, a.err != nil
	a.started = true
	a.mu.Unlock()
	if started && !complete {
		a.response.Abort()
	}
	if started {
		close(a.stopped)
		<-a.ended
	}
	a.memory.Release()
}

// notify puts an item into the channel unless it has one.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// chunkQueue is a queue of bytes in chunks of one size.
type chunkQueue struct {
	chunks [][]byte
	// offset is the number of bytes that were taken from the first chunk.
	offset int
}

// count returns the number of chunks.
func (q *chunkQueue) count() int { return len(q.chunks) }

// spare returns the number of bytes that fit into the last chunk.
func (q *chunkQueue) spare() int {
	if len(q.chunks) == 0 {
		return 0
	}
	last := q.chunks[len(q.chunks)-1]
	return cap(last) - len(last)
}

// add appends data.
func (q *chunkQueue) add(data []byte) {
	for len(data) > 0 {
		if q.spare() == 0 {
			q.chunks = append(q.chunks, make([]byte, 0, chunkBytes))
		}
		n := min(len(data), q.spare())
		last := &q.chunks[len(q.chunks)-1]
		*last = append(*last, data[:n]...)
		data = data[n:]
	}
}

// take moves bytes from the front of the queue to data.
func (q *chunkQueue) take(data []byte) int {
	if len(q.chunks) == 0 {
		return 0
	}
	first := q.chunks[0]
	n := copy(data, first[q.offset:])
	q.offset += n
	if q.offset == len(first) {
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
		q.offset = 0
	}
	return n
}
