// Package faker holds stand-ins of the systems that quetzalgrade serves or
// uses: the platform's log, rating service and instance list, model engines
// and plain services. They serve tests, the demo and trial set-ups on
// loopback, and can be told to fail.
package faker

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// LogFaults are the faults of a log.
type LogFaults struct {
	// Down makes every call fail.
	Unavailable bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of appends whose answer is lost after the record
	// was stored.
	LoseResponses int
	// DropStream names a stream whose appends are acknowledged but not stored.
	DiscardStream string
}

// Log is a stand-in of the platform's log service.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	appends uint64
	reads   uint64
}

type logStream struct {
	oldest uint64
	items  []logItem
}

type logItem struct {
	data       []byte
	appendedAt time.Time
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*logStream{}} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Calls returns the number of appends and reads so far.
func (l *Log) Calls() (appends, reads uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Expire drops the records that are older than age.
func (l *Log) Expire(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range l.streams {
		for len(s.items) > 0 && now.Sub(s.items[0].appendedAt) > age {
			s.items = s.items[1:]
			s.oldest++
		}
	}
}

// Records returns the data of all appends that a stream holds.
func (l *Log) Records(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all [][]byte
	for _, item := range l.stream(name).items {
		all = append(all, item.data)
	}
	return all
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

// enter applies the faults to a call.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Unavailable {
		return connect.NewError(connect.CodeUnavailable, nil)
	}
	return nil
}

// Append implements the log service.
func (l *Log) Append(ctx context.Context, request *connect.Request[schema.AppendRequest]) (*connect.Response[schema.AppendResponse], error) {
	if err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(request.Msg.GetStream())
	offset := s.oldest + uint64(len(s.items))
	if l.faults.DiscardStream != "" && l.faults.DiscardStream == request.Msg.GetStream() {
		return connect.NewResponse(&schema.AppendResponse{Offset: offset}), nil
	}
	s.items = append(s.items, logItem{request.Msg.GetData(), time.Now()})
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	return connect.NewResponse(&schema.AppendResponse{Offset: offset}), nil
}

// Read implements the log service.
func (l *Log) Read(ctx context.Context, request *connect.Request[schema.ReadRequest]) (*connect.Response[schema.ReadResponse], error) {
	if err := l.applyFaults(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.stream(request.Msg.GetStream())
	response := &schema.ReadResponse{Oldest: s.oldest, Next: s.oldest + uint64(len(s.items))}
	for offset := max(request.Msg.GetFrom(), s.oldest); offset < response.GetNext(); offset++ {
		if len(response.GetItems()) >= int(request.Msg.GetMax()) {
			break
		}
		response.Items = append(response.Items, &schema.Item{Offset: offset, Data: s.items[offset-s.oldest].data})
	}
	return connect.NewResponse(response), nil
}
