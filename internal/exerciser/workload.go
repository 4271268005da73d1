package exerciser

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

// ErrUnknownWorkload marks a name that no workload is registered under.
var ErrUnknownWorkload = errors.New("unknown workload")

// Class is a kind of request.
type Class string

// The classes of requests.
const (
	ClassFirst  Class = "first visit"
	ClassReturn Class = "return"
	ClassLookup Class = "lookup"
	ClassOrder  Class = "order"
	ClassBulk   Class = "bulk"
)

// Arrival is one request of a workload.
type Arrival struct {
	At    time.Duration
	Class Class
	// Messages and Tokens are set for prompts.
	Messages []json.RawMessage
	Tokens   int
	// Order is set for orders and lookups.
	Order string
	// Team is the index of the sending team.
	Team int
}

// Shape describes a workload; rates are per second.
type Shape struct {
	// Prompts is the rate of prompts, of which each belongs to one of
	// Conversations.
	Prompts       float64
	Conversations int
	// MinBlocks and MaxBlocks bound the length of a conversation's document.
	MinBlocks int
	MaxBlocks int
	// SharedBlocks is the length of a start common to all of a team's prompts.
	SharedBlocks int
	// Tokens is the length of an answer.
	Tokens  int
	Lookups float64
	Orders  float64
	Bulk    float64
}

var shapes = map[string]Shape{
	// The co-operative: long photo dossiers to which members return.
	"cooperative": {Prompts: 6, Conversations: 48, MinBlocks: 8, MaxBlocks: 24, Tokens: 24, Lookups: 5, Orders: 2},
	// Suurdeeg: short chats over a shared house guide, lookups, orders, tagging.
	"suurdeeg": {Prompts: 10, Conversations: 120, MinBlocks: 1, MaxBlocks: 4, SharedBlocks: 10, Tokens: 24, Lookups: 30, Orders: 5, Bulk: 2},
}

// GetShape returns the workload registered under name.
func GetShape(name string) (Shape, error) {
	shape, ok := shapes[name]
	if !ok {
		return Shape{}, errors.Wrapf(ErrUnknownWorkload, "%q", name)
	}
	return shape, nil
}

// Scale returns the shape with all rates multiplied.
func (s Shape) Scale(factor float64) Shape {
	s.Prompts *= factor
	s.Lookups *= factor
	s.Orders *= factor
	s.Bulk *= factor
	return s
}

// Arrivals returns the requests of a time span, ordered by arrival. The same
// seed gives the same requests.
func (s Shape) Arrivals(seed uint64, span time.Duration) []Arrival {
	source := rand.New(rand.NewPCG(seed, 1))
	var arrivals []Arrival
	arrivals = append(arrivals, s.prompts(source, span)...)
	for i, at := range poisson(source, s.Lookups, span) {
		arrivals = append(arrivals, Arrival{At: at, Class: ClassLookup, Order: fmt.Sprintf("order-%d", i), Team: i % 2})
	}
	for i, at := range poisson(source, s.Orders, span) {
		arrivals = append(arrivals, Arrival{At: at, Class: ClassOrder, Order: fmt.Sprintf("order-%d", i), Team: i % 2})
	}
	for i, at := range poisson(source, s.Bulk, span) {
		messages := []json.RawMessage{message("user", filler(fmt.Sprintf("tag review %d. ", i), 2))}
		arrivals = append(arrivals, Arrival{At: at, Class: ClassBulk, Messages: messages, Tokens: 8, Team: i % 2})
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// prompts draws conversations at random, so that each returns after a gap that
// is long beside the time in which the others fill the engines' memory.
func (s Shape) prompts(source *rand.Rand, span time.Duration) []Arrival {
	turns := make([]int, s.Conversations)
	blocks := make([]int, s.Conversations)
	for i := range blocks {
		blocks[i] = s.MinBlocks + source.IntN(s.MaxBlocks-s.MinBlocks+1)
	}
	var arrivals []Arrival
	for _, at := range poisson(source, s.Prompts, span) {
		conversation := source.IntN(s.Conversations)
		turns[conversation]++
		class := ClassReturn
		if turns[conversation] == 1 {
			class = ClassFirst
		}
		arrivals = append(arrivals, Arrival{
			At:       at,
			Class:    class,
			Messages: s.conversation(conversation, blocks[conversation], turns[conversation]),
			Tokens:   s.Tokens,
			Team:     conversation % 2,
		})
	}
	return arrivals
}

func (s Shape) conversation(number, blocks, turns int) []json.RawMessage {
	var messages []json.RawMessage
	if s.SharedBlocks > 0 {
		messages = append(messages, message("system", filler("House guide: feed the starter at noon. ", s.SharedBlocks)))
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

// filler returns text of a number of cache blocks.
func filler(line string, blocks int) string {
	size := blocks * generator.BlockTokens * generator.TokenBytes
	return strings.Repeat(line, size/len(line)+1)
}

func poisson(source *rand.Rand, rate float64, span time.Duration) []time.Duration {
	var times []time.Duration
	if rate <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(source.ExpFloat64() / rate * float64(time.Second))
		if at >= span {
			return times
		}
		times = append(times, at)
	}
}
