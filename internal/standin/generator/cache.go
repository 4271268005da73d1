package generator

import (
	"container/list"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

// cache is an LRU cache of block IDs. It records an event for each change. Every
// dropEvery-th event is dropped, but uses up a sequence number, so that readers see
// a gap.
type cache struct {
	capacity  int
	dropEvery int
	lru       *list.List
	blocks    map[string]*list.Element
	events    []cacheEvent
	sequence  uint64
}

// cacheEvent reports a change of the cache.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Type     string `json:"type"`
	Block    string `json:"block,omitempty"`
	at       time.Time
}

const (
	eventStored  = "stored"
	eventEvicted = "evicted"
	eventCleared = "cleared"
	maxEvents    = 4096
)

func newCache(capacity, dropEvery int) *cache {
	return &cache{capacity: capacity, dropEvery: dropEvery, lru: list.New(), blocks: map[string]*list.Element{}}
}

// prefixLength returns the number of leading blocks that are cached and marks them
// as recently used.
func (c *cache) prefixLength(blocks []string) int {
	n := 0
	for _, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		n++
	}
	return n
}

// insert caches a chain of blocks from its tail to its head, so that the tail is the
// least recently used and evicted first.
func (c *cache) insert(blocks []string) {
	for _, block := range slices.Backward(blocks) {
		element, ok := c.blocks[block]
		if ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.addEvent(eventStored, block)
	}
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		block, _ := c.lru.Remove(oldest).(string)
		delete(c.blocks, block)
		c.addEvent(eventEvicted, block)
	}
}

func (c *cache) contains(block string) bool {
	_, ok := c.blocks[block]
	return ok
}

func (c *cache) clear() {
	c.lru.Init()
	clear(c.blocks)
	c.addEvent(eventCleared, "")
}

func (c *cache) addEvent(kind, block string) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Type: kind, Block: block, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

type eventsResponse struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := eventsResponse{Next: from, Events: []cacheEvent{}}
	for _, event := range s.cache.events {
		if event.Sequence < from || time.Since(event.at) < s.ReportLag {
			continue
		}
		response.Events = append(response.Events, event)
		response.Next = event.Sequence + 1
	}
	replier.JSON(w, http.StatusOK, response)
}

// prefillQueue admits one request to prefill at a time. The lowest priority number
// goes first.
type prefillQueue struct {
	mu      sync.Mutex
	busy    bool
	waiting []*prefillWaiter
}

type prefillWaiter struct {
	priority int
	granted  chan struct{}
}

func (q *prefillQueue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if !q.busy {
		q.busy = true
		q.mu.Unlock()
		return true
	}
	waiter := &prefillWaiter{priority: priority, granted: make(chan struct{})}
	q.waiting = append(q.waiting, waiter)
	slices.SortStableFunc(q.waiting, func(a, b *prefillWaiter) int { return a.priority - b.priority })
	q.mu.Unlock()
	select {
	case <-waiter.granted:
		return true
	case <-ctx.Done():
		q.cancel(waiter)
		return false
	}
}

func (q *prefillQueue) cancel(waiter *prefillWaiter) {
	q.mu.Lock()
	i := slices.Index(q.waiting, waiter)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.mu.Unlock()
	if i < 0 {
		// The queue admitted the waiter meanwhile, so admit the next one.
		q.release()
	}
}

func (q *prefillQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(first.granted)
}
