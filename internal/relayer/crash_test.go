package relayer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	crashingPart = "crashing"
	// restartTime is the time from the crash of a simulated endpoint to its next start,
	// prefillTime that to the first event, and eventPeriod that between events.
	restartTime = 3 * time.Second
	prefillTime = 100 * time.Millisecond
	eventPeriod = 50 * time.Millisecond
	answerSize  = 12
)

// crashSite is a fleet whose nodes forward to simulated endpoints. An endpoint crashes when
// it begins to answer a request with crashingPart.
type crashSite struct {
	*fleet
	forwarders []*forwarder.Forwarder
	mu         sync.Mutex
	rand       *rand.Rand
	endpoints  []*crashEndpoint
	crashes    []time.Time
	// reached holds when requests with crashingPart reached endpoints.
	reached []time.Time
	sound   []soundRequest
}

// soundRequest is a request without crashingPart: when it came, and whether its answer
// began at the first attempt.
type soundRequest struct {
	at    time.Time
	begun bool
}

// crashEndpoint is an address at which processes of an endpoint run one after the other.
type crashEndpoint struct {
	site    *crashSite
	address netip.AddrPort
	process int
	up      bool
	// ended is closed when the process ends.
	ended chan struct{}
}

func newCrashSite(t *testing.T, nodes, domains, endpoints int) *crashSite {
	s := &crashSite{fleet: newFleet(t, nodes, domains), rand: rand.New(rand.NewPCG(23, uint64(nodes)))}
	for i := range endpoints {
		e := &crashEndpoint{site: s, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i / 250), byte(1 + i%250)}), 8000)}
		e.start()
		s.endpoints = append(s.endpoints, e)
	}
	for _, n := range s.nodes {
		s.forwarders = append(s.forwarders, &forwarder.Forwarder{
			Placer: s, Sender: s, Suspects: n.peers.Suspects, PartSuspects: n.peers.PartSuspects, Crashes: s.confirmer(n), Broadcast: n.peers.Broadcast, Log: zerolog.Nop(), Now: time.Now,
			Budget: &retrier.WindowBudget{Ratio: 1, Slack: 100, Length: time.Second, Nodes: func() int { return 1 }},
		})
	}
	return s
}

// confirmer returns the CrashConfirmer of a node, for which an endpoint that is not up
// refuses connections.
func (s *crashSite) confirmer(n *fleetNode) *retrier.CrashConfirmer {
	return &retrier.CrashConfirmer{
		Suspects: n.peers.PartSuspects, Broadcast: n.peers.Broadcast, Log: zerolog.Nop(), Now: time.Now,
		Refuses: func(_ context.Context, address netip.AddrPort) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return slices.ContainsFunc(s.endpoints, func(e *crashEndpoint) bool { return e.address == address && !e.up })
		},
	}
}

func (e *crashEndpoint) start() {
	e.process++
	e.up, e.ended = true, make(chan struct{})
}

// end ends the process, and with it all requests that it runs. It starts again later.
func (e *crashEndpoint) end() {
	if !e.up {
		return
	}
	e.up = false
	close(e.ended)
	time.AfterFunc(restartTime, func() {
		e.site.mu.Lock()
		defer e.site.mu.Unlock()
		e.start()
	})
}

// Place implements forwarder.Placer: it chooses one of the endpoints that are up.
func (s *crashSite) Place(_ context.Context, x *forwarder.Exchange, _ forwarder.Progress) (forwarder.Placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := slices.DeleteFunc(slices.Clone(s.endpoints), func(e *crashEndpoint) bool { return !e.up })
	if len(up) == 0 {
		return nil, forwarder.ErrUnavailable
	}
	e := up[s.rand.IntN(len(up))]
	endpoint := endpointtracker.Endpoint{ID: fmt.Sprintf("%s-%d", e.address, e.process), Address: e.address}
	return crashPlacement{forwarder.Attempt{Exchange: x, Endpoint: endpoint}}, nil
}

// crashPlacement is a placement on the process that an endpoint has.
type crashPlacement struct{ attempt forwarder.Attempt }

// Attempt implements forwarder.Placement.
func (p crashPlacement) Attempt() forwarder.Attempt { return p.attempt }

// OnAnswer implements forwarder.Placement.
func (p crashPlacement) OnAnswer(forwarder.Answer) {}

// OnEvent implements forwarder.Placement.
func (p crashPlacement) OnEvent(bool) {}

