// Package ticketer lets a request run at most once without the claim log. A
// ticket names the process that issued it, and only that process redeems it,
// based on its own memory.
//
// Once the issuing process has ended, its tickets can't be redeemed any more.
// Tickets are for outages of the claim log, during which idempotency keys can't
// be claimed.
//
// # Usage
//
//	t := &ticketer.Ticketer{Node: name, ProcessID: random, Key: key, Expiry: time.Hour, Now: time.Now}
//	ticket, err := t.Issue("members")
//	redemption, err := t.Redeem(ticket, "members", digest)
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
	// ErrForged marks a ticket that no node issued to the team.
	ErrForged = errors.New("ticket was not issued to this team")
	// ErrOtherProcess marks a ticket that another process issued.
	ErrOtherProcess = errors.New("ticket belongs to another process")
	// ErrExpired marks a ticket that is older than Expiry. A request may have run
	// under it before.
	ErrExpired = errors.New("ticket has expired")
	// ErrFull is returned when the process already keeps the maximum number of
	// tickets. Tickets are kept until they expire, even if their request has
	// finished.
	ErrFull = errors.New("too many tickets are open")
)

const (
	macBytes = 16
	// maxTickets limits the tickets that a process keeps, to bound its memory.
	maxTickets = 100_000
)

// State is the state of a ticket when it is redeemed.
type State int

// The values of State.
const (
	// StateWon allows the caller of Redeem to run the request.
	StateWon State = iota
	// StateRunning means that a request is running under the ticket, or ran and
	// its answer is unknown.
	StateRunning
	// StateDone means that the request ran and its answer is stored.
	StateDone
	// StateMismatch means that the ticket was redeemed for a different request.
	StateMismatch
)

// Redemption is the result of Redeem. Answer is set only in StateDone.
type Redemption struct {
	State  State
	Answer *indexer.Answer
}

type ticketRecord struct {
	issued time.Time
	used   bool
	digest indexer.Digest
	answer *indexer.Answer
}

// Ticketer issues and redeems the tickets of one process. Its exported fields are
// set before use, and it is safe for concurrent use.
type Ticketer struct {
	Node string
	// ProcessID is a random ID of this process.
	ProcessID uint64
	// Key is the HMAC key that all nodes share.
	Key []byte
	// Expiry is the time after which a ticket expires.
	Expiry time.Duration
	Now    func() time.Time

	mu         sync.Mutex
	counter    uint64
	tickets    map[string]*ticketRecord
	issueOrder []string
}

// Issue returns a new ticket for a team. It returns ErrFull if too many tickets
// are kept.
func (t *Ticketer) Issue(team string) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if len(t.tickets) >= maxTickets {
		return "", ErrFull
	}
	t.counter++
	name := fmt.Sprintf("%s.%016x.%x", t.Node, t.ProcessID, t.counter)
	ticket := name + "." + t.sign(team, name)
	if t.tickets == nil {
		t.tickets = map[string]*ticketRecord{}
	}
	t.tickets[ticket] = &ticketRecord{issued: t.Now()}
	t.issueOrder = append(t.issueOrder, ticket)
	return ticket, nil
}

func (t *Ticketer) sign(team, name string) string {
	mac := hmac.New(sha256.New, t.Key)
	sum := sha256.Sum256([]byte(team))
	mac.Write([]byte("ticket"))
	mac.Write(sum[:])
	mac.Write([]byte(name))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}

// expire removes the tickets that are older than Expiry. The caller holds the
// lock.
func (t *Ticketer) expire() {
	for len(t.issueOrder) > 0 && t.Now().Sub(t.tickets[t.issueOrder[0]].issued) >= t.Expiry {
		delete(t.tickets, t.issueOrder[0])
		t.issueOrder = t.issueOrder[1:]
	}
}

// Issuer returns the name of the node that issued a ticket to a team. It returns
// ErrForged for an invalid ticket. For a ticket of another process it returns
// ErrOtherProcess together with the name.
func (t *Ticketer) Issuer(ticket, team string) (string, error) {
	separator := strings.LastIndexByte(ticket, '.')
	if separator < 0 || !hmac.Equal([]byte(ticket[separator+1:]), []byte(t.sign(team, ticket[:separator]))) {
		return "", ErrForged
	}
	parts := strings.Split(ticket[:separator], ".")
	if len(parts) < 3 {
		return "", ErrForged
	}
	node := strings.Join(parts[:len(parts)-2], ".")
	if node != t.Node || parts[len(parts)-2] != fmt.Sprintf("%016x", t.ProcessID) {
		return node, ErrOtherProcess
	}
	return node, nil
}

// Redeem redeems a ticket for a request. Only one call per ticket returns
// StateWon, unless Release makes the ticket usable again.
func (t *Ticketer) Redeem(ticket, team string, digest indexer.Digest) (Redemption, error) {
	if _, err := t.Issuer(ticket, team); err != nil {
		return Redemption{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	record, ok := t.tickets[ticket]
	switch {
	case !ok:
		return Redemption{}, ErrExpired
	case !record.used:
		record.used = true
		record.digest = digest
		return Redemption{State: StateWon}, nil
	case record.digest != digest:
		return Redemption{State: StateMismatch}, nil
	case record.answer != nil:
		return Redemption{State: StateDone, Answer: record.answer}, nil
	default:
		return Redemption{State: StateRunning}, nil
	}
}

// Finish stores the answer of a request that ran, for replays.
func (t *Ticketer) Finish(ticket string, answer indexer.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record, ok := t.tickets[ticket]; ok {
		record.answer = &answer
	}
}

// Release makes a ticket usable again. It is called only if the request was
// certainly not sent.
func (t *Ticketer) Release(ticket string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record, ok := t.tickets[ticket]; ok {
		record.used = false
	}
}
