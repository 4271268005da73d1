// Package tunneler connects a node to endpoints: directly, or through a peer while the node has
// lost its links to all endpoints.
//
// A connection through a peer is a tunnel: the node asks the peer with the HTTP method CONNECT,
// the peer opens a connection to the endpoint and carries bytes both ways. All that is decided
// of a request, and all that is said of it, stays with the first node; the peer knows neither
// requests nor answers. What it must do is to let each end know how the other one ended: an
// answer that ends in order ends so, one that breaks off breaks off, and a node that closes its
// connection closes the one to the endpoint at once. A tunnel carries one request, and never
// leads through a second peer.
//
// # Usage
//
// A node opens all connections to endpoints with a Dialer, and serves its peers with a Handler:
//
//	dialer := &tunneler.Dialer{Direct: dial, Path: path, Detours: detours, Peers: peers, …}
//	go dialer.Run(ctx)
//	conn, err := dialer.Dial(ctx, endpoint.Address)
//	http.Handle("/", &tunneler.Handler{Dial: dialer.Help, …})
package tunneler

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/pathfinder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// checkedEndpoints is the number of endpoints that a check tries.
	checkedEndpoints = 4
	// pollPeriod is the time between checks for silence, and lostPeriod that between tries of the
	// direct path while it is lost.
	pollPeriod = 100 * time.Millisecond
	lostPeriod = 300 * time.Millisecond
	// goneTries is the number of connections by which an endpoint is found to live, gonePause apart:
	// the connections of a process that ends are closed one after the other, its listener too.
	goneTries = 2
	gonePause = 30 * time.Millisecond
)

// Endpoint is an endpoint that may be connected to.
type Endpoint struct {
	Address netip.AddrPort
	Domain  string
}

// Dialer opens connections to endpoints. Its exported fields are set before Run, and it is
// safe for concurrent use.
type Dialer struct {
	// Direct opens a connection over this node's own links, within Timeout.
	Direct  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Timeout time.Duration
	Path    *pathfinder.Path
	Detours *pathfinder.Detours
	// Domain is the failure domain of this node.
	Domain string
	// Endpoints returns the endpoints that may be tried, and Peers the nodes that may be asked.
	Endpoints func() []Endpoint
	Peers     func() []pathfinder.Peer
	// OnChange is called after the path was lost or found again.
	OnChange func(lost bool)
	Log      zerolog.Logger
	Now      func() time.Time

	mu sync.Mutex
	// check is the check that is under way, if any.
	check *check
}

// check is a try of several endpoints; verdict is valid once done is closed.
type check struct {
	done    chan struct{}
	verdict verdict
}

// verdict is what a check has shown of the node's own links.
type verdict int

const (
	linksWork verdict = iota
	linksLost
	// linksUnknown means that there is no endpoint but the one that failed.
	linksUnknown
)

// Run notices that the path is lost although no connection is opened, and that it is back, until
// ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	var tried time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.Now()
		if d.Path.Lost() && now.Sub(tried) >= lostPeriod || d.Path.TrySilent(now) {
			tried = now
			d.try(ctx)
		}
	}
}

// try opens a connection to an endpoint and closes it again.
func (d *Dialer) try(ctx context.Context) {
	for _, endpoint := range d.sample(netip.AddrPort{}, 1) {
		conn, err := d.direct(ctx, endpoint.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if !d.Path.Lost() {
			d.judge(endpoint.Address)
		}
	}
}

// Dial opens a connection to an endpoint, through a peer if the node has lost its own links.
// The errors of a dial that was refused by the endpoint's host can be told by syscall.ECONNREFUSED;
// one that failed since no peer can help is marked with forwarder.ErrNoPath.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Path.Lost() {
		return d.detour(ctx, address)
	}
	conn, err := d.direct(ctx, address)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	switch d.judge(address) {
	case linksLost:
		return d.detour(ctx, address)
	case linksUnknown:
		conn, errDetour := d.detour(ctx, address)
		if errDetour == nil {
			d.record(false)
			return conn, nil
		}
		err = errors.WithSecondaryError(err, errDetour)
	}
	return nil, err
}