// OnFailure implements forwarder.Placement.
func (p crashPlacement) OnFailure(error) {}

// OnComplete implements forwarder.Placement.
func (p crashPlacement) OnComplete() {}

// Release implements forwarder.Placement.
func (p crashPlacement) Release() {}

// CloseIdle implements forwarder.Sender.
func (s *crashSite) CloseIdle(endpointtracker.Endpoint) {}

// Send implements forwarder.Sender.
func (s *crashSite) Send(_ context.Context, attempt forwarder.Attempt) (forwarder.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.endpoints, func(e *crashEndpoint) bool { return e.address == attempt.Endpoint.Address })
	e := s.endpoints[i]
	if !e.up {
		return forwarder.Answer{}, forwarder.ErrNotSent
	}
	crashing := slices.ContainsFunc(attempt.Prompt.Parts, func(part locator.Part) bool { return part.ID == crashingPart })
	if crashing {
		s.reached = append(s.reached, time.Now())
	}
	return forwarder.Answer{Status: 200, EventStream: &crashEvents{endpoint: e, ended: e.ended, crashing: crashing}, Close: func() {}}, nil
}

// crashEvents is the stream of an answer, which breaks when the process ends.
type crashEvents struct {
	endpoint *crashEndpoint
	ended    chan struct{}
	crashing bool
	events   int
}

// Next implements forwarder.EventStream.
func (c *crashEvents) Next() (forwarder.Event, error) {
	wait := eventPeriod
	if c.events == 0 {
		wait = prefillTime
	}
	broken := errors.Mark(io.ErrUnexpectedEOF, forwarder.ErrBroken)
	select {
	case <-c.ended:
		return forwarder.Event{}, broken
	case <-time.After(wait):
	}
	if c.crashing {
		c.endpoint.crash(c.ended)
		return forwarder.Event{}, broken
	}
	if c.events++; c.events > answerSize {
		return forwarder.Event{}, io.EOF
	}
	return forwarder.Event{Data: []byte("x")}, nil
}

// crash ends the process that ended belongs to.
func (e *crashEndpoint) crash(ended chan struct{}) {
	e.site.mu.Lock()
	defer e.site.mu.Unlock()
	if e.ended == ended && e.up {
		e.site.crashes = append(e.site.crashes, time.Now())
		e.end()
	}
}

// request runs a request at a random node. All have the same caller and target.
func (s *crashSite) request(ctx context.Context, parts ...string) bool {
	s.mu.Lock()
	i := s.rand.IntN(len(s.forwarders))
	s.mu.Unlock()
	return s.requestAt(ctx, i, parts...)
}

// requestAt runs a request at a node and reports whether its answer began at the first
// attempt.
func (s *crashSite) requestAt(ctx context.Context, i int, parts ...string) bool {
	s.mu.Lock()
	f := *s.forwarders[i]
	id := fmt.Sprint(s.rand.Uint64())
	s.mu.Unlock()
	meter := &attemptMeter{}
	f.Meter = meter
	x := &forwarder.Exchange{
		ID: id, Caller: "caller", Service: "llm", Received: time.Now(), Method: "POST", Target: "/", Body: []byte(id),
		Route:  cataloger.Route{Name: "r", Stream: true, RetryPolicy: cataloger.RetryResumable, Attempts: 2, Timeout: 10 * time.Second},
		Prompt: &forwarder.Prompt{Model: "m"},
	}
	for _, part := range append(parts, id) {
		x.Prompt.Parts = append(x.Prompt.Parts, locator.Part{ID: part, Tokens: 100})
	}
	// A request with the crashing part fails, and one that is running beside it may.
	_ = f.Run(ctx, x, discardSink{})
	return meter.begun
}

// repeat runs requests in the background with random pauses around a period until ctx ends.
func (s *crashSite) repeat(ctx context.Context, period time.Duration, run func()) {
	go func() {
		for {
			s.mu.Lock()
			pause := time.Duration(s.rand.Int64N(int64(2 * period)))
			s.mu.Unlock()
			if retrier.Sleep(ctx, pause) != nil {
				return
			}
			go run()
		}
	}()
}

func (s *crashSite) repeatSound(ctx context.Context, period time.Duration, parts func() []string) {
	s.repeat(ctx, period, func() {
		at := time.Now()
		begun := s.request(ctx, parts()...)
		s.mu.Lock()
		defer s.mu.Unlock()
		if ctx.Err() == nil {
			s.sound = append(s.sound, soundRequest{at, begun})
		}
	})
}

