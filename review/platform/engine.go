//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// prefillRate is the number of prompt tokens that an engine reads in a millisecond.
	prefillRate = 56.9
	// stepTime is the time for a token of an answer, and tokensPerEvent their number in an event.
	stepTime       = 4 * time.Millisecond
	tokensPerEvent = 6
	// loadTime is how long an engine takes to load new weights.
	loadTime = 760 * time.Millisecond
	// reportLag is how old a report of an engine is.
	reportLag = 100 * time.Millisecond
)

// engine is a model worker.
type engine struct {
	holder
	site    *site
	id      string
	service string
	slots   chan struct{}
	// reading is held while tokens are prefilled.
	reading sync.Mutex

	state    sync.Mutex
	version  int64
	loading  bool
	sequence int64
	active   int
	renewals int64
}

// entry returns the engine's entry in the directory.
func (e *engine) entry() map[string]any {
	e.state.Lock()
	defer e.state.Unlock()
	e.renewals++
	return map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": cap(e.slots), "State": "ready",
		"ColdRemainingMs": 0, "Stage": "colocated", "Sequence": e.renewals, "born": e.born.UnixMilli(),
		"Models": []map[string]any{{"Name": e.model, "Version": e.version, "Adapters": []string{}}},
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case e.serve(w, r):
	case r.URL.Path == "/report":
		e.serveReport(w)
	case r.URL.Path == "/order":
		e.serveOrder(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.state.Lock()
	body := map[string]any{
		"Stage": "colocated", "Busy": e.loading, "Sequence": e.sequence, "Queued": 0, "Active": e.active, "born": e.born.UnixMilli(),
		"Models": []map[string]any{{"Name": e.model, "Version": e.version, "Adapters": []string{}}}, "KvTotal": e.capacity,
		"clock_ms": float64(time.Now().UnixMicro()) / 1000,
	}
	e.state.Unlock()
	time.Sleep(reportLag)
	reply(w, http.StatusOK, body)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string
		Model        string
		Version      int64
		Holder       string
		FencingToken int64
		Precondition *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.Op != "Version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.state.Lock()
	defer e.state.Unlock()
	switch {
	case e.version >= order.Version:
		w.WriteHeader(http.StatusOK)
		return
	case e.loading, order.Precondition != nil && *order.Precondition != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.loading = true
	e.sequence++
	e.record.note("%s takes the order to load version %d from %s", e.id, order.Version, order.Holder)
	time.AfterFunc(loadTime, func() {
		e.clear()
		e.state.Lock()
		e.version, e.loading = order.Version, false
		e.state.Unlock()
		e.record.note("%s has version %d", e.id, order.Version)
		e.site.announce(e)
	})
	w.WriteHeader(http.StatusAccepted)
}

// refuse answers a request that is not run.
func refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// begin takes a slot for a request. It returns a status other than 0 if the request is not run.
func (e *engine) begin(r *http.Request) (version int64, status int) {
	e.state.Lock()
	defer e.state.Unlock()
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.FormatInt(e.version, 10) {
		return e.version, http.StatusMisdirectedRequest
	}
	if e.loading {
		return e.version, http.StatusServiceUnavailable
	}
	select {
	case e.slots <- struct{}{}:
	default:
		return e.version, http.StatusServiceUnavailable
	}
	e.active++
	return e.version, 0
}

func (e *engine) end() {
	<-e.slots
	e.state.Lock()
	defer e.state.Unlock()
	e.active--
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	version, status := e.begin(r)
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	if status != 0 {
		refuse(w, r, status)
		return
	}
	defer e.end()
	e.read(r, version)
	_, wanted, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(wanted)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "1."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(e.slots), cap(e.slots)))
	control := http.NewResponseController(w)
	for event := 1; event <= max((tokens+tokensPerEvent-1)/tokensPerEvent, 1); event++ {
		time.Sleep(tokensPerEvent * stepTime)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", event); err != nil {
			return
		}
		_ = control.Flush()
	}
}

// read reads a prompt: it uses the parts in the engine's memory, fetches others if the request
// says from where, and prefills the rest, which it keeps, and saves if the request says where.
func (e *engine) read(r *http.Request, version int64) {
	id, salt, team := r.Header.Get("Attempt-Id"), r.Header.Get("Cache-Salt"), r.Header.Get("Tenant")
	until := time.Time{}
	if ms, err := strconv.ParseInt(r.Header.Get("Kv-Until"), 10, 64); err == nil {
		until = time.UnixMilli(ms)
	}
	sources, targets := addresses(r.Header.Get("Kv-Fetch")), addresses(r.Header.Get("Kv-Save"))
	e.record.note("%s runs %s of team %s on version %d: parts %s, salt %s, fetch %s, save %s, until %s", e.id, id, team, version,
		r.Header.Get("Prompt-Prefix"), salt, r.Header.Get("Kv-Fetch"), r.Header.Get("Kv-Save"), r.Header.Get("Kv-Until"))
	cached := true
	for i, entry := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		name, size, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(size)
		key := partKey{salt, name}
		var p part
		if cached {
			p, cached = e.find(key, at(sources, i), transfer{request: id, zone: e.zone, until: until})
		}
		if cached {
			e.use(id, team, version, p)
		} else {
			e.prefill(tokens)
			p = part{key: key, tokens: tokens, maker: team, version: version}
		}
		e.put(p)
		if target := e.site.holders[at(targets, i)]; target != nil {
			saved := p
			go func() {
				if !target.put(saved) {
					e.record.note("%s has no room for part %s", target.name, name)
				}
			}()
		}
	}
}

// prefill reads tokens. The requests at an engine take turns.
func (e *engine) prefill(tokens int) {
	e.reading.Lock()
	defer e.reading.Unlock()
	time.Sleep(time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond)))
}

// find returns a part from the engine's memory, or from where the request says.
func (e *engine) find(key partKey, source string, t transfer) (part, bool) {
	if p, ok := e.take(key); ok {
		return p, true
	}
	if from := e.site.holders[source]; from != nil && from != &e.holder {
		return from.fetch(key, t)
	}
	return part{}, false
}

// use judges the use of a part that an earlier request has made.
func (e *engine) use(id, team string, version int64, p part) {
	if p.version != version {
		e.record.violation("STALE request %s runs at %s on version %d with part %s of version %d", id, e.id, version, p.key.id, p.version)
	}
	if team != p.maker && (e.site.isolated(team) || e.site.isolated(p.maker)) {
		e.record.violation("WALL request %s of team %s uses part %s at %s, which a request of team %s made; isolated: %s %t, %s %t",
			id, team, p.key.id, e.id, p.maker, team, e.site.isolated(team), p.maker, e.site.isolated(p.maker))
	}
}

// addresses splits a list of addresses.
func addresses(list string) []string { return strings.Split(list, ",") }

// at returns an element of a list, or "" beyond its end.
func at(list []string, i int) string {
	if i < len(list) {
		return strings.TrimSpace(list[i])
	}
	return ""
}
