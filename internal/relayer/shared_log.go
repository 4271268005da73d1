package relayer

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// peerWait is how long a read at a peer waits for new records. A silent peer is noticed
	// by its heartbeats, and the read is then cancelled.
	peerWait = 4 * time.Second
	// hubPause is the time between calls to the log of a hub that has lost contact with it and
	// follows it through a peer.
	hubPause = 1200 * time.Millisecond
	// directPause is the minimum time after a failed call to the log of a member, and between
	// calls if any age will do; directJitter spreads these calls. Mostly the log is out of reach
	// for all then, and hundreds of members must not call it again and again.
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
	// minPeerCall is the least time of a call to a peer.
	minPeerCall = 10 * time.Millisecond
)

// errPeerCall marks failed calls to a peer, which say nothing of the log.
var errPeerCall = errors.New("call to a peer failed")

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
	// MaxAge bounds the age of what is read through a peer: beyond it, the node reads the log
	// itself. Zero for no bound.
	MaxAge time.Duration
	// Clock counts the time for which the host was suspended.
	Clock func() time.Time

	mu         sync.Mutex
	lastDirect time.Time
	// nextDirect is the time before which a node that is no hub does not call the log.
	nextDirect time.Time
	// readAt is the time by Clock as of which the log was last read; before that, of the first call.
	readAt time.Time
	// hurryUntil is set when a read ends since the source may have changed or is late, until a
	// peer answers that has just read the log. Reads do not wait before it.
	hurryUntil time.Time
}

// Newest implements KeyedLog.
func (s *SharedLog) Newest(ctx context.Context) (Batch, error) {
	source := s.source()
	for source.direct {
		ended, err := s.awaitTurn(ctx, source.changed)
		if err != nil {
			return Batch{}, err
		}
		if !ended {
			began := s.Clock()
			batch, err := s.Direct.Newest(ctx)
			return s.recordDirect(began, batch, err)
		}
		source = s.source()
	}
	began := s.Clock()
	ctx, cancel := s.peerContext(ctx, source.changed)
	defer cancel()
	batch, err := s.Peer.Newest(ctx, source.peer, s.Topic)
	return s.recordFed(began, source.peer, batch, err)
}

// Read implements KeyedLog. A read at a peer ends without records when the source changes, or
// when what this node knows is too old. With MaxAge the next ones wait for nothing then. Reads
// must not overlap.
func (s *SharedLog) Read(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	hurries := time.Now().Before(s.hurryUntil)
	source := s.source()
	if source.direct {
		if hurries || source.fallback {
			s.hurryUntil, wait = time.Time{}, 0
		}
		if ended, err := s.awaitTurn(ctx, source.changed); ended || err != nil {
			return Batch{Next: from, Since: nothingRead}, err
		}
		began := s.Clock()
		batch, err := s.readDirect(ctx, from, wait)
		return s.recordDirect(began, batch, err)
	}
	began := s.Clock()
	peerCtx, cancel := s.peerContext(ctx, source.changed)
	defer cancel()
	batch, err := s.Peer.Read(peerCtx, source.peer, s.Topic, from, s.peerWait(hurries))
	if err != nil && ctx.Err() == nil && peerCtx.Err() != nil {
		if s.MaxAge > 0 {
			s.hurryUntil = time.Now().Add(maxHurry)
		}
		return Batch{Next: from, Since: nothingRead}, nil
	}
	if err == nil && batch.Since >= -freshAnswer {
		s.hurryUntil = time.Time{}
	}
	return s.recordFed(began, source.peer, batch, err)
}

// peerContext returns the context of a call to a peer. It ends when the source changes, and at a
// node that is no hub when what it has read is too old and it may call the log.
func (s *SharedLog) peerContext(ctx context.Context, changed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancelSource := cancelOn(ctx, changed)
	if s.MaxAge == 0 || s.IsHub() {
		return ctx, cancelSource
	}
	s.mu.Lock()
	left := max(s.MaxAge-s.age(), time.Until(s.nextDirect), minPeerCall)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, left)
	return ctx, func() {
		cancel()
		cancelSource()
	}
}

// age returns the age of what was last read, or the time since the first call.
func (s *SharedLog) age() time.Duration {
	if s.readAt.IsZero() {
		s.readAt = s.Clock()
	}
	return s.Clock().Sub(s.readAt)
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

// topicSource is where the next call goes: to the log itself if direct is set, or to a peer.
type topicSource struct {
	direct bool
	peer   netip.AddrPort
	// fallback is set if the log is called although there is a peer.
	fallback bool
	// changed is closed when the source may have changed.
	changed <-chan struct{}
}

// source returns the source of the next call. With a peer, a hub that has lost contact with the
// log tries it itself now and then, and other nodes call it when what they have read is too old.
func (s *SharedLog) source() topicSource {
	peer, ok, changed := s.Source()
	if !ok {
		return topicSource{direct: true, changed: changed}
	}
	isHub := s.IsHub()
	s.mu.Lock()
	defer s.mu.Unlock()
	var direct bool
	if isHub {
		direct = time.Since(s.lastDirect) >= hubPause
	} else {
		direct = s.MaxAge > 0 && s.age() >= s.MaxAge && !time.Now().Before(s.nextDirect)
	}
	return topicSource{direct: direct, peer: peer, fallback: direct, changed: changed}
}

// awaitTurn keeps a node that is no hub from calling the log often. It returns true if the source
// changed meanwhile.
func (s *SharedLog) awaitTurn(ctx context.Context, changed <-chan struct{}) (ended bool, err error) {
	s.mu.Lock()
	pause := time.Until(s.nextDirect)
	s.mu.Unlock()
	if pause > 0 && !s.IsHub() {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-changed:
			return true, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastDirect = time.Now()
	s.nextDirect = s.lastDirect.Add(cmp.Or(s.MaxAge, directPause))
	return false, nil
}

func (s *SharedLog) recordFed(began time.Time, peer netip.AddrPort, batch Batch, err error) (Batch, error) {
	if err == nil {
		batch.Peer = peer
		s.recordRead(began.Add(batch.Since))
		s.RecordFed()
		return batch, nil
	}
	return batch, errors.Mark(err, errPeerCall)
}

// recordDirect records the result of a call to the log. After a failure a node that is no hub
// leaves it alone for some time.
func (s *SharedLog) recordDirect(began time.Time, batch Batch, err error) (Batch, error) {
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextDirect = time.Now().Add(directPause + retrier.UniformJitter(directJitter))
		return batch, err
	}
	s.recordRead(began.Add(batch.Since))
	s.RecordLogContact()
	return batch, nil
}

func (s *SharedLog) recordRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.readAt) {
		s.readAt = at
	}
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
