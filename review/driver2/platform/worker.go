//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/logkeeper"
)

const (
	plainSlots = 6
	plainWork  = 60 * time.Millisecond
)

// arrival is a request that reached a worker.
type arrival struct {
	id    string
	at    time.Time
	whole bool
}

// worker is a worker of a plain service. It runs each order for plainWork.
type worker struct {
	site    *site
	id      string
	service string
	zone    string
	address netip.AddrPort
	born    int64
	server  *http.Server
	slots   chan struct{}

	mu       sync.Mutex
	beats    int
	draining bool
	gone     bool
	arrivals []arrival
}

func (s *site) addWorker(ctx context.Context, service, zone string) (*worker, error) {
	w := &worker{site: s, service: service, zone: zone, born: time.Now().UnixMilli(), slots: make(chan struct{}, plainSlots)}
	w.id = fmt.Sprintf("i-%08x", w.born+int64(s.hosts))
	var err error
	if w.address, w.server, err = s.serve(ctx, w); err != nil {
		return nil, err
	}
	go func() {
		for ctx.Err() == nil {
			w.beat()
			time.Sleep(heartbeat)
		}
	}()
	return w, nil
}

// beat writes the entry of the worker, unless it has left.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.site.store.Put(logkeeper.EndpointTopic, w.id, w.entry())
}

// entry returns the next entry of the worker. The caller holds the lock.
func (w *worker) entry() []byte {
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address.String(), "Zone": w.zone, "Version": "v1", "Slots": plainSlots, "State": state, "ColdRemainingMs": 0,
		"Sequence": w.beats, "born": w.born,
	})
	return entry
}

// lateBeat writes an entry to which the store gives no answer and that it carries out late.
func (w *worker) lateBeat(late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.entry()
	w.site.record.printf("worker %s writes its entry %d (ready); the store gives no answer", w.id, w.beats)
	n := w.beats
	time.AfterFunc(late, func() {
		w.site.store.Put(logkeeper.EndpointTopic, w.id, entry)
		w.site.record.printf("the store carries out the write of entry %d (ready) of worker %s, %s late", n, w.id, late)
	})
}

// drain reports draining. It returns when the store has accepted that.
func (w *worker) drain() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
	w.site.store.Put(logkeeper.EndpointTopic, w.id, w.entry())
	w.site.record.printf("worker %s reports draining with entry %d; the store has accepted that", w.id, w.beats)
	return time.Now()
}

// partialEntry writes an entry under the worker's key as another writer does: it has some of the
// fields only, and names another service.
func (w *worker) partialEntry(service string) {
	entry, _ := json.Marshal(map[string]any{"Service": service, "Address": w.address.String(), "State": "ready"})
	w.site.store.Put(logkeeper.EndpointTopic, w.id, entry)
	w.site.record.printf("another writer writes servers/%s: %s", w.id, entry)
}

// leave removes the worker's entry, as one that never reports draining. It returns when the store
// has accepted that.
func (w *worker) leave() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.site.store.Put(logkeeper.EndpointTopic, w.id, nil)
	w.site.record.printf("worker %s removes its entry; the store has accepted that", w.id)
	return time.Now()
}

// exit ends the worker's process.
func (w *worker) exit() {
	w.site.record.printf("worker %s exits", w.id)
	_ = w.server.Close()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	n := len(w.arrivals)
	w.arrivals = append(w.arrivals, arrival{id: id, at: time.Now()})
	w.mu.Unlock()
	w.site.record.printf("request %s reaches worker %s of %s", id, w.id, w.service)
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(w.slots), plainSlots))
	select {
	case <-time.After(plainWork):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("Response-Seal", "seal-"+id)
	if _, err := io.WriteString(out, "done "+id); err == nil {
		w.mu.Lock()
		w.arrivals[n].whole = true
		w.mu.Unlock()
	}
}
