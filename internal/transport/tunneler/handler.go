package tunneler

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

const (
	// maxTunnels bounds the tunnels of a node. Each has two buffers of the size of a frame.
	maxTunnels = 256
	// lingerLimit is how long a peer may take to read the rest of an answer that has ended.
	lingerLimit = time.Minute
	// maxHold bounds the time of a hold that a peer reports.
	maxHold = 10 * time.Minute
)

// Handler serves the tunnels of peers. Its exported fields are set before use.
type Handler struct {
	// Dial opens a connection over this node's own links; see Dialer.Help.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Accepts reports whether an address is that of an endpoint that takes requests from this
	// node now.
	Accepts func(address netip.AddrPort) bool
	// Stopping is set once this node shuts down.
	Stopping *atomic.Bool
	// Open counts the tunnels, so that a node that stops can wait for them.
	Open *atomic.Int64
	// OnHold is called when a peer reports that an endpoint wants no requests from this node.
	OnHold func(address netip.AddrPort, hold time.Duration)
	// Next handles all other calls.
	Next http.Handler
	Log  zerolog.Logger

	tunnels atomic.Int64
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodConnect:
		h.connect(w, r)
	case r.URL.Path == holdPath:
		h.hold(w, r)
	default:
		h.Next.ServeHTTP(w, r)
	}
}

// connect opens a tunnel and carries it until it ends.
func (h *Handler) connect(w http.ResponseWriter, r *http.Request) {
	h.Open.Add(1)
	defer h.Open.Add(-1)
	defer h.tunnels.Add(-1)
	address, err := netip.ParseAddrPort(r.Host)
	busy := h.tunnels.Add(1) > maxTunnels
	switch {
	case err != nil:
		h.refuse(w, r, http.StatusBadRequest, err)
	case busy:
		h.refuse(w, r, http.StatusServiceUnavailable, errors.Newf("%d tunnels are open", maxTunnels))
	case h.Stopping.Load():
		h.refuse(w, r, http.StatusServiceUnavailable, errors.New("node is stopping"))
	case !h.Accepts(address):
		h.refuse(w, r, http.StatusForbidden, errors.New("endpoint takes no requests from this node"))
	default:
		h.open(w, r, address)
	}
}

func (h *Handler) open(w http.ResponseWriter, r *http.Request, address netip.AddrPort) {
	endpoint, err := h.Dial(r.Context(), address)
	switch {
	case err == nil:
	case errors.Is(err, forwarder.ErrNoPath):
		h.refuse(w, r, http.StatusServiceUnavailable, err)
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		h.refuse(w, r, http.StatusBadGateway, err)
		return
	default:
		h.refuse(w, r, http.StatusGatewayTimeout, err)
		return
	}
	defer endpoint.Close()
	// Hijack fails only for protocols that this server does not speak.
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.refuse(w, r, http.StatusInternalServerError, err)
		return
	}
	defer peer.Close()
	if buffered.Reader.Buffered() > 0 {
		h.log(r, http.StatusBadRequest, errors.New("peer sent bytes before the tunnel was open"))
		return
	}
	if socket, ok := peer.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
	}); ok {
		// An error means that the connection has ended.
		_ = socket.SetKeepAliveConfig(keepAlive)
	}
	_ = peer.SetDeadline(time.Time{})
	if _, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	began := time.Now()
	sent, received := carry(peer, &verifier.Conn{Conn: endpoint})
	h.Log.Info().Str("event", "tunnel").Str("request", r.Header.Get(headerRequest)).Stringer("endpoint", address).Str("peer", r.RemoteAddr).
		Int64("sent", sent).Int64("received", received).Dur("elapsed", time.Since(began)).Send()
}

// refuse answers a call for a tunnel that is not opened.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	h.log(r, status, err)
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

func (h *Handler) log(r *http.Request, status int, err error) {
	h.Log.Warn().Str("event", "tunnel").Str("request", r.Header.Get(headerRequest)).Str("endpoint", r.Host).Str("peer", r.RemoteAddr).
		Int("status", status).Err(err).Send()
}

// carry carries bytes between a peer and an endpoint until both directions have ended. It returns
// the numbers of bytes to the endpoint and from it.
func carry(peer, endpoint net.Conn) (sent, received int64) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var err error
		if sent, err = copyBytes(endpoint, peer); errors.Is(err, errWrite) {
			// The endpoint takes no more, but may have answered. The peer's end is awaited.
			_, _ = copyBytes(io.Discard, peer)
		}
		// The peer has closed its connection: its request is over.
		_ = endpoint.Close()
	}()
	received, err := copyFrames(peer, endpoint)
	if err == nil {
		closeWrite(peer)
		_ = peer.SetReadDeadline(time.Now().Add(lingerLimit))
	} else {
		reset(peer)
	}
	<-done
	return sent, received
}

// errWrite marks the failure of a write.
var errWrite = errors.New("write failed")

// copyBytes copies until from ends; the error is nil if it ends in order. Errors of writing are
// marked with errWrite. It does not use splice(2), which would take a pipe for each tunnel.
func copyBytes(to io.Writer, from io.Reader) (n int64, err error) {
	buffer := make([]byte, maxFrameBytes)
	for {
		read, readErr := from.Read(buffer)
		if read > 0 {
			written, err := to.Write(buffer[:read])
			n += int64(written)
			if err != nil {
				return n, errors.Mark(err, errWrite)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return n, nil
		}
		if readErr != nil {
			return n, readErr
		}
	}
}

// closeWrite ends a connection in order, once all has been sent.
func closeWrite(conn net.Conn) {
	if socket, ok := conn.(interface{ CloseWrite() error }); ok {
		// An error means that the connection has ended.
		_ = socket.CloseWrite()
	}
}

// reset ends a connection so that what it carried does not look complete.
func reset(conn net.Conn) {
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// hold takes a peer's report of a hold.
func (h *Handler) hold(w http.ResponseWriter, r *http.Request) {
	address, err := netip.ParseAddrPort(r.URL.Query().Get("endpoint"))
	ms, errHold := strconv.ParseInt(r.Header.Get(headerHold), 10, 64)
	if err != nil || errHold != nil || ms < 0 || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.OnHold(address, time.Duration(min(ms, maxHold.Milliseconds()))*time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}
