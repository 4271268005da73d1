package forwarder

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxUnread is the number of bytes up to which a stream is read ahead of its caller. One event
	// may exceed it.
	maxUnread = 1 << 20
	// fullTimeout is how long a stream is not read on because maxUnread is reached. Endpoints end
	// an answer that remains unread for some seconds, and the stall timeout is 2 s at least.
	fullTimeout = time.Second
	// eventOverhead is about the memory that a queued event takes beside its bytes.
	eventOverhead = 96
)

// delivery passes the answer of a request to its caller. Events are queued and delivered by
// another goroutine, so that the endpoint's answer is read on while the caller is slow. push,
// drain and close are called by the run's goroutine only.
type delivery struct {
	sink    Sink
	backlog *Backlog
	unread  unread
	// added wakes up the writer, taken the run.
	added chan struct{}
	taken chan struct{}
	// done is closed once nothing more is delivered.
	done chan struct{}

	mu sync.Mutex
	// queue holds the events that wait, and size is the cost of these and of the one that is being
	// delivered.
	queue []Event
	size  int
	// lastEventID is that of the last event that was delivered.
	lastEventID string
	// cancel ends the attempt that is read.
	cancel context.CancelCauseFunc
	// err is why the delivery has failed. closed is set once the run has ended.
	err    error
	closed bool
}

func newDelivery(sink Sink, backlog *Backlog) *delivery {
	d := &delivery{
		sink: sink, backlog: backlog,
		added: make(chan struct{}, 1), taken: make(chan struct{}, 1), done: make(chan struct{}),
	}
	d.unread.revoke = d.fail
	return d
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func cost(event Event) int { return len(event.Data) + len(event.ID) + eventOverhead }

// begin delivers events until the delivery fails or is closed.
func (d *delivery) begin() {
	defer close(d.done)
	for {
		event, ok := d.next()
		if !ok {
			return
		}
		if err := d.sink.Event(event); err != nil {
			d.fail(err)
			return
		}
		d.mu.Lock()
		d.size -= cost(event)
		if event.ID != "" {
			d.lastEventID = event.ID
		}
		d.mu.Unlock()
		d.backlog.remove(&d.unread, cost(event))
		notify(d.taken)
	}
}

// next waits for the next event; ok is false if there will be none.
func (d *delivery) next() (event Event, ok bool) {
	for {
		d.mu.Lock()
		ended := d.err != nil || d.closed
		if !ended && len(d.queue) > 0 {
			event = d.queue[0]
			// The array keeps no bytes that have been delivered.
			d.queue[0] = Event{}
			d.queue = d.queue[1:]
			d.mu.Unlock()
			return event, true
		}
		d.mu.Unlock()
		if ended {
			return Event{}, false
		}
		<-d.added
	}
}

// fail ends the delivery, and the attempt that is read. A write that is under way is interrupted.
func (d *delivery) fail(err error) {
	d.mu.Lock()
	if d.closed || d.err != nil {
		d.mu.Unlock()
		return
	}
	d.err, d.queue = err, nil
	cancel := d.cancel
	if sink, ok := d.sink.(Interrupter); ok {
		sink.Interrupt()
	}
	d.mu.Unlock()
	notify(d.added)
	notify(d.taken)
	if cancel != nil {
		cancel(err)
	}
}

// failure returns why the delivery has failed, or nil.
func (d *delivery) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// setCancel sets the function that ends the attempt that is read.
func (d *delivery) setCancel(cancel context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel = cancel
}

// push queues an event. If the caller is too far behind, it waits for fullTimeout at most. It
// returns an error if the delivery has failed or ctx has ended.
func (d *delivery) push(ctx context.Context, event Event) error {
	if err := d.awaitRoom(ctx, cost(event)); err != nil {
		return err
	}
	// The bytes of an event are valid until the next one is read.
	event.Data = bytes.Clone(event.Data)
	d.reserve(cost(event))
	d.mu.Lock()
	if d.err == nil {
		d.queue = append(d.queue, event)
	}
	err := d.err
	d.mu.Unlock()
	notify(d.added)
	return err
}

// reserve counts bytes as unread.
func (d *delivery) reserve(n int) {
	d.mu.Lock()
	d.size += n
	d.mu.Unlock()
	d.backlog.add(&d.unread, n)
}

func (d *delivery) awaitRoom(ctx context.Context, n int) error {
	var timeout <-chan time.Time
	for {
		d.mu.Lock()
		size, err := d.size, d.err
		d.mu.Unlock()
		if err != nil || size == 0 || size+n <= maxUnread {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(fullTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-d.taken:
		case <-timeout:
			d.fail(errors.Wrapf(ErrSlowCaller, "%d bytes are unread, limit %d, for %s", size, maxUnread, fullTimeout))
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// drain waits until all events have been delivered. It returns an error if the delivery has failed
// or ctx ends before.
func (d *delivery) drain(ctx context.Context) error {
	for {
		d.mu.Lock()
		size, err := d.size, d.err
		d.mu.Unlock()
		if err != nil || size == 0 {
			return err
		}
		select {
		case <-d.taken:
		case <-ctx.Done():
			d.fail(context.Cause(ctx))
		}
	}
}

// close ends the delivery. Nothing is delivered or interrupted afterwards.
func (d *delivery) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	notify(d.added)
	<-d.done
	d.backlog.release(&d.unread)
}

// settle waits until the caller has what was read, so that Progress.LastEventID is that of the
// last event that the caller was given. err is the result of the attempt.
func (r *run) settle(ctx context.Context, err error) error {
	if r.delivery == nil {
		return err
	}
	failed := r.delivery.drain(ctx)
	r.delivery.mu.Lock()
	if id := r.delivery.lastEventID; id != "" {
		r.Progress.LastEventID = id
	}
	r.delivery.mu.Unlock()
	switch {
	case failed == nil, errors.Is(err, ErrCallerGone):
		return err
	case context.Cause(ctx) == nil:
		return r.callerGone(failed)
	case err != nil:
		return err
	default:
		return r.markCancelled(ctx, failed)
	}
}

// callerGone marks the error of a delivery.
func (r *run) callerGone(err error) error {
	if errors.Is(err, ErrSlowCaller) {
		r.Log.Warn().Str("event", "slow caller").Str("request", r.ID).Str("team", r.Team.Name).Bool("begun", r.StreamStarted).
			Dur("elapsed", r.Now().Sub(r.Received)).Err(err).Send()
	}
	return errors.Mark(err, ErrCallerGone)
}

// beginStream delivers the head of a stream, and begins the delivery of its events if they are
// read ahead.
func (r *run) beginStream(answer Answer) error {
	if r.StreamStarted {
		return nil
	}
	r.StreamStarted = true
	if err := r.sink.Begin(answer); err != nil {
		return r.callerGone(err)
	}
	if r.Backlog == nil {
		return nil
	}
	r.delivery = newDelivery(r.sink, r.Backlog)
	r.delivery.setCancel(r.cancelAttempt)
	go r.delivery.begin()
	return nil
}

// deliverComplete delivers a complete answer. Its attempt has ended, so that a slow caller keeps
// nothing of the endpoint.
func (r *run) deliverComplete(answer Answer) error {
	d := newDelivery(r.sink, r.Backlog)
	close(d.done)
	defer d.close()
	d.reserve(len(answer.Body))
	if err := d.failure(); err != nil {
		return r.callerGone(err)
	}
	err := r.sink.DeliverComplete(answer)
	if err == nil {
		return nil
	}
	if failed := d.failure(); failed != nil {
		err = failed
	}
	return r.callerGone(err)
}
