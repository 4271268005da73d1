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

// cache is an LRU of block names.
type cache struct {
	capacity  int
	dropEvery int
	order     *list.List
	blocks    map[string]*list.Element
	events    []cacheEvent
	sequence  uint64
}

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
	keptEvents   = 4096
)

func newCache(capacity, dropEvery int) *cache {
	return &cache{capacity: capacity, dropEvery: dropEvery, order: list.New(), blocks: map[string]*list.Element{}}
}

// prefix returns the number of leading blocks that are cached.
func (c *cache) prefix(blocks []string) int {
	n := 0
	for _, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		n++
	}
	return n
}

// insert caches a chain; its tail counts as the oldest part.
func (c *cache) insert(blocks []string) {
	for _, block := range slices.Backward(blocks) {
		element, ok := c.blocks[block]
		if ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.record(eventStored, block)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		block, _ := c.order.Remove(oldest).(string)
		delete(c.blocks, block)
		c.record(eventEvicted, block)
	}
}

func (c *cache) has(block string) bool {
	_, ok := c.blocks[block]
	return ok
}

func (c *cache) clear() {
	c.order.Init()
	clear(c.blocks)
	c.record(eventCleared, "")
}

func (c *cache) record(kind, block string) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Type: kind, Block: block, at: time.Now()})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

type eventsReply struct {
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := eventsReply{Next: from, Events: []cacheEvent{}}
	for _, event := range s.cache.events {
		if event.Sequence < from || time.Since(event.at) < s.ReportLag {
			continue
		}
		reply.Events = append(reply.Events, event)
		reply.Next = event.Sequence + 1
	}
	replier.JSON(w, http.StatusOK, reply)
}

// prefillQueue lets one request prefill at a time, lowest priority number first.
type prefillQueue struct {
	mu      sync.Mutex
	busy    bool
	waiting []*prefillTicket
}

type prefillTicket struct {
	priority int
	turn     chan struct{}
}

func (q *prefillQueue) lock(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if !q.busy {
		q.busy = true
		q.mu.Unlock()
		return true
	}
	ticket := &prefillTicket{priority: priority, turn: make(chan struct{})}
	q.waiting = append(q.waiting, ticket)
	slices.SortStableFunc(q.waiting, func(a, b *prefillTicket) int { return a.priority - b.priority })
	q.mu.Unlock()
	select {
	case <-ticket.turn:
		return true
	case <-ctx.Done():
		q.drop(ticket)
		return false
	}
}

func (q *prefillQueue) drop(ticket *prefillTicket) {
	q.mu.Lock()
	i := slices.Index(q.waiting, ticket)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	q.mu.Unlock()
	if i < 0 {
		q.unlock()
	}
}

func (q *prefillQueue) unlock() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(first.turn)
}
