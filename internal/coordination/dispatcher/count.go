package dispatcher

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// promptPlace is a prompt's count on its endpoint. It implements
// exchanger.Placement.
type promptPlace struct {
	run *promptRun
	place
	// alone is set if nothing else may run on the endpoint.
	alone bool
	// unqueue ends the count of the prompt's tokens; it may be called twice.
	unqueue func()
}

// newPromptPlace counts the prompt's work on its endpoint until the first token
// comes.
func newPromptPlace(r *promptRun, chosen place) *promptPlace {
	r.Flight.queue(chosen.row.Name, chosen.tokens)
	return &promptPlace{
		run: r, place: chosen, alone: r.alone,
		unqueue: sync.OnceFunc(func() { r.Flight.queue(chosen.row.Name, -chosen.tokens) }),
	}
}

// Attempt implements exchanger.Placement.
func (p *promptPlace) Attempt() exchanger.Attempt {
	return exchanger.Attempt{Endpoint: tracker.Endpoint{ID: p.row.Name}}
}

// OnAnswer implements exchanger.Placement.
func (p *promptPlace) OnAnswer(exchanger.Answer) {}

// OnEvent implements exchanger.Placement.
func (p *promptPlace) OnEvent(bool) { p.unqueue() }

// OnFailure implements exchanger.Placement. An endpoint that broke off may have
// crashed and lost its cache.
func (p *promptPlace) OnFailure(err error) {
	if errors.Is(err, ErrBroken) {
		p.run.Hints.Forget(p.row.Name)
		p.run.event(recorder.KindSuspect, p.row.Name, err.Error())
	}
}

// OnComplete implements exchanger.Placement.
func (p *promptPlace) OnComplete() {
	p.run.Hints.Stored(p.row.Name, p.chain)
	p.run.store(p.place)
}

// Release implements exchanger.Placement.
func (p *promptPlace) Release() {
	p.unqueue()
	p.run.Flight.leave(p.row.Name, p.alone)
}

// callPlace is a call's count on its endpoint. It implements
// exchanger.Placement.
type callPlace struct {
	run *callRun
	row registrar.Row
}

// Attempt implements exchanger.Placement.
func (p *callPlace) Attempt() exchanger.Attempt {
	return exchanger.Attempt{Endpoint: tracker.Endpoint{ID: p.row.Name}}
}

// OnAnswer implements exchanger.Placement.
func (p *callPlace) OnAnswer(exchanger.Answer) {}

// OnEvent implements exchanger.Placement.
func (p *callPlace) OnEvent(bool) {}

// OnFailure implements exchanger.Placement. Reports tell which endpoints fail.
func (p *callPlace) OnFailure(error) {}

// OnComplete implements exchanger.Placement.
func (p *callPlace) OnComplete() {}

// Release implements exchanger.Placement.
func (p *callPlace) Release() { p.run.Flight.leave(p.row.Name, false) }
