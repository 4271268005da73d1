package dispatcher

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// promptPlacement counts a prompt on its endpoint. It implements
// forwarder.Placement.
type promptPlacement struct {
	run *promptRun
	chosenEndpoint
	// exclusive is set if no other request may run on the endpoint.
	exclusive bool
	// removePending stops counting the prompt's tokens as pending. It may be
	// called more than once.
	removePending func()
}

// newPromptPlacement counts the prompt's tokens as pending on its endpoint until
// the first token arrives.
func newPromptPlacement(r *promptRun, chosen chosenEndpoint) *promptPlacement {
	r.InFlight.addPending(chosen.endpoint.Name, chosen.tokens)
	return &promptPlacement{
		run: r, chosenEndpoint: chosen, exclusive: r.exclusive,
		removePending: sync.OnceFunc(func() { r.InFlight.addPending(chosen.endpoint.Name, -chosen.tokens) }),
	}
}

// Attempt implements forwarder.Placement.
func (p *promptPlacement) Attempt() forwarder.Attempt {
	return forwarder.Attempt{Endpoint: endpointtracker.Endpoint{ID: p.endpoint.Name}}
}

// OnAnswer implements forwarder.Placement.
func (p *promptPlacement) OnAnswer(forwarder.Answer) {}

// OnEvent implements forwarder.Placement.
func (p *promptPlacement) OnEvent(bool) { p.removePending() }

// OnFailure implements forwarder.Placement. An endpoint that interrupted an
// answer may have crashed and lost its cache.
func (p *promptPlacement) OnFailure(err error) {
	if errors.Is(err, ErrBroken) {
		p.run.Hints.Forget(p.endpoint.Name)
		p.run.recordEvent(recorder.KindSuspect, p.endpoint.Name, err.Error())
	}
}

// OnComplete implements forwarder.Placement.
func (p *promptPlacement) OnComplete() {
	p.run.Hints.MarkCached(p.endpoint.Name, p.chain)
	p.run.exportBlocks(p.chosenEndpoint)
}

// Release implements forwarder.Placement.
func (p *promptPlacement) Release() {
	p.removePending()
	p.run.InFlight.release(p.endpoint.Name, p.exclusive)
}

// callPlacement counts a call on its endpoint. It implements forwarder.Placement.
type callPlacement struct {
	run      *callRun
	endpoint registrar.EndpointState
}

// Attempt implements forwarder.Placement.
func (p *callPlacement) Attempt() forwarder.Attempt {
	return forwarder.Attempt{Endpoint: endpointtracker.Endpoint{ID: p.endpoint.Name}}
}

// OnAnswer implements forwarder.Placement.
func (p *callPlacement) OnAnswer(forwarder.Answer) {}

// OnEvent implements forwarder.Placement.
func (p *callPlacement) OnEvent(bool) {}

// OnFailure implements forwarder.Placement. It does nothing, since the load
// reports show which endpoints fail.
func (p *callPlacement) OnFailure(error) {}

// OnComplete implements forwarder.Placement.
func (p *callPlacement) OnComplete() {}

// Release implements forwarder.Placement.
func (p *callPlacement) Release() { p.run.InFlight.release(p.endpoint.Name, false) }
