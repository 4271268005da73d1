package tunneler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/pathfinder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

const (
	// maxAsked is the number of peers that are asked for one connection, and maxFailures the number
	// of them that may fail to reach the endpoint: then the endpoint is to blame.
	maxAsked    = 5
	maxFailures = 2
	// peerDialTimeout bounds the opening of a connection to a peer, and answerMargin what its
	// answer may take beyond its own dial.
	peerDialTimeout = 150 * time.Millisecond
	answerMargin    = 200 * time.Millisecond
	// headBytes is the largest head of a peer's answer.
	headBytes = 2 << 10
	// keepAlivePeriod and keepAliveCount find a peer that is gone without a word.
	keepAlivePeriod = 500 * time.Millisecond
	keepAliveCount  = 4
)

// Headers of calls between nodes.
const (
	// headerRequest has the request for which a tunnel is opened, for the log.
	headerRequest = "Relay-Request"
	// headerHold has the time in milliseconds for which an endpoint wants no requests.
	headerHold = "Relay-Hold"
)

// holdPath is the path of the call that reports a hold.
const holdPath = "/hold"

// Errors of a tunnel.
var (
	// errUnreachable means that a peer could not connect to the endpoint, or may not.
	errUnreachable = errors.New("peer can't reach the endpoint")
	// errHelpRefused means that a peer opens no connection now.
	errHelpRefused = errors.New("peer opens no connection")
)

type (
	requestKey struct{}
	regionsKey struct{}
)

// WithRequest returns a context that names the request for which a connection is opened.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// WithRegions returns a context for a connection that may lead through peers only if they are in
// one of the regions or in this node's own.
func WithRegions(ctx context.Context, regions *cataloger.Regions) context.Context {
	if regions == nil {
		return ctx
	}
	return context.WithValue(ctx, regionsKey{}, regions)
}

// detour opens a connection through a peer that reaches the endpoint.
func (d *Dialer) detour(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	regions, _ := ctx.Value(regionsKey{}).(*cataloger.Regions)
	known, domain := d.Peers(), d.domainOf(address)
	peers := d.Detours.Allowed(known, regions)
	failures, last := 0, errors.New("no peer is known")
	if left := len(known) - len(peers); left > 0 {
		last = errors.Newf("%d of %d peers are outside of the request's regions (%s) and of this node's (%q)", left, len(known), regions, d.Detours.Region)
	}
	for range maxAsked {
		order := d.Detours.Order(d.Now(), peers, domain)
		if len(order) == 0 {
			break
		}
		peer := order[0]
		peers = slices.DeleteFunc(peers, func(other pathfinder.Peer) bool { return other == peer })
		conn, err := d.through(ctx, peer, address)
		if err == nil {
			d.Detours.RecordHelp(peer)
			return conn, nil
		}
		last = errors.Wrapf(err, "through %s", peer.Address)
		if ctx.Err() != nil {
			return nil, last
		}
		if !errors.Is(err, errUnreachable) {
			d.Detours.RecordRefusal(d.Now(), peer, errors.Is(err, errHelpRefused))
			continue
		}
		d.Detours.RecordHelp(peer)
		if failures++; failures >= maxFailures {
			return nil, last
		}
	}
	if failures > 0 {
		return nil, last
	}
	return nil, errors.Mark(last, forwarder.ErrNoPath)
}

func (d *Dialer) domainOf(address netip.AddrPort) string {
	for _, endpoint := range d.Endpoints() {
		if endpoint.Address == address {
			return endpoint.Domain
		}
	}
	return ""
}

// through asks a peer for a connection to an endpoint.
func (d *Dialer) through(ctx context.Context, peer pathfinder.Peer, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", peer.Address.String())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	t := newTunnel(raw.(*net.TCPConn), peer.Address)
	if err := d.connect(ctx, t, address); err != nil {
		stop()
		_ = raw.Close()
		return nil, err
	}
	if !stop() {
		return nil, context.Cause(ctx)
	}
	return t, nil
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount}

// connect makes the peer of a tunnel connect it to an endpoint.
func (d *Dialer) connect(ctx context.Context, t *tunnel, address netip.AddrPort) error {
	_ = t.SetDeadline(time.Now().Add(d.Timeout + answerMargin))
	id, _ := ctx.Value(requestKey{}).(string)
	r := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Host: address.String()}, Host: address.String(),
		ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{headerRequest: {id}, "User-Agent": {""}},
	}
	if err := r.Write(t); err != nil {
		return err
	}
	t.source.limited, t.source.left = true, headBytes
	response, err := http.ReadResponse(t.reader, r)
	t.source.limited = false
	if err == nil {
		err = verifier.CheckHead(response)
	}
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadGateway:
		return errors.Mark(errors.Wrapf(syscall.ECONNREFUSED, "connect to %s", address), errUnreachable)
	case http.StatusGatewayTimeout, http.StatusForbidden:
		return errors.Wrapf(errUnreachable, "connect to %s", address)
	default:
		return errors.Wrapf(errHelpRefused, "status %d", response.StatusCode)
	}
	return t.SetDeadline(time.Time{})
}

// peerReader reads from a peer. While it is limited, it fails once it has read left bytes.
type peerReader struct {
	net.Conn
	limited bool
	left    int
}

// Read implements io.Reader.
func (r *peerReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		return 0, errors.New("answer of the peer is too long")
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// ReportHold tells the peer through which a request went that the endpoint wants no more of them
// from that peer for a time.
func (d *Dialer) ReportHold(ctx context.Context, peer, endpoint netip.AddrPort, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout+answerMargin)
	defer cancel()
	target := url.URL{Scheme: "http", Host: peer.String(), Path: holdPath, RawQuery: url.Values{"endpoint": {endpoint.String()}}.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "report a hold")
	}
	r.Header.Set(headerHold, strconv.FormatInt(hold.Milliseconds(), 10))
	response, err := holdClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "report a hold to %s", peer)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("report a hold to %s: status %d", peer, response.StatusCode)
	}
	return nil
}

var holdClient = &http.Client{Transport: verifier.NewTransport(&http.Transport{
	DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: headBytes,
})}
