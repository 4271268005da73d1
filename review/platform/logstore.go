//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// logStore is the platform's log store, as its pages describe it: topics of one partition, of
// which those whose names begin with "keyed." are compacted.
type logStore struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func newLogStore() *logStore {
	return &logStore{topics: map[string][][]byte{}, changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (l *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	topic := r.URL.Query().Get("Topic")
	switch r.URL.Path {
	case "/log-append":
		l.serveAppend(w, r, topic)
	case "/log-read":
		l.serveRead(w, r, topic)
	case "/log-newest":
		l.serveNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append appends records and returns the offset of the first and the end.
func (l *logStore) append(topic string, records ...[]byte) (first, end int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendLocked(topic, records)
}

func (l *logStore) appendLocked(topic string, records [][]byte) (first, end int) {
	first = len(l.topics[topic])
	l.topics[topic] = append(l.topics[topic], records...)
	close(l.changed)
	l.changed = make(chan struct{})
	return first, len(l.topics[topic])
}

// put writes a value of a key to a compacted topic.
func (l *logStore) put(topic, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	l.append(topic, append(append([]byte{byte(len(key))}, key...), raw...))
}

func (l *logStore) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if 4+n > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	l.mu.Lock()
	end := len(l.topics[topic])
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.Itoa(end) {
		l.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]int{"End": end})
		return
	}
	first, end := l.appendLocked(topic, records)
	l.mu.Unlock()
	reply(w, http.StatusOK, map[string]int{"Offset": first, "End": end})
}

func (l *logStore) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		l.mu.Lock()
		records, changed := l.topics[topic], l.changed
		l.mu.Unlock()
		if from > len(records) {
			reply(w, http.StatusGone, map[string]int{"First": 0})
			return
		}
		if from < len(records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[from:] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (l *logStore) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string
		Value  string
		Offset int
	}
	if !strings.HasPrefix(topic, "keyed.") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	records := l.topics[topic]
	l.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
	}
	items := make([]item, 0, len(newest))
	for _, one := range newest {
		items = append(items, one)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "Truncated": false, "End": len(records)})
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
