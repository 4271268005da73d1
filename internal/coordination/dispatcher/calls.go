package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Calls runs calls on plain services. Its fields are set before use.
type Calls struct {
	Cell    *publisher.Cell
	Caller  Caller
	Flight  *Flight
	Budget  *retrier.Budget
	Jitter  retrier.Jitter
	Journal Journal
	// Domain is the node's own failure domain.
	Domain string
	Now    func() time.Time
}

// Run sends a call to one endpoint. A repeatable call is tried again on another
// endpoint within the retry budget; any other call only when no byte of it can
// have left, which the error's mark ErrNotSent also tells the caller.
func (c *Calls) Run(ctx context.Context, team string, call Call) (Response, error) {
	c.Budget.Request()
	tried := map[string]bool{}
	ran := false
	for attempt := 0; ; attempt++ {
		response, err := c.attempt(ctx, team, call, tried)
		if err == nil {
			return response, nil
		}
		if ran = ran || MayHaveRun(err); ran {
			err = errors.Mark(err, ErrMayHaveRun)
		}
		if errors.Is(err, ErrNoEndpoint) {
			return response, err
		}
		if ctx.Err() != nil || attempt+1 >= maxAttempts || !c.repeat(call, err) {
			return response, err
		}
		c.event(call, team, recorder.KindRetry, "", err.Error())
		if waitErr := retrier.Sleep(ctx, retrier.Backoff(attempt, backoffBase, backoffLimit, c.Jitter)); waitErr != nil {
			return response, err
		}
	}
}

func (c *Calls) repeat(call Call, cause error) bool {
	if errors.Is(cause, ErrNotSent) {
		return true
	}
	return call.Repeatable && c.Budget.Spend()
}

func (c *Calls) attempt(ctx context.Context, team string, call Call, tried map[string]bool) (Response, error) {
	row, ok := c.pick(call, tried)
	if !ok {
		return Response{}, errors.Mark(errors.Wrap(ErrNoEndpoint, call.Service.Name), ErrNotSent)
	}
	defer c.Flight.leave(row.Name, false)
	tried[row.Name] = true
	c.event(call, team, recorder.KindDispatch, row.Name, call.Method)
	response, err := c.Caller.Do(ctx, row.Endpoint, call)
	response.Endpoint = row.Name
	return response, err
}

// pick takes the endpoint with the fewest running requests, the near ones first.
// Once all have been tried they are tried again: after a stall on a connection
// that has gone silent, the same endpoint may answer on a new one.
func (c *Calls) pick(call Call, tried map[string]bool) (registrar.Row, bool) {
	rows := c.Cell.Load().Services[call.Service.Name]
	if row, ok := c.pickAmong(rows, tried); ok {
		return row, true
	}
	return c.pickAmong(rows, nil)
}

func (c *Calls) pickAmong(rows []registrar.Row, tried map[string]bool) (registrar.Row, bool) {
	var chosen registrar.Row
	_, ok := c.Flight.take(false, func(turn uint64) (string, bool) {
		best := -1
		for i := range rows {
			place := (i + int(turn%uint64(len(rows)))) % len(rows)
			row := rows[place]
			if row.Left() || tried[row.Name] {
				continue
			}
			if best < 0 || c.price(row) < c.price(rows[best]) {
				best = place
			}
		}
		if best < 0 {
			return "", false
		}
		chosen = rows[best]
		return chosen.Name, true
	})
	return chosen, ok
}

const (
	// farPrice is the number of running requests that weigh as much as the
	// round trip to another failure domain.
	farPrice = 1
	// failedPrice keeps endpoints with failed reports for the last.
	failedPrice = 1000
)

func (c *Calls) price(row registrar.Row) int {
	price := row.Others() + c.Flight.running[row.Name]
	if row.Domain != c.Domain {
		price += farPrice
	}
	if row.Failures > 0 {
		price += failedPrice
	}
	return price
}

func (c *Calls) event(call Call, team string, kind recorder.Kind, endpoint, detail string) {
	c.Journal.Record(c.Now(), recorder.Event{
		Kind:     kind,
		Request:  call.Request,
		Team:     team,
		Endpoint: endpoint,
		Detail:   detail,
	})
}
