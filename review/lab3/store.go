package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// topic is one partition of a keyed topic. Its offsets have no gaps.
type topic struct {
	records []record
	changed chan struct{}
}

// store is a stand-in of the platform's metadata store: a log with keyed topics. Its responses
// are linearizable, and it is never impaired.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// onRead is called when a read returns records of a topic.
	onRead func(topic string, at time.Time)
	// onAppend is called when a daemon has appended a record.
	onAppend func(topic string, r record)
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record on behalf of the operator or of a worker, and returns the time of the ack.
func (s *store) put(name, key string, value any) time.Time {
	data, err := json.Marshal(value)
	must(err)
	if value == nil {
		data = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), []record{{key, data}})
	return time.Now()
}

func (s *store) append(t *topic, records []record) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// newest returns the value of the newest record of a key, or nil.
func (s *store) newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topic(name).records
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			return records[i].value
		}
	}
	return nil
}

// listen serves the store at an address.
func (s *store) listen(address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quetzalgrade/log-newest", s.handleNewest)
	mux.HandleFunc("GET /quetzalgrade/log-read", s.handleRead)
	mux.HandleFunc("POST /quetzalgrade/log-append", s.handleAppend)
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = http.Serve(listener, mux) }()
}

func name(r *http.Request) string {
	query := r.URL.Query()
	if part := query.Get("part"); part != "0" {
		return query.Get("topic") + "/" + part
	}
	return query.Get("topic")
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name(r))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, rec := range t.records {
		if len(rec.value) == 0 {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name(r))
		end, changed := len(t.records), t.changed
		var found []record
		if from < end {
			found = append(found, t.records[from:]...)
		}
		s.mu.Unlock()
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, rec := range found {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
			body = append(body, byte(len(rec.key)))
			body = append(body, rec.key...)
			body = append(body, rec.value...)
		}
		_, _ = w.Write(body)
		if len(found) > 0 && s.onRead != nil {
			s.onRead(name(r), time.Now())
		}
		return
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic := r.URL.Query().Get("topic"); topic == "keyed.op" || topic == "keyed.servers" {
		http.Error(w, "not allowed", http.StatusForbidden)
		return
	}
	var records []record
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+length]
		body = body[4+length:]
		records = append(records, record{string(data[1 : 1+int(data[0])]), data[1+int(data[0]):]})
	}
	s.mu.Lock()
	t := s.topic(name(r))
	offset := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end": offset})
		return
	}
	s.append(t, records)
	end := len(t.records)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": end})
	if s.onAppend != nil {
		for _, rec := range records {
			s.onAppend(name(r), rec)
		}
	}
}