// begunShare returns the share of the sound requests between two times whose answer began
// at the first attempt.
func (s *crashSite) begunShare(t *testing.T, from, to time.Time) float64 {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	n, begun := 0, 0
	for _, request := range s.sound {
		if !request.at.Before(from) && request.at.Before(to) {
			n++
			if request.begun {
				begun++
			}
		}
	}
	require.GreaterOrEqual(t, n, 20, "too few sound requests to tell")
	return float64(begun) / float64(n)
}

// crashCase is a kind of traffic with a crashing part.
type crashCase struct {
	name string
	// sound and crashing are the shared parts of requests, soundPeriod and crashingPeriod
	// the mean times between them.
	sound          []string
	soundPeriod    time.Duration
	crashing       []string
	crashingPeriod time.Duration
	// burst is the number of crashing requests that come together, and firsts that of
	// different first parts, among which all requests choose; zero for one.
	burst  int
	firsts int
}

// vary returns parts with one of the first parts.
func (s *crashSite) vary(c crashCase, parts []string) []string {
	if c.firsts == 0 {
		return parts
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{fmt.Sprint(parts[0], s.rand.IntN(c.firsts))}, parts[1:]...)
}

// TestCrashingPart guards against requests that crash one endpoint after the other: they
// share one part of their prompts and nothing else, so that none has a fingerprint that
// crashed before. Sound requests share their caller and their first part.
func TestCrashingPart(t *testing.T) {
	const (
		before = 5 * time.Second
		during = 30 * time.Second
		// maxLater is how many requests with the part may reach endpoints later than contact
		// after the fifth crash, and minShare the least share of sound requests that begin,
		// as a share of that before.
		maxLater = 3
		minShare = 0.5
	)
	cases := []crashCase{
		{
			name: "many sound requests", sound: []string{"system", "tools"}, soundPeriod: 30 * time.Millisecond,
			crashing: []string{"system", crashingPart, "tools"}, crashingPeriod: 500 * time.Millisecond,
		},
		{
			name: "few sound requests", sound: []string{"system"}, soundPeriod: 120 * time.Millisecond,
			crashing: []string{"system", crashingPart}, crashingPeriod: time.Second,
		},
		{
			name: "crashing part first", sound: []string{"tools"}, soundPeriod: 100 * time.Millisecond,
			crashing: []string{crashingPart, "tools"}, crashingPeriod: 500 * time.Millisecond,
		},
		{
			name: "several first parts", sound: []string{"system"}, soundPeriod: 100 * time.Millisecond,
			crashing: []string{"system", crashingPart}, crashingPeriod: 600 * time.Millisecond, firsts: 4,
		},
		{
			name: "bursts", sound: []string{"system"}, soundPeriod: 50 * time.Millisecond,
			crashing: []string{"system", crashingPart}, crashingPeriod: 2 * time.Second, firsts: 2, burst: 3,
		},
	}
	for _, site := range []struct {
		nodes, domains int
		contact        time.Duration
	}{{7, 3, 3 * time.Second}, {195, 5, 4 * time.Second}} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%d nodes, %s", site.nodes, c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newCrashSite(t, site.nodes, site.domains, 14)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s.wait(membershipBound)
					started := time.Now()
					s.repeatSound(ctx, c.soundPeriod, func() []string { return s.vary(c, c.sound) })
					s.wait(before)
					fromCrashes := time.Now()
					s.repeat(ctx, c.crashingPeriod, func() {
						for range max(c.burst, 1) {
							go s.request(ctx, s.vary(c, c.crashing)...)
						}
					})
					s.wait(during)
					cancel()
					s.wait(time.Second)
					require.NotEmpty(t, s.crashes)
					last := s.crashes[min(5, len(s.crashes))-1]
					assert.GreaterOrEqual(t, s.begunShare(t, last.Add(2*site.contact), fromCrashes.Add(during)), minShare*s.begunShare(t, started, fromCrashes))
					later := slices.DeleteFunc(s.reached, func(at time.Time) bool { return !at.After(last.Add(site.contact)) })
					t.Logf("%d crashes, %d later than contact after the fifth", len(s.crashes), len(later))
					assert.LessOrEqual(t, len(later), maxLater, "requests that reached endpoints after the fifth crash, %d crashes", len(s.crashes))
				})
			})
		}
	}
}
