//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// tokenBits is the size of a token's KV cache, in bits.
	tokenBits = 18432 * 8
	// maxTransferWait is the wait over which a transfer is not started, and missTime what a part
	// costs that is not there.
	maxTransferWait = 2 * time.Second
	missTime        = time.Millisecond
	// eventsLag is how late events are told.
	eventsLag = 60 * time.Millisecond
)

// partKey names a part under a cache salt.
type partKey struct{ salt, id string }

// part is a part of prompts that a holder keeps. Its fields are guarded by the holder's lock.
type part struct {
	key      partKey
	tokens   int
	complete bool
	freedAt  time.Time
	usedAt   time.Time
	// maker is the team whose request made the part, and version that of the weights.
	maker   string
	version int64
}

// holder keeps parts of prompts and tells of them: the memory of an engine, or a store.
type holder struct {
	record   *record
	name     string
	address  string
	zone     string
	model    string
	capacity int
	// linkMbps is the speed of the holder's link, and firstTime what each transfer waits.
	linkMbps  float64
	firstTime time.Duration
	// evicts is set if the least recently used parts yield.
	evicts bool
	born   time.Time

	mu      sync.Mutex
	parts   map[partKey]*part
	events  [][]any
	told    int
	changed chan struct{}
	// slow is how many times as long transfers take.
	slow float64
	// linkFree is when the link has carried all transfers that were started.
	linkFree time.Time
}

func (h *holder) init() {
	h.parts, h.changed, h.slow, h.born = map[partKey]*part{}, make(chan struct{}), 1, time.Now()
}

// tell adds an event, which callers see after eventsLag. The caller holds the lock.
func (h *holder) tell(sign string, key partKey, tokens int) {
	h.events = append(h.events, []any{len(h.events) + 1, sign, key.salt, key.id, tokens, h.model})
	time.AfterFunc(eventsLag, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.told++
		close(h.changed)
		h.changed = make(chan struct{})
	})
}

func (h *holder) used() int {
	n := 0
	for _, p := range h.parts {
		n += p.tokens
	}
	return n
}

// put keeps a part. It reports false if there is no room.
func (h *holder) put(p part) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.parts[p.key]; ok {
		return true
	}
	for h.used()+p.tokens > h.capacity {
		if !h.evicts || !h.evictOldest() {
			return false
		}
	}
	p.complete, p.usedAt = true, time.Now()
	h.parts[p.key] = &p
	h.tell("+", p.key, p.tokens)
	return true
}

func (h *holder) evictOldest() bool {
	var oldest *part
	for _, p := range h.parts {
		if oldest == nil || p.usedAt.Before(oldest.usedAt) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	h.remove(oldest)
	return true
}

// remove removes a part. The caller holds the lock.
func (h *holder) remove(p *part) {
	p.freedAt = time.Now()
	delete(h.parts, p.key)
	h.tell("-", p.key, 0)
}

// take returns a part that is kept, for the holder's own use.
func (h *holder) take(key partKey) (part, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.parts[key]
	if !ok {
		return part{}, false
	}
	p.usedAt = time.Now()
	return *p, true
}

// clear removes all parts.
func (h *holder) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.parts {
		h.remove(p)
	}
}

func (h *holder) setSlow(x float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow = x
}

// transfer is the fetch of a part by an engine. until is zero if the request named no limit.
type transfer struct {
	request string
	zone    string
	until   time.Time
}

// fetch transfers a part to an engine. It returns false if the part is not there, or if the fetch
// is not started or is thrown away. The link carries one transfer at a time.
func (h *holder) fetch(key partKey, t transfer) (part, bool) {
	h.mu.Lock()
	p, ok := h.parts[key]
	if !ok {
		h.mu.Unlock()
		time.Sleep(missTime)
		return part{}, false
	}
	seconds := float64(p.tokens) * tokenBits / (h.linkMbps * 1e6)
	if t.zone != h.zone {
		seconds *= 2
	}
	now := time.Now()
	begin := now
	if h.linkFree.After(begin) {
		begin = h.linkFree
	}
	if begin.Sub(now) > maxTransferWait {
		h.mu.Unlock()
		return part{}, false
	}
	duration := h.firstTime + time.Duration(seconds*h.slow*float64(time.Second))
	if !t.until.IsZero() && begin.Add(duration).After(t.until) {
		// It is thrown away at the limit, and takes the link no longer.
		if t.until.After(begin) {
			h.linkFree = t.until
		}
		h.mu.Unlock()
		time.Sleep(time.Until(t.until))
		return part{}, false
	}
	h.linkFree = begin.Add(duration)
	h.mu.Unlock()
	time.Sleep(time.Until(begin))
	h.mu.Lock()
	gone := !p.freedAt.IsZero()
	h.mu.Unlock()
	if gone {
		time.Sleep(missTime)
		return part{}, false
	}
	time.Sleep(time.Until(begin.Add(duration)))
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.freedAt.IsZero() && !h.evicts {
		h.record.violation("MIXED request %s takes part %s of salt %s from %s, which was freed %d ms before the fetch ended; the fetch took %d ms, and was asked for %d ms before the part was freed; limit of the request: %s",
			t.request, key.id, key.salt, h.name, time.Since(p.freedAt).Milliseconds(), duration.Milliseconds(), p.freedAt.Sub(now).Milliseconds(), limitText(t.until))
	}
	return *p, true
}

func limitText(until time.Time) string {
	if until.IsZero() {
		return "none"
	}
	return until.Format(time.RFC3339Nano)
}

// serve answers the calls of nodes that concern parts. It reports false for other calls.
func (h *holder) serve(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/kv-events":
		h.serveEvents(w, r)
	case "/kv-list":
		h.serveList(w)
	case "/kv-free":
		h.serveFree(w, r)
	default:
		return false
	}
	return true
}

func (h *holder) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(min(wait, 1000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		h.mu.Lock()
		told, changed := h.told, h.changed
		events := h.events[min(since, told):told]
		h.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{
				"BootEpoch": h.born.UnixMilli(), "Next": max(since, told), "Lost": false, "Events": append([][]any{}, events...),
				"clock_ms": float64(time.Now().UnixMicro()) / 1000, "born": h.born.UnixMilli(),
			})
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

func (h *holder) serveList(w http.ResponseWriter) {
	h.mu.Lock()
	held := [][]any{}
	for _, p := range h.parts {
		held = append(held, []any{p.key.salt, p.key.id, p.tokens, h.model})
	}
	next := len(h.events)
	h.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"BootEpoch": h.born.UnixMilli(), "Next": next, "Held": held, "Partial": [][]any{}, "born": h.born.UnixMilli(),
	})
}

func (h *holder) serveFree(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Parts [][2]string `json:"parts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	for _, row := range body.Parts {
		if p, ok := h.parts[partKey{row[0], row[1]}]; ok {
			h.remove(p)
		}
	}
	h.mu.Unlock()
	h.record.note("%s frees %d parts for %s", h.name, len(body.Parts), r.RemoteAddr)
	reply(w, http.StatusOK, map[string]any{})
}
