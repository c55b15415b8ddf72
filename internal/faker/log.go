// Package faker provides fakes of the systems around quetzalgrade: the
// platform's log, rating service and instance list, model engines and plain
// services. Tests, the demo and trial deployments on loopback use them and can
// inject faults into them.
package faker

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// LogFaults are the faults to inject into a log.
type LogFaults struct {
	// Unavailable makes every call fail.
	Unavailable bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponses is the number of appends whose response is lost after the
	// record was stored.
	LoseResponses int
	// DiscardStream names a stream whose appends are acknowledged but not stored.
	DiscardStream string
}

// Log is a fake of the platform's log service.
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

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Calls returns the numbers of appends and reads that the log has processed.
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

// Records returns the data of all records that a stream holds.
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

// applyFaults delays a call and returns the error of an unavailable log.
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

// Append implements the Append method of the log service.
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

// Read implements the Read method of the log service.
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
