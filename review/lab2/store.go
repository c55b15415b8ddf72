package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: the log of PROTOCOL.md, as far as the daemons use it.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
}

// partition is one partition of a topic.
type partition struct {
	records [][]byte
	newest  map[string]item
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, changed: make(chan struct{})}
}

// listen serves the store at a free address of its own and returns the address. Each daemon gets one.
func (s *store) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String()
}

func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]item{}}
		s.parts[key] = p
	}
	return p
}

// put appends a record with a key, as the operator and the workers do. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.append(s.partition(topic, "0"), append(record, value...))
}

// append adds a keyed record. The lock is held.
func (s *store) append(p *partition, record []byte) {
	length := int(record[0])
	key, value := string(record[1:1+length]), record[1+length:]
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = item{key, base64.StdEncoding.EncodeToString(value), int64(len(p.records))}
	}
	p.records = append(p.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic, part := query.Get("topic"), query.Get("part")
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/quetzalgrade/log-newest":
		s.serveNewest(w, topic, part)
	case "/quetzalgrade/log-read":
		s.serveRead(w, r, topic, part)
	case "/quetzalgrade/log-append":
		s.serveAppend(w, r, topic, part)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic, part string) {
	s.mu.Lock()
	p := s.partition(topic, part)
	items := []item{}
	for _, i := range p.newest {
		items = append(items, i)
	}
	end := len(p.records)
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic, part string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for over := waitMs <= 0; ; {
		s.mu.Lock()
		p := s.partition(topic, part)
		records, changed := p.records, s.changed
		s.mu.Unlock()
		if len(records) > from || over {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range records[min(from, len(records)):] {
				data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
				data = append(data, record...)
			}
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic, part string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	first := len(p.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, first)
		return
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		s.append(p, append([]byte(nil), body[4:4+length]...))
		body = body[4+length:]
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, len(p.records))
}