// Gone reports whether an endpoint to which a connection broke takes no new ones. It returns false
// if that can't be told, as no peer has a path to it either.
func (d *Dialer) Gone(ctx context.Context, address netip.AddrPort) bool {
	for i := range goneTries {
		if i > 0 && retrier.Sleep(ctx, gonePause) != nil {
			return false
		}
		conn, err := d.Dial(ctx, address)
		if err != nil {
			known := ctx.Err() == nil && !errors.Is(err, forwarder.ErrNoPath)
			return known && (d.Path.Lost() || d.checkNow(address) != linksLost)
		}
		_ = conn.Close()
	}
	return false
}

// Help opens a connection for a peer, over this node's own links only. An error is marked with
// forwarder.ErrNoPath if they are lost.
func (d *Dialer) Help(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Path.Lost() {
		return nil, forwarder.ErrNoPath
	}
	conn, err := d.direct(ctx, address)
	if err != nil && ctx.Err() == nil && d.judge(address) == linksLost {
		return nil, errors.Mark(err, forwarder.ErrNoPath)
	}
	return conn, err
}

// direct opens a connection over this node's own links.
func (d *Dialer) direct(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.Direct(limited, address)
	if err != nil && ctx.Err() != nil {
		// The caller has gone, which says nothing of the links.
		return nil, err
	}
	if d.Path.RecordDial(err == nil) {
		d.changed(false)
	}
	return conn, err
}

// judge tells whether this node reaches any endpoint other than one that has just failed. Of
// several calls at once, one tries.
func (d *Dialer) judge(failed netip.AddrPort) verdict {
	switch {
	case d.Path.Lost():
		return linksLost
	case d.Path.CheckDue(d.Now()):
		return d.checkNow(failed)
	default:
		return linksWork
	}
}

// checkNow tries other endpoints than one that has just failed, or waits for the check that is
// under way.
func (d *Dialer) checkNow(failed netip.AddrPort) verdict {
	d.mu.Lock()
	current := d.check
	if current == nil {
		current = &check{done: make(chan struct{})}
		d.check = current
		go d.runCheck(current, failed)
	}
	d.mu.Unlock()
	<-current.done
	return current.verdict
}

// runCheck tries some endpoints at once, and records whether any of them answered.
func (d *Dialer) runCheck(current *check, failed netip.AddrPort) {
	defer close(current.done)
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.check = nil
	}()
	endpoints := d.sample(failed, checkedEndpoints)
	if len(endpoints) == 0 {
		current.verdict = linksUnknown
		return
	}
	results := make(chan bool, len(endpoints))
	for _, endpoint := range endpoints {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
			defer cancel()
			conn, err := d.Direct(ctx, endpoint.Address)
			if err == nil {
				_ = conn.Close()
			}
			results <- err == nil
		}()
	}
	reached := false
	for range endpoints {
		if reached = <-results; reached {
			break
		}
	}
	if !reached {
		current.verdict = linksLost
	}
	d.record(reached)
}

// record records whether this node reaches an endpoint over its own links.
func (d *Dialer) record(reached bool) {
	if d.Path.RecordCheck(d.Now(), reached) {
		d.changed(!reached)
	}
}

func (d *Dialer) changed(lost bool) {
	d.Log.Warn().Str("event", "path").Bool("lost", lost).Msg("links to all endpoints")
	d.OnChange(lost)
}

// sample returns up to n endpoints to try, half of them of the own domain if there are any.
func (d *Dialer) sample(failed netip.AddrPort, n int) []Endpoint {
	endpoints := slices.DeleteFunc(slices.Clone(d.Endpoints()), func(e Endpoint) bool { return e.Address == failed })
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	var own, others []Endpoint
	for _, endpoint := range endpoints {
		if endpoint.Domain == d.Domain {
			own = append(own, endpoint)
		} else {
			others = append(others, endpoint)
		}
	}
	own, others = own[:min(len(own), max((n+1)/2, n-len(others)))], others[:min(len(others), n)]
	return slices.Concat(own, others[:min(len(others), n-len(own))])
}
