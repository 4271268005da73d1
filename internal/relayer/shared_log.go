package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// peerWait is how long a read at a peer waits for new records. A silent peer is noticed
	// by its heartbeats, and the read is then cancelled.
	peerWait = 4 * time.Second
	// hubPause is the time between calls to the log of a hub that has lost contact with it and
	// follows it through a peer.
	hubPause = 1200 * time.Millisecond
	// directPause is the minimum time between calls to the log of a member whose hubs have no
	// contact with it; directJitter spreads these calls. Mostly the log is out of reach for
	// all then, and hundreds of members must not call it again and again.
	directPause  = 3 * time.Second
	directJitter = 3 * time.Second
	// freshAnswer is the age up to which a peer's answer is taken for fresh: the peer does not read
	// the log again within the pause that follows. hurriedPause is the pause after others.
	freshAnswer  = 400 * time.Millisecond
	hurriedPause = 100 * time.Millisecond
	// maxHurry bounds the time after a change of the source in which reads do not wait: the log
	// may be out of reach for the peer too.
	maxHurry = 2 * time.Second
	// nothingRead is the Batch.Since of a call that ended before it read anything.
	nothingRead = -time.Hour
)

// PeerLog reads a log through a peer.
type PeerLog interface {
	Newest(ctx context.Context, peer netip.AddrPort, topic string) (Batch, error)
	Read(ctx context.Context, peer netip.AddrPort, topic string, from Position, wait time.Duration) (Batch, error)
}

// SharedLog is a log that this node reads itself or follows through a peer, as Source
// says. It implements KeyedLog. Its exported fields are set before use.
type SharedLog struct {
	Topic  string
	Direct KeyedLog
	Peer   PeerLog
	// Source returns the peer to follow the log through, if any, and a channel that is
	// closed when that may have changed.
	Source func() (netip.AddrPort, bool, <-chan struct{})
	// IsHub reports whether this node should have contact with the log itself.
	IsHub func() bool
	// RecordLogContact is called after each successful call to the log, and RecordFed after
	// each to a peer.
	RecordLogContact func()
	RecordFed        func()
	// Prompt is set if it matters how old what was read is.
	Prompt bool

	mu         sync.Mutex
	lastDirect time.Time
	// hurryUntil is set when a read ends since the source may have changed, until a peer answers
	// that has just read the log. Reads do not wait before it.
	hurryUntil time.Time
}

// Newest implements KeyedLog.
func (s *SharedLog) Newest(ctx context.Context) (Batch, error) {
	if peer, ok, changed := s.source(); ok {
		ctx, cancel := cancelOn(ctx, changed)
		defer cancel()
		batch, err := s.Peer.Newest(ctx, peer, s.Topic)
		return s.recordFed(peer, batch, err)
	}
	if err := s.awaitTurn(ctx); err != nil {
		return Batch{}, err
	}
	return s.recordDirect(s.Direct.Newest(ctx))
}

// Read implements KeyedLog. A read at a peer ends without records when the source changes.
// With Prompt the next ones wait for nothing, since what this node knows may be old by then.
// Reads must not overlap.
func (s *SharedLog) Read(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	hurries := time.Now().Before(s.hurryUntil)
	peer, ok, changed := s.source()
	if !ok {
		if hurries {
			s.hurryUntil, wait = time.Time{}, 0
		}
		if err := s.awaitTurn(ctx); err != nil {
			return Batch{}, err
		}
		return s.recordDirect(s.readDirect(ctx, from, wait))
	}
	peerCtx, cancel := cancelOn(ctx, changed)
	defer cancel()
	batch, err := s.Peer.Read(peerCtx, peer, s.Topic, from, s.peerWait(hurries))
	if err != nil && ctx.Err() == nil && peerCtx.Err() != nil {
		if s.Prompt {
			s.hurryUntil = time.Now().Add(maxHurry)
		}
		return Batch{Next: from, Since: nothingRead}, nil
	}
	if err == nil && batch.Since >= -freshAnswer {
		s.hurryUntil = time.Time{}
	}
	return s.recordFed(peer, batch, err)
}

// peerWait returns how long a read at a peer waits.
func (s *SharedLog) peerWait(hurries bool) time.Duration {
	switch {
	case hurries:
		return 0
	case s.IsHub():
		return hubPause
	default:
		return peerWait
	}
}

// readDirect reads the log, which answers without records only at the end of the wait, so that
// there were none until then.
func (s *SharedLog) readDirect(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	began := time.Now()
	batch, err := s.Direct.Read(ctx, from, wait)
	if err == nil && batch.Next == from && time.Since(began) >= wait {
		batch.Since = wait
	}
	return batch, err
}

// source returns the peer to use for the next call. A hub that has lost contact with the
// log tries it itself now and then.
func (s *SharedLog) source() (netip.AddrPort, bool, <-chan struct{}) {
	peer, ok, changed := s.Source()
	if !ok || !s.IsHub() {
		return peer, ok, changed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return peer, time.Since(s.lastDirect) < hubPause, changed
}

// awaitTurn keeps a node that is no hub from calling the log often.
func (s *SharedLog) awaitTurn(ctx context.Context) error {
	s.mu.Lock()
	pause := time.Duration(0)
	if !s.IsHub() {
		pause = time.Until(s.lastDirect.Add(directPause + retrier.UniformJitter(directJitter)))
	}
	s.mu.Unlock()
	if pause > 0 {
		if err := retrier.Sleep(ctx, pause); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastDirect = time.Now()
	return nil
}

func (s *SharedLog) recordFed(peer netip.AddrPort, batch Batch, err error) (Batch, error) {
	if err == nil {
		batch.Peer = peer
		s.RecordFed()
	}
	return batch, err
}

func (s *SharedLog) recordDirect(batch Batch, err error) (Batch, error) {
	if err == nil {
		s.RecordLogContact()
	}
	return batch, err
}

// cancelOn returns a context that ends when changed is closed.
func cancelOn(ctx context.Context, changed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
