// Package ticketer lets a request run at most once without the log: a ticket
// names the process that issued it, and only that process ever runs it, from
// its own memory.
//
// A ticket of a process that has ended never runs. Tickets are for outages of
// the log, when claims can't be settled.
//
// # Usage
//
//	t := &ticketer.Ticketer{Node: name, Process: random, Key: key, Window: time.Hour, Now: time.Now}
//	ticket := t.Issue("members")
//	entry, err := t.Begin(ticket, "members", digest)
package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// Sentinel errors.
var (
	// ErrForged marks a ticket that no node has issued to the team.
	ErrForged = errors.New("ticket was not issued to this team")
	// ErrElsewhere marks a ticket of another process.
	ErrElsewhere = errors.New("ticket belongs to another process")
	// ErrExpired marks a ticket that its process has forgotten; a request may
	// have run under it before.
	ErrExpired = errors.New("ticket has expired")
	// ErrFull is returned when too many tickets are open.
	ErrFull = errors.New("too many tickets are open")
)

const (
	codeBytes = 16
	// maxOpen bounds the tickets that a process keeps.
	maxOpen = 100_000
)

// State is what has become of a ticket.
type State int

// The states of a ticket.
const (
	// StateWon lets the caller of Begin run the request.
	StateWon State = iota
	// StateRunning means that a request runs, or ran without an answer.
	StateRunning
	// StateDone means that there is an answer.
	StateDone
	// StateMismatch means that the ticket was used for another request.
	StateMismatch
)

// Entry is the outcome of Begin.
type Entry struct {
	State  State
	Answer *indexer.Answer
}

type held struct {
	issued time.Time
	used   bool
	digest indexer.Digest
	answer *indexer.Answer
}

// Ticketer issues and redeems one process's tickets. Its exported fields are
// set before use, and it is safe for concurrent use.
type Ticketer struct {
	Node string
	// Process is random per process.
	Process uint64
	// Key is shared by all nodes.
	Key []byte
	// Window is the time for which a ticket is remembered.
	Window time.Duration
	Now    func() time.Time

	mu      sync.Mutex
	counter uint64
	tickets map[string]*held
	order   []string
}

// Issue returns a new ticket for a team. It returns ErrFull when too many are
// open.
func (t *Ticketer) Issue(team string) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if len(t.tickets) >= maxOpen {
		return "", ErrFull
	}
	t.counter++
	name := fmt.Sprintf("%s.%016x.%x", t.Node, t.Process, t.counter)
	ticket := name + "." + t.code(team, name)
	if t.tickets == nil {
		t.tickets = map[string]*held{}
	}
	t.tickets[ticket] = &held{issued: t.Now()}
	t.order = append(t.order, ticket)
	return ticket, nil
}

func (t *Ticketer) code(team, name string) string {
	mac := hmac.New(sha256.New, t.Key)
	sum := sha256.Sum256([]byte(team))
	mac.Write([]byte("ticket"))
	mac.Write(sum[:])
	mac.Write([]byte(name))
	return hex.EncodeToString(mac.Sum(nil)[:codeBytes])
}

// expire forgets the oldest tickets; the caller holds the lock.
func (t *Ticketer) expire() {
	for len(t.order) > 0 && t.Now().Sub(t.tickets[t.order[0]].issued) >= t.Window {
		delete(t.tickets, t.order[0])
		t.order = t.order[1:]
	}
}

// Issuer returns the name of the node that issued a ticket to a team. It returns
// ErrForged, and ErrElsewhere beside the name when the process is another one.
func (t *Ticketer) Issuer(ticket, team string) (string, error) {
	at := strings.LastIndexByte(ticket, '.')
	if at < 0 || !hmac.Equal([]byte(ticket[at+1:]), []byte(t.code(team, ticket[:at]))) {
		return "", ErrForged
	}
	parts := strings.Split(ticket[:at], ".")
	if len(parts) < 3 {
		return "", ErrForged
	}
	node := strings.Join(parts[:len(parts)-2], ".")
	if node != t.Node || parts[len(parts)-2] != fmt.Sprintf("%016x", t.Process) {
		return node, ErrElsewhere
	}
	return node, nil
}

// Begin redeems a ticket for a request. Only one call per ticket gets StateWon.
func (t *Ticketer) Begin(ticket, team string, digest indexer.Digest) (Entry, error) {
	if _, err := t.Issuer(ticket, team); err != nil {
		return Entry{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	found, ok := t.tickets[ticket]
	switch {
	case !ok:
		return Entry{}, ErrExpired
	case !found.used:
		found.used = true
		found.digest = digest
		return Entry{State: StateWon}, nil
	case found.digest != digest:
		return Entry{State: StateMismatch}, nil
	case found.answer != nil:
		return Entry{State: StateDone, Answer: found.answer}, nil
	default:
		return Entry{State: StateRunning}, nil
	}
}

// Finish keeps the answer of a request that ran.
func (t *Ticketer) Finish(ticket string, answer indexer.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, ok := t.tickets[ticket]; ok {
		found.answer = &answer
	}
}

// Release makes a ticket usable again after a request that provably never left.
func (t *Ticketer) Release(ticket string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, ok := t.tickets[ticket]; ok {
		found.used = false
	}
}
