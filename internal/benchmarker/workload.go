package benchmarker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
)

// ErrUnknownWorkload means that no workload has the given name.
var ErrUnknownWorkload = errors.New("unknown workload")

// Class is the class of a request, by which the report groups results.
type Class string

// The classes of requests: ClassFirst is the first prompt of a conversation,
// ClassReturn a later one, ClassBulk a prompt of low priority. ClassLookup and
// ClassOrder are calls of the plain service.
const (
	ClassFirst  Class = "first visit"
	ClassReturn Class = "return"
	ClassLookup Class = "lookup"
	ClassOrder  Class = "order"
	ClassBulk   Class = "bulk"
)

// Arrival is one request of a workload, sent at time At after the start.
type Arrival struct {
	At    time.Duration
	Class Class
	// Messages and Tokens are set for prompts.
	Messages []json.RawMessage
	Tokens   int
	// Order is set for orders and lookups.
	Order string
	// Team is the index of the sending team: 0 or 1.
	Team int
}

// Workload describes a workload; rates are per second.
type Workload struct {
	// PromptRate is the rate of prompts. Each belongs to one of Conversations, chosen
	// at random.
	PromptRate    float64
	Conversations int
	// MinBlocks and MaxBlocks are the limits on the length of the document of a
	// conversation, in cache blocks.
	MinBlocks int
	MaxBlocks int
	// SharedBlocks is the length of a prefix that all conversations share, in cache
	// blocks.
	SharedBlocks int
	// Tokens is the length of an answer in tokens.
	Tokens     int
	LookupRate float64
	OrderRate  float64
	BulkRate   float64
}

var workloads = map[string]Workload{
	// The co-operative: long photo dossiers to which members return.
	"cooperative": {PromptRate: 6, Conversations: 48, MinBlocks: 8, MaxBlocks: 24, Tokens: 24, LookupRate: 5, OrderRate: 2},
	// Suurdeeg: short chats over a shared house guide, lookups, orders, tagging.
	"suurdeeg": {PromptRate: 10, Conversations: 120, MinBlocks: 1, MaxBlocks: 4, SharedBlocks: 10, Tokens: 24, LookupRate: 30, OrderRate: 5, BulkRate: 2},
}

// GetWorkload returns the workload of the given name.
func GetWorkload(name string) (Workload, error) {
	workload, ok := workloads[name]
	if !ok {
		return Workload{}, errors.Wrapf(ErrUnknownWorkload, "%q", name)
	}
	return workload, nil
}

// Scale returns the workload with all rates multiplied by factor.
func (w Workload) Scale(factor float64) Workload {
	w.PromptRate *= factor
	w.LookupRate *= factor
	w.OrderRate *= factor
	w.BulkRate *= factor
	return w
}

// Arrivals returns the requests of a time span, ordered by arrival. The same
// seed gives the same requests.
func (w Workload) Arrivals(seed uint64, span time.Duration) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var arrivals []Arrival
	arrivals = append(arrivals, w.promptArrivals(rng, span)...)
	for i, at := range poisson(rng, w.LookupRate, span) {
		arrivals = append(arrivals, Arrival{At: at, Class: ClassLookup, Order: fmt.Sprintf("order-%d", i), Team: i % 2})
	}
	for i, at := range poisson(rng, w.OrderRate, span) {
		arrivals = append(arrivals, Arrival{At: at, Class: ClassOrder, Order: fmt.Sprintf("order-%d", i), Team: i % 2})
	}
	for i, at := range poisson(rng, w.BulkRate, span) {
		messages := []json.RawMessage{message("user", filler(fmt.Sprintf("tag review %d. ", i), 2))}
		arrivals = append(arrivals, Arrival{At: at, Class: ClassBulk, Messages: messages, Tokens: 8, Team: i % 2})
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// promptArrivals draws the conversation of each prompt at random. Between two prompts
// of a conversation the others usually fill the engines' caches, so that its blocks
// have been evicted.
func (w Workload) promptArrivals(rng *rand.Rand, span time.Duration) []Arrival {
	turns := make([]int, w.Conversations)
	blocks := make([]int, w.Conversations)
	for i := range blocks {
		blocks[i] = w.MinBlocks + rng.IntN(w.MaxBlocks-w.MinBlocks+1)
	}
	var arrivals []Arrival
	for _, at := range poisson(rng, w.PromptRate, span) {
		conversation := rng.IntN(w.Conversations)
		turns[conversation]++
		class := ClassReturn
		if turns[conversation] == 1 {
			class = ClassFirst
		}
		arrivals = append(arrivals, Arrival{
			At:       at,
			Class:    class,
			Messages: w.conversation(conversation, blocks[conversation], turns[conversation]),
			Tokens:   w.Tokens,
			Team:     conversation % 2,
		})
	}
	return arrivals
}

func (w Workload) conversation(number, blocks, turns int) []json.RawMessage {
	var messages []json.RawMessage
	if w.SharedBlocks > 0 {
		messages = append(messages, message("system", filler("House guide: feed the starter at noon. ", w.SharedBlocks)))
	}
	messages = append(messages, message("user", filler(fmt.Sprintf("Dossier of sign %d, photographed by a member. ", number), blocks)))
	for turn := range turns {
		messages = append(messages, message("user", fmt.Sprintf("Question %d about %d?", turn, number)))
	}
	return messages
}

func message(role, content string) json.RawMessage {
	encoded, _ := json.Marshal(map[string]string{"role": role, "content": content})
	return encoded
}

// filler repeats a line to fill a number of cache blocks.
func filler(line string, blocks int) string {
	size := blocks * generator.BlockTokens * generator.TokenBytes
	return strings.Repeat(line, size/len(line)+1)
}

func poisson(rng *rand.Rand, rate float64, span time.Duration) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= span {
			return times
		}
		times = append(times, at)
	}
}
