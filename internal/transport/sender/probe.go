package sender

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// RefusesConnections opens a connection to an address and closes it. It reports whether the
// host refused it, as it does if no process listens there. A host that doesn't respond within
// the timeout does not refuse.
func RefusesConnections(ctx context.Context, address netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err == nil {
		// Nothing was sent.
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
