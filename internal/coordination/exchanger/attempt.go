package exchanger

import (
	"context"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

// attempt sends the request to one endpoint and delivers its answer.
func (r *run) attempt(ctx context.Context) error {
	if err := r.place(ctx); err != nil {
		return err
	}
	defer r.placement.Release()
	attempt := r.placement.Attempt()
	r.sends++
	r.Tried[attempt.Endpoint.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := r.watch(cancel)
	defer stall.Stop()
	answer, err := r.Sender.Send(ctx, attempt)
	if err != nil {
		return r.failed(ctx, attempt, err)
	}
	defer answer.Close()
	stall.Reset(r.pause())
	r.placement.Answered(answer)
	return r.deliver(ctx, attempt, answer, stall)
}

// place waits for an endpoint.
func (r *run) place(ctx context.Context) error {
	asked := r.Now()
	if limit := r.Limit(); !limit.IsZero() && limit.Sub(asked) < minLeft {
		return ErrTimeout
	}
	r.Alone = r.Alone || r.Suspects.Check(asked, r.fingerprint) == retrier.VerdictExclusive
	placement, err := r.Placer.Place(ctx, r.Exchange, r.Progress)
	if err != nil {
		return r.ended(ctx, err)
	}
	r.placement, r.waited = placement, r.waited+r.Now().Sub(asked)
	return nil
}
