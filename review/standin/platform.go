package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics that operators and workers write to.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

type logRecord struct {
	key   string
	value []byte
}

// platformLog is a stand-in of the platform's store. It keeps all records in memory and
// implements log-newest, log-read and log-append for keyed topics.
type platformLog struct {
	address string

	mu      sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
}

// startLog serves a new log on a free loopback port.
func startLog() *platformLog {
	l := &platformLog{topics: map[string][]logRecord{}, changed: make(chan struct{})}
	listener := listenLoopback()
	l.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, l) }()
	return l
}

func listenLoopback() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun{err})
	}
	return listener
}

// put appends a record as operators and workers do.
func (l *platformLog) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(cannotRun{err})
	}
	l.append(topic+"/0", logRecord{key, data}, -1)
}

// remove deletes a key.
func (l *platformLog) remove(topic, key string) { l.append(topic+"/0", logRecord{key, nil}, -1) }

// append appends a record unless the topic does not end at the offset. A negative offset
// matches any end. It returns the end before the append.
func (l *platformLog) append(topic string, record logRecord, at int) (end int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end = len(l.topics[topic])
	if at >= 0 && at != end {
		return end, false
	}
	l.topics[topic] = append(l.topics[topic], record)
	close(l.changed)
	l.changed = make(chan struct{})
	return end, true
}

func (l *platformLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic") + "/" + query.Get("part")
	switch r.URL.Path {
	case "/quetzalgrade/log-newest":
		l.serveNewest(w, topic, query.Get("after"))
	case "/quetzalgrade/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		waitMs, _ := strconv.Atoi(query.Get("waitMs"))
		l.serveRead(w, r, topic, from, time.Duration(waitMs)*time.Millisecond)
	case "/quetzalgrade/log-append":
		l.serveAppend(w, r, topic, query.Get("at"))
	default:
		http.NotFound(w, r)
	}
}

// pageKeys is the number of keys in one page of the newest records.
const pageKeys = 500

func (l *platformLog) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	l.mu.Lock()
	newest := map[string]item{}
	for offset, record := range l.topics[topic] {
		newest[record.key] = item{record.key, base64.StdEncoding.EncodeToString(record.value), offset}
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	end := len(l.topics[topic])
	l.mu.Unlock()
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key > after {
			items = append(items, newest[key])
		}
	}
	hasMore := len(items) > pageKeys
	items = items[:min(len(items), pageKeys)]
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": hasMore, "end": end})
}

func (l *platformLog) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		records, changed := l.topics[topic], l.changed
		l.mu.Unlock()
		if from < len(records) || wait <= 0 {
			_, _ = w.Write(encodePage(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodePage encodes the end, the first retained offset, and the records from an offset on.
func encodePage(records []logRecord, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records[min(from, len(records)):] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
		data = append(data, byte(len(record.key)))
		data = append(data, record.key...)
		data = append(data, record.value...)
	}
	return data
}

func (l *platformLog) serveAppend(w http.ResponseWriter, r *http.Request, topic, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		http.Error(w, "invalid record", http.StatusBadRequest)
		return
	}
	record := body[4:]
	keyEnd := 1 + int(record[0])
	expected := -1
	if at != "" {
		expected, _ = strconv.Atoi(at)
	}
	end, ok := l.append(topic, logRecord{string(record[1:keyEnd]), record[keyEnd:]}, expected)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, end)
		return
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, end, end+1)
}
